package main

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// feedPollPeriod is the interval at which a waiting feed request checks for changes.
const feedPollPeriod = 10 * time.Millisecond

// siteRow is a row of the users' store. Ver is its version or, in a condition, the version that it must have.
type siteRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type siteTxn struct {
	ExpectedRev []siteRow `json:"expectedRev"`
	Puts        []siteRow `json:"puts"`
	Remove      []siteRow `json:"remove"`
}

type siteAnswer struct {
	Rows    []siteRow `json:"rows"`
	HasMore bool      `json:"hasMore"`
	Ver     int64     `json:"ver"`
}

// rowStore simulates the users' store: versioned rows, a change feed, and injected faults.
type rowStore struct {
	// heartbeat is the interval at which endpoints write their rows.
	heartbeat time.Duration

	mu   sync.Mutex
	rows map[[2]string]siteRow
	ver  int64
	// era counts the restores, from 1 on. history holds the latest changes, which a restore undoes.
	era     int64
	history []rowChange
	// operatorValues holds what the operator wrote last, by key. It is written again after a restore.
	operatorValues map[string][]byte
	// evacuations holds when the operator evacuated each data centre that it has not taken back.
	evacuations map[string]time.Time
	// oldestVer is the oldest version of which the feed still has the changes; earlier ones are compacted.
	oldestVer int64
	// reads counts the read requests of each table.
	reads map[string]int
	// down makes every call fail with status 503. loseResponses carries out every call and closes the connection without
	// a response. silent answers no call, also none that waits, and never does so later on the same connection.
	down, loseResponses, silent bool
	// late is after how long writes are carried out that get no answer, 0 for none such.
	late time.Duration
	// slow is by how much calls, and answers to the operator, are delayed.
	slow time.Duration
	// muted counts, by table, how often the feed requests that waited were left without an answer.
	muted map[string]int
}

func (s *rowStore) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(table, key, value)
}

func (s *rowStore) putLocked(table, key string, value []byte) {
	s.ver++
	s.set(siteRow{Table: table, Key: key, Value: value, Ver: s.ver})
}

func (s *rowStore) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(table, key)
}

func (s *rowStore) removeLocked(table, key string) {
	s.ver++
	s.set(siteRow{Table: table, Key: key, Ver: s.ver, Tombstone: true})
}

// handle registers the store's handlers on a mux.
func (s *rowStore) handle(mux *http.ServeMux) {
	mux.HandleFunc("POST /rows-tx", s.faulty(s.commit))
	mux.HandleFunc("GET /rows-get", s.faulty(s.get))
	mux.HandleFunc("GET /rows-feed", s.faulty(s.feed))
	mux.HandleFunc("POST /fault", s.setFaults)
	mux.HandleFunc("PUT /op/{key}", func(_ http.ResponseWriter, r *http.Request) {
		value, _ := io.ReadAll(r.Body)
		s.putOperator(r.PathValue("key"), value)
		time.Sleep(s.delay())
	})
	mux.HandleFunc("DELETE /op/{key}", func(_ http.ResponseWriter, r *http.Request) {
		s.removeOperator(r.PathValue("key"))
		time.Sleep(s.delay())
	})
}

// setFaults replaces the faults of the store and carries out those that last no time:
// /fault?down&lost&silent&late=SECONDS&slow=SECONDS&compact&mute=TABLE&restore=SECONDS, where late carries writes out after that many
// seconds, if their conditions hold then, and answers none, slow delays calls, and the operator's answers, by that many seconds,
// mute leaves the feed requests that wait for a table's changes without an answer, and restore brings back the rows of that many
// seconds ago.
func (s *rowStore) setFaults(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	s.down, s.loseResponses, s.silent = q.Has("down"), q.Has("lost"), q.Has("silent")
	s.slow, s.late = seconds(q.Get("slow")), seconds(q.Get("late"))
	if q.Has("mute") {
		s.muted[q.Get("mute")]++
	}
	if q.Has("compact") {
		s.oldestVer = s.ver + 1
	}
	if seconds, err := strconv.ParseFloat(q.Get("restore"), 64); err == nil {
		s.restore(time.Duration(seconds * float64(time.Second)))
	}
}

// seconds returns the duration that a parameter names, 0 for none.
func seconds(text string) time.Duration {
	n, _ := strconv.ParseFloat(text, 64)
	return time.Duration(n * float64(time.Second))
}

