// Package leases holds the leases that one role of a process acquires.
package leases

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/elect"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// Leases holds one lease for each key, such as one for each data centre.
//
// Methods may be called concurrently. Those that access the table are serialized; Held never waits for them.
type Leases struct {
	// New returns a new elector for the lease with the given key.
	New func(key string) *elect.Elector
	// Candidate reports whether this process is a candidate for a lease, that is, tries to acquire it; nil means always.
	Candidate func(key string) bool
	// Term is how long a call that got no answer may still be carried out. Now returns the time of a clock that goes on
	// while the host is suspended. Both are needed only by roles that call Use.
	Term time.Duration
	Now  func() time.Time
	// Log takes one line for each lease acquired, lost or released.
	Log hclog.Logger

	// stepMu serializes the methods that access the table.
	stepMu sync.Mutex
	// callMu is read-locked by calls in progress under a lease.
	callMu sync.RWMutex

	mu       sync.Mutex
	electors map[string]*elect.Elector
	// logged holds the fencing numbers of the leases whose acquisition was logged.
	logged map[string]int64
	// unanswered is when a call under a lease last got no answer.
	unanswered map[string]time.Time
	closed     bool
}

// Step renews the lease, or tries to acquire it if the process is a candidate, and returns Held.
func (l *Leases) Step(ctx context.Context, key string) (fence int64, held bool) {
	l.stepMu.Lock()
	defer l.stepMu.Unlock()
	if e := l.candidate(key); e != nil {
		if err := e.Step(ctx); err != nil {
			l.Log.Debug("lease not renewed or acquired", "lease", key, "error", err)
		}
	}
	fence, held = l.Held(key)
	l.logChange(key, fence, held)
	return fence, held
}

// Held returns the fencing number if the process holds the lease now; call it again before each protected operation.
func (l *Leases) Held(key string) (fence int64, held bool) {
	l.mu.Lock()
	e := l.electors[key]
	l.mu.Unlock()
	if e == nil {
		return 0, false
	}
	return e.Held()
}

// KnownSince returns the time of day since which this process, as the holder of the lease, knows of all that holders wrote;
// what they wrote before may have been lost with a restore of the store.
func (l *Leases) KnownSince(key string) time.Time {
	l.mu.Lock()
	e := l.electors[key]
	l.mu.Unlock()
	if e == nil {
		return l.Now()
	}
	return e.KnownSince()
}

// Use runs a call under the lease with the given fencing number and returns its error. An Unavailable error means that
// the lease is no longer held and that the call did not begin.
//
// A release waits for calls in progress. A call without an answer may still be carried out later, so the lease is then
// not released but left to expire.
func (l *Leases) Use(key string, fence int64, call func() error) error {
	l.callMu.RLock()
	defer l.callMu.RUnlock()
	if current, held := l.Held(key); !held || current != fence {
		return fault.New(kind.Unavailable, "", "lease %s is no longer held with fencing number %d", key, fence)
	}
	err := call()
	if fault.KindOf(err) == kind.OutcomeUnknown {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.unanswered == nil {
			l.unanswered = map[string]time.Time{}
		}
		l.unanswered[key] = l.Now()
	}
	return err
}

// Eligible reports whether the process holds the lease or is a candidate for it.
func (l *Leases) Eligible(key string) bool {
	if _, held := l.Held(key); held {
		return true
	}
	return l.Candidate == nil || l.Candidate(key)
}

// Release releases the lease if the process holds it, so that others can acquire it at once.
func (l *Leases) Release(ctx context.Context, key string) {
	l.stepMu.Lock()
	defer l.stepMu.Unlock()
	l.release(ctx, key)
}

// Close releases all leases; none is acquired from then on.
func (l *Leases) Close(ctx context.Context) {
	l.stepMu.Lock()
	defer l.stepMu.Unlock()
	for _, key := range l.close() {
		l.release(ctx, key)
	}
}

func (l *Leases) close() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	var keys []string
	for key := range l.electors {
		keys = append(keys, key)
	}
	return keys
}

// candidate returns the elector of the lease, or nil if the process neither holds the lease nor is a candidate for it.
func (l *Leases) candidate(key string) *elect.Elector {
	if !l.Eligible(key) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	if e := l.electors[key]; e != nil {
		return e
	}
	return l.add(key)
}

func (l *Leases) add(key string) *elect.Elector {
	if l.electors == nil {
		l.electors = map[string]*elect.Elector{}
		l.logged = map[string]int64{}
	}
	e := l.New(key)
	l.electors[key] = e
	return e
}

func (l *Leases) release(ctx context.Context, key string) {
	l.mu.Lock()
	e := l.electors[key]
	delete(l.electors, key)
	l.mu.Unlock()
	if e == nil {
		return
	}
	l.waitCalls()
	if l.callPending(key) {
		l.Log.Info("lease left to expire, as a call under it got no answer", "lease", key)
		l.logChange(key, 0, false)
		return
	}
	if err := e.Release(ctx); err != nil {
		l.Log.Warn("lease not released; it expires by itself", "lease", key, "error", err)
	}
	l.logChange(key, 0, false)
}

// waitCalls waits for the calls in progress; no other one begins, as the lease is no longer held.
func (l *Leases) waitCalls() {
	l.callMu.Lock()
	defer l.callMu.Unlock()
}

// callPending reports whether a call under the lease may still be carried out.
func (l *Leases) callPending(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.unanswered[key]
	return ok && l.Now().Sub(at) < l.Term
}

// logChange logs a lease that was acquired, got another fencing number, or ended.
func (l *Leases) logChange(key string, fence int64, held bool) {
	before, was := l.logged[key]
	switch {
	case held && (!was || before != fence):
		l.logged[key] = fence
		l.Log.Info("lease taken", "lease", key, "fence", fence)
	case !held && was:
		delete(l.logged, key)
		l.Log.Info("lease ended", "lease", key, "fence", before)
	}
}
