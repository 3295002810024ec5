package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeat is the interval at which servers write their rows.
	heartbeat = 1200 * time.Millisecond
	// serverSlots is the number of requests that a server runs at once, and serverQueue how many wait then.
	serverSlots = 64
	serverQueue = 33
	// lingerTime is how long a server serves on after its draining report.
	lingerTime = 4 * time.Second
)

// run is one request that a server began to work on.
type run struct {
	id, server, version, path string
	arrived                   time.Time
	// bad is set if the server's answer was a failure or several times slower.
	bad bool
}

// manner is how a server answers one request.
type manner struct {
	// first is the time to the answer, or to the first event of a stream, and gap that between events.
	first, gap time.Duration
	events     int
	// status is that of an answer that is a failure, 0 for a success.
	status int
	bad    bool
}

// server is one server of a service: it registers itself, serves requests and records what it ran.
type server struct {
	id, service, version, zone string
	store                      *store
	rec                        *record
	// answers returns how a request is answered.
	answers func(path string) manner
	onRun   func(run)

	address  string
	born     int64
	sequence atomic.Int64
	busy     atomic.Int64
	slots    chan struct{}
	draining atomic.Bool
	stop     context.CancelFunc
	// preempted is the time until which the server's streams have given way to other work, in Unix nanoseconds.
	preempted atomic.Int64
	// onEvent is called with each event of a stream that is sent; it may be nil.
	onEvent func(id string, n int)
	writing sync.Mutex
}

func newID() string {
	b := make([]byte, 4)
	_, _ = rand.Read(b)
	return "i-" + hex.EncodeToString(b)
}

// start serves on a free port and writes the server's row until the server ends.
func (s *server) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.id, s.address, s.born = newID(), l.Addr().String(), time.Now().UnixMilli()
	s.slots = make(chan struct{}, serverSlots)
	web := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = web.Serve(l) }()
	go func() {
		for ctx.Err() == nil {
			s.report()
			select {
			case <-ctx.Done():
			case <-time.After(heartbeat):
			}
		}
		_ = web.Close()
		s.writing.Lock()
		defer s.writing.Unlock()
		s.store.put("servers", s.id, nil)
	}()
	s.rec.line("server %s of %s, version %s, serves at %s", s.id, s.service, s.version, s.address)
	return nil
}

func (s *server) report() {
	s.writing.Lock()
	defer s.writing.Unlock()
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	s.store.putJSON("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": serverSlots,
		"state": state, "coldRemainingMs": 0, "sequence": s.sequence.Add(1), "born": s.born,
	})
}

// drain reports that the server leaves, and ends it after lingerTime.
func (s *server) drain() {
	s.draining.Store(true)
	s.report()
	s.rec.line("server %s, version %s, drains", s.id, s.version)
	time.AfterFunc(lingerTime, s.stop)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Dragonflyroute-Request-Id")
	h := w.Header()
	h.Set("Dragonflyroute-Request-Id", id)
	h.Set("Dragonflyroute-Instance-Id", s.id)
	if want := r.Header.Get("Dragonflyroute-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrived := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	defer s.busy.Add(-1)
	if s.busy.Add(1) > serverSlots+serverQueue {
		h.Set("Dragonflyroute-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	m := s.answers(r.URL.Path)
	if m.status == http.StatusMisdirectedRequest {
		s.rec.line("request %s is not run at %s, version %s: 421", id, s.id, s.version)
		w.WriteHeader(m.status)
		return
	}
	s.onRun(run{id: id, server: s.id, version: s.version, path: r.URL.Path, arrived: arrived, bad: m.bad})
	s.rec.line("run %s at %s, version %s, bad=%v, %d bytes", id, s.id, s.version, m.bad, len(body))
	select {
	case <-time.After(m.first):
	case <-r.Context().Done():
		s.rec.line("run %s dropped at %s, version %s: its channel was closed", id, s.id, s.version)
		return
	}
	running := s.busy.Load()
	h.Set("Dragonflyroute-Instance-Load", fmt.Sprintf("%d,%d,%d", min(running, serverSlots), max(0, running-serverSlots), serverSlots))
	h.Set("Dragonflyroute-Response-Signature", "signed-"+s.id+"-"+id)
	if m.status != 0 {
		w.WriteHeader(m.status)
		_, _ = io.WriteString(w, "failed")
		return
	}
	if m.events == 0 {
		_, _ = io.WriteString(w, "answer to "+id+" by "+s.version)
		return
	}
	s.stream(w, r, m, id)
}

// stream sends the events of a stream.
func (s *server) stream(w http.ResponseWriter, r *http.Request, m manner, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	for n := first; n <= m.events; n++ {
		for until := s.preempted.Load(); time.Now().UnixNano() < until; until = s.preempted.Load() {
			select {
			case <-time.After(time.Until(time.Unix(0, until))):
			case <-r.Context().Done():
				return
			}
		}
		if s.onEvent != nil {
			s.onEvent(id, n)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if n == m.events {
			return
		}
		select {
		case <-time.After(m.gap):
		case <-r.Context().Done():
			return
		}
	}
}
