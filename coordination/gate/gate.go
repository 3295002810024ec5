// Package gate is the admission control for accounts: it enforces their limits on rate and concurrency.
package gate

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

const (
	// busyRetryDelay is the delay after which to retry when an account is at its concurrency limit, or its share of
	// the burst is below one request.
	busyRetryDelay = 500 * time.Millisecond
	// maxRetryDelay bounds the delay after which to retry.
	maxRetryDelay = 30 * time.Second
	// usageAveragingTime is the time over which the used rate is averaged.
	usageAveragingTime = time.Second
)

// key identifies an account's state on one entry.
type key struct {
	account acct.ID
	entry   label.Name
}

// state is an account's token bucket and usage on one entry.
type state struct {
	bucket  bucket
	running int
	// recent is a decaying count of the requests of about the last usageAveragingTime, as of recentAt.
	recent   float64
	recentAt time.Time
}

// Gate enforces one process's share of every account's limits.
//
// The shares of all processes add up to at most 1. All methods may be called concurrently.
type Gate struct {
	// Share returns the process's share, 0 to 1, of an account's limits on an entry at a time.
	Share func(account acct.ID, entry label.Name, now time.Time) float64
	// Started is when the process started; tokens accrue from then on.
	Started time.Time

	mu     sync.Mutex
	states map[key]*state
}

// Admit admits one request of an account of the given scale, or returns an OverLimit error with the delay after which
// to retry.
//
// The caller calls release once the request has ended; further calls have no effect.
func (g *Gate) Admit(account acct.ID, scale float64, e *entry.Entry, now time.Time) (release func(), err error) {
	g.update(account, scale, e, now, func(s *state, share float64) { release, err = g.admit(s, account, e, share, now) })
	return release, err
}

func (g *Gate) admit(s *state, account acct.ID, e *entry.Entry, share float64, now time.Time) (release func(), err error) {
	if float64(s.running+1) > float64(e.Limits.Concurrent)*share {
		return nil, fault.New(kind.OverLimit, "account", "account %s is at its concurrency limit here with %d requests of %s in flight", account, s.running, e.Name).WithRetryAfter(busyRetryDelay)
	}
	wait, ever := s.bucket.wait()
	if !ever {
		wait = busyRetryDelay
	}
	if wait > 0 {
		return nil, fault.New(kind.OverLimit, "account", "account %s is over its rate limit on %s", account, e.Name).WithRetryAfter(min(wait, maxRetryDelay))
	}
	s.bucket.tokens--
	s.running++
	s.recent = s.decayed(now) + 1
	s.recentAt = now
	return g.releaser(s), nil
}

func (g *Gate) releaser(s *state) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			s.running--
		})
	}
}

// state returns the account's state on an entry; a new one has the tokens that accrued since the process started.
func (g *Gate) state(k key, e *entry.Entry, share float64) *state {
	if g.states == nil {
		g.states = map[key]*state{}
	}
	s := g.states[k]
	if s == nil {
		s = &state{bucket: bucket{refilledAt: g.Started}}
		s.bucket.rate, s.bucket.burst = e.Limits.Rate*share, float64(e.Limits.Burst)*share
		g.states[k] = s
	}
	return s
}

// resize sets the bucket to the process's current share of the limits.
func (s *state) resize(e *entry.Entry, share float64, now time.Time) {
	s.bucket.setLimits(e.Limits.Rate*share, float64(e.Limits.Burst)*share, now)
}

// RemoveTokens removes a fraction of the tokens held here and returns how many; a lender sends them along with a loan.
func (g *Gate) RemoveTokens(account acct.ID, scale float64, e *entry.Entry, fraction float64, now time.Time) (removed float64) {
	g.update(account, scale, e, now, func(s *state, _ float64) {
		removed = max(0, s.bucket.tokens) * min(1, max(0, fraction))
		s.bucket.tokens -= removed
	})
	return removed
}

// RemoveExcess removes the tokens that will exceed the burst when the share held here falls to share, and returns how
// many.
func (g *Gate) RemoveExcess(account acct.ID, scale float64, e *entry.Entry, share float64, now time.Time) (excess float64) {
	g.update(account, scale, e, now, func(s *state, _ float64) {
		excess = max(0, s.bucket.tokens-float64(e.Limits.Burst)*scale*share)
		s.bucket.tokens -= excess
	})
	return excess
}

// AddTokens adds tokens received from another host, up to the burst of the share held here.
func (g *Gate) AddTokens(account acct.ID, scale float64, e *entry.Entry, tokens float64, now time.Time) {
	g.update(account, scale, e, now, func(s *state, _ float64) {
		s.bucket.tokens += max(0, tokens)
		s.bucket.refill(now)
	})
}

// update resizes the account's bucket to the share held here and calls do under the lock.
func (g *Gate) update(account acct.ID, scale float64, e *entry.Entry, now time.Time, do func(s *state, share float64)) {
	share := scale * g.Share(account, e.Name, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(key{account: account, entry: e.Name}, e, share)
	s.resize(e, share, now)
	do(s, share)
}

// decayed returns the recent count as of now.
func (s *state) decayed(now time.Time) float64 {
	age := max(0, now.Sub(s.recentAt))
	return s.recent * float64(usageAveragingTime) / float64(usageAveragingTime+age)
}

// Used returns the fraction, 0 to 1, of an account's limits on an entry that is in use here: the larger of
// concurrency and rate.
func (g *Gate) Used(account acct.ID, scale float64, e *entry.Entry, now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.states[key{account: account, entry: e.Name}]
	if s == nil {
		return 0
	}
	concurrency := float64(s.running) / (float64(e.Limits.Concurrent) * scale)
	rate := s.decayed(now) / usageAveragingTime.Seconds() / (e.Limits.Rate * scale)
	return max(concurrency, rate)
}
