// Package server holds a process's state of one endpoint that serves model requests.
package server

import (
	"sync/atomic"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/cached"
)

const (
	classCount = int(class.Call) + 1
)

const (
	// activeTime is how long after its last request an endpoint counts as active.
	activeTime = 5 * time.Second
	// idlePollPeriod is the time between polls of the load of an endpoint that is not active.
	idlePollPeriod = 2 * time.Second
)

// neverFailed is the time since the last failure of an endpoint that never failed.
const neverFailed = time.Duration(1 << 60)

type load struct {
	// Running counts requests in the batch, by class.
	Running [classCount]int
	// Waiting counts requests in the queue, by class.
	Waiting [classCount]int
	// Slots is the size of the batch.
	Slots int
	// TokenTime is the time between two output tokens of one request.
	TokenTime time.Duration
	// PrefillRate is the prefill rate in prompt tokens per second.
	PrefillRate float64
	// inFlightAtReport counts this process's requests in flight when the report was stored, by class.
	inFlightAtReport [classCount]int
}

// Server is one endpoint: its row, its last load report and this process's requests in flight.
//
// All methods may be called concurrently; none allocates except SetRow and SetLoad.
type Server struct {
	row        atomic.Pointer[roster.Row]
	load       atomic.Pointer[load]
	inFlight   [classCount]atomic.Int64
	lastSentAt atomic.Int64
	reportedAt atomic.Int64
	failedAt   atomic.Int64
	leaving    atomic.Bool
	noticeEnd  atomic.Int64
	left       chan struct{}
	cached     cached.Cached
}

// New returns an endpoint that has not reported yet.
func New(r roster.Row, now time.Time) *Server {
	s := &Server{left: make(chan struct{})}
	s.SetRow(r, now)
	return s
}

// SetRow replaces the endpoint's row. A notice is permanent: a later row that lists the endpoint as live doesn't undo it.
func (s *Server) SetRow(r roster.Row, now time.Time) {
	if s.leaving.Load() {
		r.State = roster.Leaving
	}
	s.row.Store(&r)
	if r.State != roster.Live && s.leaving.CompareAndSwap(false, true) {
		s.noticeEnd.Store(now.Add(time.Duration(r.NoticeMillis) * time.Millisecond).UnixNano())
		close(s.left)
	}
}

// Left returns a channel that is closed when the endpoint is given notice.
func (s *Server) Left() <-chan struct{} { return s.left }

// Notice returns the time until a leaving endpoint stops.
func (s *Server) Notice(now time.Time) time.Duration {
	return time.Duration(s.noticeEnd.Load() - now.UnixNano())
}

// Row returns the endpoint's row.
func (s *Server) Row() *roster.Row { return s.row.Load() }

// Leaving reports whether the endpoint has been given notice.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// SetLoad stores a load report; running and waiting are indexed by class.
func (s *Server) SetLoad(running, waiting [classCount]int, slots int, tokenTime time.Duration, prefillRate float64) {
	l := &load{Running: running, Waiting: waiting, Slots: slots, TokenTime: tokenTime, PrefillRate: prefillRate}
	for i := range l.inFlightAtReport {
		l.inFlightAtReport[i] = int(s.inFlight[i].Load())
	}
	s.load.Store(l)
}

// Load returns the last report, or nil before the first.
// The report is shared and must not be changed.
func (s *Server) Load() *load { return s.load.Load() }

// Begin counts a request of class c as in flight, sent at now.
func (s *Server) Begin(c class.Class, now time.Time) {
	s.inFlight[c].Add(1)
	s.lastSentAt.Store(now.UnixNano())
}

// ReportDue reports whether the load is to be polled at now: always for an active endpoint, once per idlePollPeriod for
// others.
func (s *Server) ReportDue(now time.Time) bool {
	sinceSent := now.UnixNano() - s.lastSentAt.Load()
	sinceReport := now.UnixNano() - s.reportedAt.Load()
	return sinceSent < int64(activeTime) || sinceReport >= int64(idlePollPeriod)
}

// RecordReport records that the load was polled at now.
func (s *Server) RecordReport(now time.Time) { s.reportedAt.Store(now.UnixNano()) }

// End counts the end of a request that Begin counted.
func (s *Server) End(c class.Class) { s.inFlight[c].Add(-1) }

// Backlog returns the requests of class c on the endpoint: those reported, corrected by the change in this process's
// requests in flight since the report.
func (s *Server) Backlog(c class.Class) int {
	own := int(s.inFlight[c].Load())
	l := s.load.Load()
	if l == nil {
		return own
	}
	n := l.Running[c] + l.Waiting[c] + own - l.inFlightAtReport[c]
	return max(n, own)
}

// Utilization returns the requests on the endpoint, running and waiting, as a fraction of its slots; it may exceed 1.
func (s *Server) Utilization() float64 {
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

// RecordFailure records a failed attempt at the given time.
func (s *Server) RecordFailure(now time.Time) { s.failedAt.Store(now.UnixNano()) }

// SinceFailure returns the time since the last failed attempt.
func (s *Server) SinceFailure(now time.Time) time.Duration {
	at := s.failedAt.Load()
	if at == 0 {
		return neverFailed
	}
	return time.Duration(now.UnixNano() - at)
}

// Cached returns the process's estimate of the endpoint's prefix cache.
func (s *Server) Cached() *cached.Cached { return &s.cached }

// InFlight returns the number of this process's requests on the endpoint.
func (s *Server) InFlight() int {
	n := 0
	for i := range s.inFlight {
		n += int(s.inFlight[i].Load())
	}
	return n
}
