package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// txTime is how long a transaction takes.
const txTime = 8 * time.Millisecond

// row is a row of the store on the wire.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in of the platform's store, in its table form.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	ver     int64
	changed chan struct{}
	started time.Time
	// onPut is called with each row that a daemon has written.
	onPut func(r row)
	// silentUntil is the time before which calls get no answer, and never get one on the channels that they came on.
	silentUntil time.Time
	// intercept decides on the fate of a transaction; nil means that each is carried out and answered.
	intercept func(puts []row) fate
}

// fate is what happens to a transaction.
type fate struct {
	// late is the time after which it is carried out without an answer; 0 means at once and with one.
	late time.Duration
}

func newStore() *store {
	return &store{rows: map[rowID]row{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row as the operator or a server does.
func (s *store) put(table, key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: data, Ver: s.ver})
	s.wake()
}

// remove deletes a row as the platform does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Ver: s.ver, Tombstone: true})
	s.wake()
}

func (s *store) set(r row) { s.rows[rowID{r.Table, r.Part, r.Key}] = r }

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// value returns a row's value, nil if there is none.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rows[rowID{table, "", key}]
	if r.Tombstone {
		return nil
	}
	return r.Value
}

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["nowMs"] = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handle(mux *http.ServeMux) {
	mux.HandleFunc("POST /rows-tx", s.answered(s.transact))
	mux.HandleFunc("GET /rows-get", s.answered(s.get))
	mux.HandleFunc("GET /rows-feed", s.answered(s.feed))
}

// silence makes the store give no answers for a time. Calls that wait for an answer get none either.
func (s *store) silence(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil = time.Now().Add(d)
	s.wake()
}

func (s *store) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.silentUntil)
}

// answered runs a call unless the store is silent. A channel on which an answer is lost delivers nothing further, and stays
// open until its caller closes it.
func (s *store) answered(call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.silent() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		call(w, r)
	}
}

type transaction struct {
	ExpectedRev []row `json:"expectedRev"`
	Puts        []row `json:"puts"`
	Remove      []row `json:"remove"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		s.reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, x := range append(append([]row{}, t.Puts...), t.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			s.reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	time.Sleep(txTime)
	if s.intercept != nil {
		if f := s.intercept(t.Puts); f.late > 0 {
			time.AfterFunc(f.late, func() { s.apply(&t) })
			panic(http.ErrAbortHandler)
		}
	}
	conflicts, ver := s.apply(&t)
	if conflicts != nil {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": conflicts, "ver": ver})
		return
	}
	s.reply(w, http.StatusOK, map[string]any{"ver": ver})
}

// apply carries out a transaction, or returns the rows of its conditions if one of these does not hold.
func (s *store) apply(t *transaction) (conflicts []row, ver int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	current := []row{}
	for _, c := range t.ExpectedRev {
		now := s.rows[rowID{c.Table, c.Part, c.Key}]
		if now.Tombstone {
			now = row{}
		}
		if now.Ver != c.Ver {
			holds = false
		}
		if now.Ver != 0 {
			current = append(current, now)
		}
	}
	if !holds {
		return current, s.ver
	}
	s.ver++
	for _, p := range t.Puts {
		p.Ver = s.ver
		s.set(p)
		if s.onPut != nil {
			s.onPut(p)
		}
	}
	for _, p := range t.Remove {
		s.set(row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Tombstone: true})
	}
	s.wake()
	return nil, s.ver
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n < limit {
		limit = n
	}
	s.mu.Lock()
	rows := []row{}
	for id, x := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && !x.Tombstone && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, x)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": more, "ver": ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		rows := []row{}
		s.mu.Lock()
		for id, x := range s.rows {
			if id.table == q.Get("table") && x.Ver > after {
				rows = append(rows, x)
			}
		}
		ver, changed := s.ver, s.changed
		lost := time.Now().Before(s.silentUntil)
		s.mu.Unlock()
		if lost {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if len(rows) > 0 {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		case <-r.Context().Done():
			return
		}
	}
}
