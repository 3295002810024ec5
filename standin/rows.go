package main

import (
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
	mu   sync.Mutex
	rows map[[2]string]siteRow
	ver  int64
	// oldestVer is the oldest version of which the feed still has the changes; earlier ones are compacted.
	oldestVer int64
	// reads counts the read requests of each table.
	reads map[string]int
	// down makes every call fail with status 503. loseAnswers carries out every call and closes the connection without
	// a response.
	down, loseResponses bool
}

func (s *rowStore) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[[2]string{table, key}] = siteRow{Table: table, Key: key, Value: value, Ver: s.ver}
}

func (s *rowStore) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[[2]string{table, key}] = siteRow{Table: table, Key: key, Ver: s.ver, Tombstone: true}
}

// handle registers the store's handlers on a mux.
func (s *rowStore) handle(mux *http.ServeMux) {
	mux.HandleFunc("POST /rows-tx", s.faulty(s.commit))
	mux.HandleFunc("GET /rows-get", s.faulty(s.get))
	mux.HandleFunc("GET /rows-feed", s.faulty(s.feed))
	mux.HandleFunc("POST /fault", func(_ http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		q := r.URL.Query()
		s.down, s.loseResponses = q.Has("down"), q.Has("lost")
		if q.Has("compact") {
			s.oldestVer = s.ver + 1
		}
	})
}

func (s *rowStore) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if r.Method == http.MethodGet {
			s.reads[r.URL.Query().Get("table")]++
		}
		down, lost := s.down, s.loseResponses
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next(w, r)
		if lost {
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *rowStore) commit(w http.ResponseWriter, r *http.Request) {
	var t siteTxn
	if err := read(r, &t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.ExpectedRev {
		row := s.rows[[2]string{c.Table, c.Key}]
		if row.Tombstone {
			row.Ver = 0
		}
		if row.Ver != c.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			reply(w, siteAnswer{Ver: s.ver})
			return
		}
	}
	s.ver++
	for _, p := range t.Puts {
		p.Ver = s.ver
		s.rows[[2]string{p.Table, p.Key}] = p
	}
	for _, p := range t.Remove {
		s.rows[[2]string{p.Table, p.Key}] = siteRow{Table: p.Table, Key: p.Key, Ver: s.ver, Tombstone: true}
	}
	reply(w, siteAnswer{Ver: s.ver})
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
	reply(w, s.find(q.Get("table"), func(row siteRow) bool {
		return !row.Tombstone && row.Key >= from && (to == "" || row.Key < to)
	}))
}

func (s *rowStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		compacted, down := after+1 < s.oldestVer, s.down
		a := s.find(q.Get("table"), func(row siteRow) bool { return row.Ver > after })
		s.mu.Unlock()
		switch {
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case len(a.Rows) > 0 || time.Now().After(until) || r.Context().Err() != nil:
			reply(w, a)
			return
		}
		time.Sleep(feedPollPeriod)
	}
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
