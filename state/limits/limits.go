// Package limits holds what a process knows of the request limit that an endpoint names.
package limits

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/pace"
)

// Limit is the request limit of one endpoint: the requests per second that the endpoint accepts from all hosts together,
// for as long as its answers name one.
//
// All methods may be called concurrently.
type Limit struct {
	mu        sync.Mutex
	perSecond pace.Pace
	inForce   bool
	// knownAt is when the endpoint is known to have last named the limit, or no longer named one.
	knownAt time.Time
}

// Named records an answer received at a time that names a limit, and reports whether that changed the limit.
func (l *Limit) Named(perSecond pace.Pace, received time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set(true, perSecond, received)
}

// NotNamed records an answer without a limit to a request sent at a time, and reports whether that ended the limit.
//
// Answers on different connections may overtake each other, so one to a request sent before the limit was last named
// does not end it.
func (l *Limit) NotNamed(sent time.Time) (ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set(false, 0, sent)
}

// set replaces the limit unless newer information is known, and reports whether the limit changed. The caller holds l.mu.
func (l *Limit) set(inForce bool, perSecond pace.Pace, at time.Time) (changed bool) {
	if !at.After(l.knownAt) {
		return false
	}
	changed = inForce != l.inForce || perSecond != l.perSecond
	l.inForce, l.perSecond, l.knownAt = inForce, perSecond, at
	return changed
}

// PerSecond returns the limit; ok is false while none is in force.
func (l *Limit) PerSecond() (perSecond pace.Pace, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.perSecond, l.inForce
}
