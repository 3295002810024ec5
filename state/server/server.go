// Package server keeps what a process knows of one endpoint.
package server

import (
	"sync/atomic"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/cached"
)

const (
	classes = int(class.Call) + 1
)

const (
	// usedTime is how long after a request an endpoint counts as in use.
	usedTime = 5 * time.Second
	// unusedPeriod is the time between reads of the load of an endpoint that is not in use.
	unusedPeriod = 2 * time.Second
)

// farPast stands for an endpoint that never failed.
const farPast = time.Duration(1 << 60)

type load struct {
	// Running counts requests in the batch, by class.
	Running [classes]int
	// Waiting counts requests in the queue, by class.
	Waiting [classes]int
	// Slots is the size of the batch.
	Slots int
	// TokenTime is the time between tokens of one answer.
	TokenTime time.Duration
	// PrefillRate is prompt tokens per second.
	PrefillRate float64
	// sentAt is the process's own requests in flight when the report was taken.
	sentAt [classes]int
}

// Server is one endpoint: its row, its last load report and what this process sent since.
//
// All methods may be called concurrently; none allocates except SetRow and SetLoad.
type Server struct {
	row      atomic.Pointer[roster.Row]
	load     atomic.Pointer[load]
	sent     [classes]atomic.Int64
	lastSent atomic.Int64
	reported atomic.Int64
	failed   atomic.Int64
	leaving  atomic.Bool
	leaveAt  atomic.Int64
	left     chan struct{}
	cached   cached.Cached
}

// New returns an endpoint that has not reported yet.
func New(r roster.Row, now time.Time) *Server {
	s := &Server{left: make(chan struct{})}
	s.SetRow(r, now)
	return s
}

// SetRow replaces the endpoint's row; notice once given stays.
func (s *Server) SetRow(r roster.Row, now time.Time) {
	if s.leaving.Load() {
		r.State = roster.Leaving
	}
	s.row.Store(&r)
	if r.State != roster.Live && s.leaving.CompareAndSwap(false, true) {
		s.leaveAt.Store(now.Add(time.Duration(r.NoticeMillis) * time.Millisecond).UnixNano())
		close(s.left)
	}
}

// Left returns a channel that is closed when the endpoint was given notice.
func (s *Server) Left() <-chan struct{} { return s.left }

// Notice returns the time left to a leaving endpoint.
func (s *Server) Notice(now time.Time) time.Duration {
	return time.Duration(s.leaveAt.Load() - now.UnixNano())
}

// Row returns the endpoint's row.
func (s *Server) Row() *roster.Row { return s.row.Load() }

// Leaving reports whether the endpoint was given notice.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// SetLoad takes a load report; running and waiting are indexed by class.
func (s *Server) SetLoad(running, waiting [classes]int, slots int, tokenTime time.Duration, prefillRate float64) {
	l := &load{Running: running, Waiting: waiting, Slots: slots, TokenTime: tokenTime, PrefillRate: prefillRate}
	for i := range l.sentAt {
		l.sentAt[i] = int(s.sent[i].Load())
	}
	s.load.Store(l)
}

// Load returns the last report, or nil before the first.
// The report is shared and must not be changed.
func (s *Server) Load() *load { return s.load.Load() }

// Begin counts a request that is sent at now.
func (s *Server) Begin(c class.Class, now time.Time) {
	s.sent[c].Add(1)
	s.lastSent.Store(now.UnixNano())
}

// Due reports whether the load is worth reading at now: always for an endpoint in use, seldom for one that is not.
func (s *Server) Due(now time.Time) bool {
	used := now.UnixNano() - s.lastSent.Load()
	age := now.UnixNano() - s.reported.Load()
	return used < int64(usedTime) || age >= int64(unusedPeriod)
}

// Reported records that the load was read at now.
func (s *Server) Reported(now time.Time) { s.reported.Store(now.UnixNano()) }

// End counts the end of a request that Begin counted.
func (s *Server) End(c class.Class) { s.sent[c].Add(-1) }

// Backlog returns the requests of class c on the endpoint: the report corrected by what was sent since.
func (s *Server) Backlog(c class.Class) int {
	own := int(s.sent[c].Load())
	l := s.load.Load()
	if l == nil {
		return own
	}
	n := l.Running[c] + l.Waiting[c] + own - l.sentAt[c]
	return max(n, own)
}

// Busy returns the requests on the endpoint, running and waiting, as a part of its slots; it may exceed 1.
func (s *Server) Busy() float64 {
	l := s.load.Load()
	if l == nil || l.Slots == 0 {
		return 0
	}
	n := 0
	for c := range l.Running {
		n += s.Backlog(class.Class(c))
	}
	return float64(n) / float64(l.Slots)
}

// Failed records a failed attempt at the given time.
func (s *Server) Failed(now time.Time) { s.failed.Store(now.UnixNano()) }

// SinceFailure returns the time since the last failed attempt.
func (s *Server) SinceFailure(now time.Time) time.Duration {
	at := s.failed.Load()
	if at == 0 {
		return farPast
	}
	return time.Duration(now.UnixNano() - at)
}

// Cached returns what the process believes of the endpoint's prefix cache.
func (s *Server) Cached() *cached.Cached { return &s.cached }

// InFlight returns this process's requests on the endpoint.
func (s *Server) InFlight() int {
	n := 0
	for i := range s.sent {
		n += int(s.sent[i].Load())
	}
	return n
}
