// Package leases holds the leases that one role of a process takes.
package leases

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/keeper"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// Leases keeps one lease for each thing that a role cares for.
//
// Its methods may be called concurrently; one that talks to the table makes the others wait, but for Held.
type Leases struct {
	// New returns a new keeper of the lease with the given key.
	New func(key string) *keeper.Keeper
	// Tries reports whether this process shall try to take a lease; nil means always.
	Tries func(key string) bool
	// Term is for how long a call that got no answer may still be carried out, and Now the time that a suspension does not
	// stop; both are only needed by roles that call Use.
	Term time.Duration
	Now  func() time.Time
	// Log takes one line for each lease taken, lost or released.
	Log hclog.Logger

	stepMu sync.Mutex
	// callMu is held by effects under way.
	callMu sync.RWMutex

	mu       sync.Mutex
	electors map[string]*keeper.Keeper
	logged   map[string]int64
	// unanswered is when an effect under a lease last got no answer.
	unanswered map[string]time.Time
	closed     bool
}

// Step renews the lease or tries to take it, unless the process shall not, and returns Held.
func (l *Leases) Step(ctx context.Context, key string) (fence int64, held bool) {
	l.stepMu.Lock()
	defer l.stepMu.Unlock()
	if k := l.candidate(key); k != nil {
		if err := k.Step(ctx); err != nil {
			l.Log.Debug("lease step failed", "lease", key, "error", err)
		}
	}
	fence, held = l.Held(key)
	l.logChange(key, fence, held)
	return fence, held
}

// Held returns the fencing number if the process holds the lease now; call it again before each effect.
func (l *Leases) Held(key string) (fence int64, held bool) {
	l.mu.Lock()
	k := l.electors[key]
	l.mu.Unlock()
	if k == nil {
		return 0, false
	}
	return k.Held()
}

// Use runs an effect under the lease that has the given fencing number, and returns its error; an Unavailable error tells
// that the lease is not held any more and that the effect did not begin.
//
// A release waits for effects under way. One without an answer may be carried out later still, so that the lease is then
// left to run out.
func (l *Leases) Use(key string, fence int64, effect func() error) error {
	l.callMu.RLock()
	defer l.callMu.RUnlock()
	if now, held := l.Held(key); !held || now != fence {
		return fault.New(kind.Unavailable, "", "lease %s is not held any more with the number %d", key, fence)
	}
	err := effect()
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

// Concerns reports whether the process holds the lease or shall try to take it.
func (l *Leases) Concerns(key string) bool {
	if _, held := l.Held(key); held {
		return true
	}
	return l.Tries == nil || l.Tries(key)
}

// Release gives the lease up if the process has it; others may take it at once.
func (l *Leases) Release(ctx context.Context, key string) {
	l.stepMu.Lock()
	defer l.stepMu.Unlock()
	l.release(ctx, key)
}

// Close releases all leases and takes none from now on.
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

// candidate returns the keeper to step, or nil for a process that neither holds the lease nor shall try to take it.
func (l *Leases) candidate(key string) *keeper.Keeper {
	if !l.Concerns(key) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	if k := l.electors[key]; k != nil {
		return k
	}
	return l.add(key)
}

func (l *Leases) add(key string) *keeper.Keeper {
	if l.electors == nil {
		l.electors = map[string]*keeper.Keeper{}
		l.logged = map[string]int64{}
	}
	k := l.New(key)
	l.electors[key] = k
	return k
}

func (l *Leases) release(ctx context.Context, key string) {
	l.mu.Lock()
	k := l.electors[key]
	delete(l.electors, key)
	l.mu.Unlock()
	if k == nil {
		return
	}
	l.waitCalls()
	if l.callPending(key) {
		l.Log.Info("lease left to run out: a call under it got no answer", "lease", key)
		l.logChange(key, 0, false)
		return
	}
	if err := k.Release(ctx); err != nil {
		l.Log.Warn("lease not released; it runs out by itself", "lease", key, "error", err)
	}
	l.logChange(key, 0, false)
}

// waitCalls waits for the effects under way; no other one begins, as the lease is no longer held.
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

// logChange logs a change of what is held.
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
