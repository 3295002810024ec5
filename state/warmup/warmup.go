// Package warmup holds what a process knows of an endpoint that is cold for some time after its start.
package warmup

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/cold"
)

const (
	// maxSuspicion bounds the time for which an endpoint that does not accept connections counts as cold, if nothing more is
	// learned of it.
	maxSuspicion = 15 * time.Second
	// reportTime is how long after it was learned a report is sent to other hosts.
	reportTime = 10 * time.Second
	// echoTime is how much newer a report seems that is this process's own: its age lacks the time in the network.
	echoTime = time.Second
)

// Warmup limits the requests of this process to one endpoint while the endpoint is cold.
//
// The endpoint's own row says that it is cold. An endpoint that does not accept connections may have been restarted, which
// its row does not say yet, so it counts as cold until it has answered for as long as endpoints are cold after a start.
// All methods may be called concurrently; the exported fields are set before.
type Warmup struct {
	// Time returns how long the endpoint is cold after a start, 0 if its requests are not limited then; nil means 0.
	Time func() time.Duration
	// Interval returns the least time between two requests of this process to the endpoint while it is cold; ok is false
	// if this process must send none.
	Interval func() (interval time.Duration, ok bool)
	// InTouch reports whether some endpoint has answered this process a moment ago; nil means that one has. A host that is cut
	// off itself finds no endpoint that accepts connections.
	InTouch func(now time.Time) bool

	// active is set while the endpoint may be cold, so that requests to warm ones take no lock.
	active atomic.Bool

	mu        sync.Mutex
	suspected bool
	// until is the time until which the endpoint is cold, learned at knownAt. firstHand is set if this process, and not
	// another host, found that the endpoint does not accept connections, or does again.
	until, knownAt time.Time
	firstHand      bool
	// nextAt is the earliest time of this process's next request while the endpoint is cold.
	nextAt time.Time
}

// coldTime returns how long the endpoint is cold after a start, 0 if its requests are not limited then.
func (w *Warmup) coldTime() time.Duration {
	if w.Time == nil {
		return 0
	}
	return w.Time()
}

// Limits reports whether the endpoint's requests are limited while it is cold.
func (w *Warmup) Limits() bool { return w.coldTime() > 0 }

// Announced records that the endpoint's row says that it is cold for some more time.
func (w *Warmup) Announced(left time.Duration, now time.Time) {
	w.set(false, now.Add(left), now, false)
}

// Refused records that the endpoint did not accept a connection, and reports whether it was not suspected before.
func (w *Warmup) Refused(now time.Time) (began bool) {
	if w.coldTime() <= 0 || w.InTouch != nil && !w.InTouch(now) {
		return false
	}
	return w.set(true, now.Add(maxSuspicion), now, true)
}

// Answered records an answer of the endpoint, after which it is cold for at most the time after a start.
func (w *Warmup) Answered(now time.Time) {
	if !w.active.Load() {
		return
	}
	w.mu.Lock()
	suspected := w.suspected
	w.mu.Unlock()
	if suspected {
		w.set(false, now.Add(w.coldTime()), now, true)
	}
}

// Restarted records that the endpoint may have become cold at any time until now.
func (w *Warmup) Restarted(now time.Time) { w.set(false, now.Add(w.coldTime()), now, false) }

// Merge records another host's report on the endpoint's present process, and reports whether the endpoint was not suspected
// before and is now.
func (w *Warmup) Merge(r cold.Report, now time.Time) (began bool) {
	at := now.Add(-r.Age)
	if w.isOwn(r, at) {
		return false
	}
	return w.set(r.Suspected, now.Add(r.Left), at, false)
}

// isOwn reports whether a report of a time is this process's own, which the sums of all hosts contain, or says the same.
func (w *Warmup) isOwn(r cold.Report, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.firstHand && r.Suspected == w.suspected && at.Sub(w.knownAt) < echoTime
}

// set replaces what is known unless that is newer, and reports whether a suspicion begins.
func (w *Warmup) set(suspected bool, until, at time.Time, firstHand bool) (began bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !at.After(w.knownAt) {
		return false
	}
	began = suspected && !w.suspected
	w.suspected, w.until, w.knownAt, w.firstHand = suspected, until, at, firstHand
	w.active.Store(true)
	return began
}

// Report returns what this process itself found of the endpoint; ok is false if that is nothing, or too old.
func (w *Warmup) Report(now time.Time) (r cold.Report, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r = cold.Report{Suspected: w.suspected, Left: max(0, w.until.Sub(now)), Age: max(0, now.Sub(w.knownAt))}
	return r, w.firstHand && r.Age < reportTime
}

// Active reports whether there may be something to remember of the endpoint's present process.
func (w *Warmup) Active() bool { return w.active.Load() }

// Cold reports whether the endpoint's requests are limited because it is cold, or may be.
func (w *Warmup) Cold(now time.Time) bool {
	if !w.active.Load() || w.coldTime() <= 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cold(now)
}

// cold is Cold for an endpoint whose requests are limited after a start. The caller holds w.mu.
func (w *Warmup) cold(now time.Time) bool {
	if now.Before(w.until) {
		return true
	}
	w.suspected = false
	w.active.Store(w.firstHand && now.Sub(w.knownAt) < reportTime)
	return false
}

// HeldUntil returns the time before which this process must send the endpoint no request, zero if it may now.
func (w *Warmup) HeldUntil(now time.Time) time.Time {
	if !w.Cold(now) {
		return time.Time{}
	}
	_, sender := w.Interval()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !sender {
		return w.until
	}
	return w.nextAt
}

// Follow makes this the warm-up of an endpoint's next process, right after its creation: requests that were sent to the one
// before still count, as it may have been cold already, under a row that did not say so.
func (w *Warmup) Follow(before *Warmup) {
	before.mu.Lock()
	nextAt := before.nextAt
	before.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextAt = nextAt
}

// Use counts a request that is about to be sent to the endpoint, and reports whether it may be.
func (w *Warmup) Use(now time.Time) bool {
	if !w.Cold(now) {
		return true
	}
	interval, sender := w.Interval()
	if !sender {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Before(w.nextAt) {
		return false
	}
	w.nextAt = now.Add(interval)
	return true
}
