// Package limits holds what a process knows of the request limit that an endpoint names.
package limits

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/notice"
	"github.com/dragonflyroute/dragonflyroute/protocol/pace"
)

// Limit is the request limit of one endpoint: the requests per second that the endpoint accepts from all hosts together,
// for as long as its answers name one.
//
// All methods may be called concurrently.
type Limit struct {
	// inForce is written under mu, and read without it on the path of requests, since few endpoints name a limit.
	inForce atomic.Bool

	mu        sync.Mutex
	perSecond pace.Pace
	// everNamed is set once the endpoint has named a limit.
	everNamed bool
	// knownAt is when the endpoint is known to have last named the limit, or no longer named one. firstHand is set if
	// the endpoint told this process, and not another host.
	knownAt   time.Time
	firstHand bool
	// permits holds the times at which the unused permits of this process expire.
	permits []time.Time
	// heldUntil is the time before which this process gets no permit.
	heldUntil time.Time
}

// Named records an answer received at a time that names a limit, and reports whether that changed the limit.
func (l *Limit) Named(perSecond pace.Pace, received time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set(true, perSecond, received, true)
}

// NotNamed records an answer without a limit to a request sent at a time, and reports whether that ended the limit.
//
// Answers on different connections may overtake each other, so one to a request sent before the limit was last named
// does not end it.
func (l *Limit) NotNamed(sent time.Time) (ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set(false, 0, sent, true)
}

// Merge records what another host knows of the limit, and reports whether that changed the limit.
func (l *Limit) Merge(n notice.Notice, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set(n.InForce, n.PerSecond, now.Add(-n.Age), false)
}

// set replaces the limit unless newer information is known, and reports whether the limit changed. The caller holds l.mu.
func (l *Limit) set(inForce bool, perSecond pace.Pace, at time.Time, firstHand bool) (changed bool) {
	if !at.After(l.knownAt) {
		return false
	}
	changed = inForce != l.inForce.Load() || perSecond != l.perSecond
	l.inForce.Store(inForce)
	l.everNamed = l.everNamed || inForce
	l.perSecond, l.knownAt, l.firstHand = perSecond, at, firstHand
	if changed {
		l.heldUntil = time.Time{}
	}
	return changed
}

// InForce reports whether the endpoint names a limit.
func (l *Limit) InForce() bool { return l.inForce.Load() }

// PerSecond returns the limit; ok is false while none is in force.
func (l *Limit) PerSecond() (perSecond pace.Pace, ok bool) {
	if !l.inForce.Load() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.perSecond, l.inForce.Load()
}

// Notice returns what this process knows of the limit. Known is false if the endpoint has never named one, and
// firstHand is set if the endpoint told this process itself.
func (l *Limit) Notice(now time.Time) (n notice.Notice, known, firstHand bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n = notice.Notice{InForce: l.inForce.Load(), PerSecond: l.perSecond, Age: max(0, now.Sub(l.knownAt))}
	return n, l.everNamed, l.firstHand
}

// AddPermit records a permit to send one request before it expires.
func (l *Limit) AddPermit(expires time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.permits = append(l.permits, expires)
}

// UsePermit uses up a permit and reports whether there was one; none is needed while no limit is in force.
func (l *Limit) UsePermit(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.inForce.Load() {
		l.permits = nil
		return true
	}
	l.permits = slices.DeleteFunc(l.permits, func(expires time.Time) bool { return !now.Before(expires) })
	if len(l.permits) == 0 {
		return false
	}
	l.permits = l.permits[1:]
	return true
}

// HoldUntil records that this process gets no permit before a time, unless the limit changes.
func (l *Limit) HoldUntil(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldUntil = until
}

// HeldUntil returns the time before which this process gets no permit, zero if none is needed.
func (l *Limit) HeldUntil() time.Time {
	if !l.inForce.Load() {
		return time.Time{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldUntil
}
