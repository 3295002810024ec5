// Package rates is the rate limiter for accounts: it enforces each account's rate over all entry hosts together.
package rates

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/client"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/stats"
)

const (
	// maxSumsAge is the age from which the other hosts' figures are ignored.
	maxSumsAge = 2500 * time.Millisecond
	// minReported is the fraction of the other hosts that the figures must cover, and enoughReports the number of
	// hosts that suffices in a fleet of any size.
	minReported   = 0.5
	enoughReports = 5.0
	// nearLimitFraction is the fraction of its rate from which an account counts as near its limit.
	nearLimitFraction = 0.6
	// minCoverage is the fraction of a window that the hosts must have been running for, on average, before their
	// figures are used: demand is not known right after a start.
	minCoverage = 0.12
)

// Rates admits one process's part of the requests of every account.
//
// The hosts exchange, for each account, its demand and the units admitted in the last window. While a host has fresh
// figures of enough others, it admits requests by what is left in the fleet-wide window; otherwise it falls back to a
// local token bucket with its share of the rate. A process starts with an empty bucket, so that a restarted host does
// not admit a burst twice. All methods may be called concurrently.
type Rates struct {
	// Hosts returns the number of entry hosts, this one included.
	Hosts func() int
	// Slack is the excess over all hosts that is tolerated once, in units.
	Slack float64
	// Window is the length of the window in which the limits hold; 0 if unknown, then only the local buckets are
	// used.
	Window time.Duration
	// Rand returns a random number in [0, 1). It is only needed once figures of other hosts are known.
	Rand func() float64
	// Started is when the process started; units accrue from then on.
	Started time.Time

	mu       sync.Mutex
	accounts map[acct.ID]*accountState
	// sums is the demand and the admitted units of all other hosts together, as of sumsAt.
	sums   *stats.Stats
	sumsAt time.Time
}

// accountState is what a process knows of one account from the requests it has received itself.
type accountState struct {
	// rate is the account's rate limit over all hosts.
	rate float64
	// seen is true once the account has sent a request.
	seen bool
	// demand is the demand at this host, in units per second.
	demand movingAverage
	// window is the units admitted by this host in the last window.
	window window
	// admitted is the recent average of the fraction of demand that was admitted.
	admitted smoothedFraction
	// credit is the units that the process may still admit of its admitted fraction; negative if it has admitted
	// more.
	credit float64
	// local is the bucket with the process's share of the rate, used while too few of the other hosts' figures are
	// known.
	local bucket
}

// Admit takes cost units of an account's rate, or returns an OverLimit error with the figures behind the refusal and
// the time after which to retry.
func (r *Rates) Admit(c *client.Account, cost float64, now time.Time) error {
	if c.Rate <= 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account(c.Name)
	a.rate = c.Rate
	a.demand.add(cost, now)
	a.local.refill(c, r.localFraction(c, a, now), now)
	if !a.seen {
		a.local.fillForFirst(cost)
	}
	a.seen = true
	if err := r.decide(c, a, cost, now); err != nil {
		return err
	}
	a.local.take(cost)
	a.window.add(cost, now, r.windowLength())
	return nil
}

func (r *Rates) decide(c *client.Account, a *accountState, cost float64, now time.Time) error {
	if r.figuresUsable(now) {
		s := r.fleetUsage(c, a, now)
		if wait, ok := r.admitFraction(a, s.fraction(), cost, now); !ok {
			return overLimit(c, "all hosts admitted %.0f of %.0f units in the window and demand is %.0f units/s, by figures %d ms old", s.used, s.allowed, s.demand, s.lag.Milliseconds()).WithRetryAfter(wait)
		}
		return nil
	}
	if wait, ok := a.local.admit(cost, r.Slack/float64(max(1, r.Hosts()))); !ok {
		return overLimit(c, "other hosts' figures are unknown, and this host has %.0f units left of its share of %.0f units/s", a.local.balance, a.local.rate).WithRetryAfter(wait)
	}
	return nil
}

// overLimit returns the error of a refused request.
func overLimit(c *client.Account, reason string, args ...any) *fault.Error {
	return fault.New(kind.OverLimit, "account", "account %s is over its rate limit: %s", c.Name, fmt.Sprintf(reason, args...))
}

// windowLength is the length of the local sliding window, at least 1 s.
func (r *Rates) windowLength() time.Duration { return max(r.Window, time.Second) }

func (r *Rates) account(account acct.ID) *accountState {
	if r.accounts == nil {
		r.accounts = map[acct.ID]*accountState{}
	}
	a := r.accounts[account]
	if a == nil {
		a = &accountState{admitted: smoothedFraction{value: 1}, local: bucket{refilledAt: r.Started}}
		r.accounts[account] = a
	}
	return a
}

// SetOthers sets the combined figures of all other hosts; the caller must not change them afterwards.
func (r *Rates) SetOthers(s *stats.Stats, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sums, r.sumsAt = s, now
}

// figuresUsable reports whether the other hosts' figures are fresh and cover enough hosts and enough of the window.
func (r *Rates) figuresUsable(now time.Time) bool {
	others := float64(r.Hosts() - 1)
	if r.Window <= 0 || others <= 0 {
		return r.Window > 0
	}
	return r.figuresFresh(now) && float64(r.sums.Hosts) >= min(enoughReports, max(1, minReported*others)) && r.fleetCoverage(now) >= minCoverage
}

// figuresFresh reports whether there are figures of other hosts that have not expired.
func (r *Rates) figuresFresh(now time.Time) bool {
	return r.sums != nil && r.sums.Hosts > 0 && now.Sub(r.sumsAt) < maxSumsAge
}

// LocalUsage returns each account's demand at this host, in units per second, and the units admitted here in the last
// window. Both are rounded down to whole units to keep messages small, as they are sent often.
func (r *Rates) LocalUsage(now time.Time) (demand, used map[acct.ID]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	demand, used = map[acct.ID]float64{}, map[acct.ID]float64{}
	for account, a := range r.accounts {
		if d := a.demand.rate(now); d >= 1 {
			demand[account] = math.Floor(d)
		}
		if u := a.window.sum(now, r.windowLength()); u > 0 {
			used[account] = math.Floor(u)
		}
	}
	return demand, used
}

// NearLimit reports whether some account is near its limit over all hosts, as far as known: then the hosts exchange
// figures more often.
func (r *Rates) NearLimit(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Window <= 0 || !r.figuresFresh(now) {
		return false
	}
	for account, a := range r.accounts {
		demand := a.demand.rate(now) + r.scale()*r.sums.Demand[account]
		used := a.window.sum(now, r.windowLength()) + r.scale()*r.sums.Admitted[account]
		if max(demand, used/r.Window.Seconds()) > nearLimitFraction*a.rate {
			return true
		}
	}
	return false
}

// Coverage returns the fraction of a window, at most 1, for which the process has been running.
func (r *Rates) Coverage(now time.Time) float64 {
	if r.Window <= 0 {
		return 1
	}
	return min(1, now.Sub(r.Started).Seconds()/r.Window.Seconds())
}