// answer writes a response of the store. The caller holds mu, so that era and rows are those of the same moment.
func (s *rowStore) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	if body != nil {
		w.Header().Set("Content-Type", "application/json")
	}
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *rowStore) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		refused, lost := s.begin(w, r)
		if refused {
			return
		}
		if s.isSilent() {
			leaveUnanswered(r)
		}
		time.Sleep(s.delay())
		next(w, r)
		if lost {
			panic(http.ErrAbortHandler)
		}
	}
}

// delay returns by how much calls are delayed.
func (s *rowStore) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slow
}

func (s *rowStore) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// leaveUnanswered keeps a call without an answer until its caller closes the connection. It does not return.
func leaveUnanswered(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// begin counts a call, answers it if the store is down, and reports whether its response is to be lost.
func (s *rowStore) begin(w http.ResponseWriter, r *http.Request) (refused, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet {
		s.reads[r.URL.Query().Get("table")]++
	}
	if s.down {
		s.answer(w, http.StatusServiceUnavailable, nil)
	}
	return s.down, s.loseResponses
}

func (s *rowStore) commit(w http.ResponseWriter, r *http.Request) {
	var t siteTxn
	err := read(r, &t)
	if late := s.lateness(); late > 0 && err == nil {
		time.AfterFunc(late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.apply(t)
		})
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.answer(w, http.StatusBadRequest, nil)
	case !s.apply(t):
		s.answer(w, http.StatusPreconditionFailed, siteAnswer{Ver: s.ver})
	default:
		s.answer(w, http.StatusOK, siteAnswer{Ver: s.ver})
	}
}

// lateness returns after how long writes are carried out that get no answer.
func (s *rowStore) lateness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.late
}

// apply carries out a transaction and reports whether its conditions held. The caller holds mu.
func (s *rowStore) apply(t siteTxn) bool {
	for _, c := range t.ExpectedRev {
		row := s.rows[[2]string{c.Table, c.Key}]
		if row.Tombstone {
			row.Ver = 0
		}
		if row.Ver != c.Ver {
			return false
		}
	}
	s.ver++
	for _, p := range t.Puts {
		p.Ver = s.ver
		s.set(p)
	}
	for _, p := range t.Remove {
		s.set(siteRow{Table: p.Table, Key: p.Key, Ver: s.ver, Tombstone: true})
	}
	return true
}

// find returns the rows of a table for which match returns true, in the order of their versions.
func (s *rowStore) find(table string, match func(r siteRow) bool) siteAnswer {
	a := siteAnswer{Rows: []siteRow{}, Ver: s.ver}
	for _, row := range s.rows {
		if row.Table == table && match(row) {
			a.Rows = append(a.Rows, row)
		}
	}
	slices.SortFunc(a.Rows, func(x, y siteRow) int { return int(x.Ver - y.Ver) })
	return a
}

func (s *rowStore) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, to := q.Get("from"), q.Get("to")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer(w, http.StatusOK, s.find(q.Get("table"), func(row siteRow) bool {
		return !row.Tombstone && row.Key >= from && (to == "" || row.Key < to)
	}))
}

func (s *rowStore) feed(w http.ResponseWriter, r *http.Request) {
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	table := r.URL.Query().Get("table")
	muted := s.muteCount(table)
	for era := s.currentEra(); !s.answerFeed(w, r, era, until); {
		time.Sleep(feedPollPeriod)
		if s.isSilent() || s.muteCount(table) > muted {
			leaveUnanswered(r)
		}
	}
}

// muteCount returns how often the waiting feed requests of a table were left without an answer.
func (s *rowStore) muteCount(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.muted[table]
}

func (s *rowStore) currentEra() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// answerFeed answers a feed request of an era if it need not wait any longer, and reports whether it has.
func (s *rowStore) answerFeed(w http.ResponseWriter, r *http.Request, era int64, until time.Time) bool {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := s.find(q.Get("table"), func(row siteRow) bool { return row.Ver > after })
	switch {
	case s.down || era != s.era:
		s.answer(w, http.StatusServiceUnavailable, nil)
	case after+1 < s.oldestVer || after > s.ver:
		s.answer(w, http.StatusGone, nil)
	case len(changes.Rows) > 0 || time.Now().After(until) || r.Context().Err() != nil:
		s.answer(w, http.StatusOK, changes)
	default:
		return false
	}
	return true
}

// readCounts returns the number of read requests of each table so far.
func (s *rowStore) readCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.reads)
}

// statuses returns the status rows that dragonflyroute has written for the operator, by key.
func (s *rowStore) statuses() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for id, row := range s.rows {
		if id[0] == "status" {
			out[id[1]] = string(row.Value)
		}
	}
	return out
}
