package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer, as the site's sheet says.
const storeDelay = 4 * time.Millisecond

// maxPage is the largest number of rows in one answer.
const maxPage = 500

// row is a row of the store; as a condition, Ver is the version that it must have.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

// store is the platform's metadata store: linearizable rows with one version counter, and a feed.
type store struct {
	began time.Time
	// onWrite is called with each row that is written, under the lock; it may be nil.
	onWrite func(r row)
	// late reports whether a transaction gets no answer and is carried out after a delay; nil means none.
	late func(t transaction) (delay time.Duration, lose bool)

	mu      sync.Mutex
	rows    map[rowID]row
	ver     int64
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowID]row{}, changed: make(chan struct{})}
}

type transaction struct {
	ExpectedRev []row `json:"expectedRev"`
	Puts        []row `json:"puts"`
	Remove      []row `json:"remove"`
}

type answer struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"hasMore"`
	Ver     int64 `json:"ver"`
	NowMs   int64 `json:"nowMs"`
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	return mux
}

// put writes one row; a nil value removes it.
func (s *store) put(table, key string, value []byte) {
	t := transaction{Puts: []row{{Table: table, Key: key, Value: value}}}
	if value == nil {
		t = transaction{Remove: []row{{Table: table, Key: key}}}
	}
	s.apply(t)
}

func (s *store) putJSON(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(table, key, data)
}

// get returns the value of a row, nil if there is none.
func (s *store) get(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rows[rowID{table, "", key}]
	if r.Tombstone {
		return nil
	}
	return r.Value
}

// apply carries out a transaction if its conditions hold; otherwise it returns the rows of the conditions.
func (s *store) apply(t transaction) (ver int64, current []row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, c := range t.ExpectedRev {
		have := s.rows[rowID{c.Table, c.Part, c.Key}]
		haveVer := have.Ver
		if have.Tombstone {
			haveVer = 0
		} else if have.Ver > 0 {
			current = append(current, have)
		}
		ok = ok && haveVer == c.Ver
	}
	if !ok {
		return s.ver, current, false
	}
	s.ver++
	for _, p := range t.Puts {
		p.Ver, p.Tombstone = s.ver, false
		s.set(p)
	}
	for _, r := range t.Remove {
		if old, exists := s.rows[rowID{r.Table, r.Part, r.Key}]; exists && !old.Tombstone {
			s.set(row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver, nil, true
}

func (s *store) set(r row) {
	s.rows[rowID{r.Table, r.Part, r.Key}] = r
	if s.onWrite != nil {
		s.onWrite(r)
	}
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range append(slices.Clone(t.Puts), t.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if s.late != nil {
		if delay, lose := s.late(t); lose {
			time.AfterFunc(delay, func() { s.apply(t) })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	ver, current, ok := s.apply(t)
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	s.reply(w, status, answer{Rows: current, Ver: ver})
}

func (s *store) reply(w http.ResponseWriter, status int, a answer) {
	a.NowMs = time.Since(s.began).Milliseconds()
	if a.Rows == nil {
		a.Rows = []row{}
	}
	data, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPage {
		limit = maxPage
	}
	s.mu.Lock()
	var rows []row
	for id, have := range s.rows {
		if id.table != q.Get("table") || id.part != q.Get("part") || have.Tombstone {
			continue
		}
		if id.key < q.Get("from") || q.Has("to") && id.key >= q.Get("to") {
			continue
		}
		rows = append(rows, have)
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.reply(w, http.StatusOK, answer{Rows: rows[:min(limit, len(rows))], HasMore: more, Ver: ver})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(wait, 30_000))*time.Millisecond)
	defer cancel()
	for {
		rows, ver, changed := s.since(q.Get("table"), after)
		if len(rows) > 0 || ctx.Err() != nil {
			s.reply(w, http.StatusOK, answer{Rows: rows, Ver: ver})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// since returns the rows of a table that have changed after a version, and a channel that is closed at the next change.
func (s *store) since(table string, after int64) (rows []row, ver int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, have := range s.rows {
		if id.table == table && have.Ver > after {
			rows = append(rows, have)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return int(a.Ver - b.Ver) })
	return rows, s.ver, s.changed
}

// cloud accepts the calls of the duties and refuses those with a lower fencing number than one seen for the subject.
type cloud struct {
	rec *record

	mu     sync.Mutex
	fences map[string]int64
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	for _, path := range []string{"POST /usage", "POST /scale"} {
		mux.HandleFunc(path, c.serve)
	}
	return mux
}

func (c *cloud) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fence, _ := strconv.ParseInt(r.Header.Get("Dragonflyroute-Fencing-Token"), 10, 64)
	subject := r.URL.Path
	if subject == "/scale" {
		var order struct{ Service, Zone string }
		_ = json.Unmarshal(body, &order)
		subject += " " + order.Service + " " + order.Zone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fences == nil {
		c.fences = map[string]int64{}
	}
	status := http.StatusOK
	if fence < c.fences[subject] {
		status = http.StatusConflict
	}
	c.fences[subject] = max(fence, c.fences[subject])
	c.rec.line("cloud %s holder=%s fence=%d status=%d body=%s", subject, r.Header.Get("Dragonflyroute-Duty-Holder"), fence, status, body)
	w.WriteHeader(status)
}
