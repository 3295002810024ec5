// Package rates admits requests within the accounts' rates, which hold over all entry hosts together.
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
	"github.com/dragonflyroute/dragonflyroute/protocol/sums"
)

const (
	// sumsAge is the age from which the figures of the other hosts are no longer used.
	sumsAge = 2500 * time.Millisecond
	// sumsPart is the part of the other hosts that must be in them, and enoughHosts the number that is enough of any fleet.
	sumsPart    = 0.5
	enoughHosts = 5.0
	// tightPart is the part of an account's rate from which it may come to its limit soon.
	tightPart = 0.6
	// leastSeasoned is the part of a window that hosts must have run, on their average, before their figures are used:
	// demand is known only after a while.
	leastSeasoned = 0.12
)

// Rates admits one process's part of the requests of every account.
//
// The hosts tell each other what accounts ask for and what was admitted in the last window. While a host knows that of
// most others, it admits by what the window of all of them has left; otherwise it keeps to a part of the rate of its own.
// A process starts without saved-up units, so that a host that starts again does not give out a burst twice. All methods may
// be called concurrently.
type Rates struct {
	// Hosts returns the number of entry hosts, this one included.
	Hosts func() int
	// Slack is the excess over all hosts that is tolerated once, in units.
	Slack float64
	// Window is the length of the window in which the limits hold, nought for none that is known.
	Window time.Duration
	// Rand returns a number in [0, 1); it is only needed with figures of other hosts.
	Rand func() float64
	// Started is when the process started; units are saved up from then on.
	Started time.Time

	mu    sync.Mutex
	lines map[acct.ID]*line
	// sums is what all other hosts together ask for and have admitted, as of sumsAt.
	sums   *sums.Sums
	sumsAt time.Time
}

// line is what a process knows of one account by its own requests.
type line struct {
	// rate is the account's rate over all hosts.
	rate float64
	// asked tells that there was a request before.
	asked bool
	// demand is the units per second asked for here.
	demand average
	// window is what was admitted here lately.
	window window
	// admitted is the part of the units asked for that was admitted lately.
	admitted share
	// owed is what the process has admitted less than its part, or more when it is below nought.
	owed float64
	// own is the process's own part of the rate, for times in which it knows too little of the others.
	own bucket
}

// Admit takes cost units of an account's rate, or returns an OverLimit error with what decided it and the time until the account
// may come back.
func (r *Rates) Admit(c *client.Client, cost float64, now time.Time) error {
	if c.Rate <= 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.line(c.Name)
	l.rate = c.Rate
	l.demand.add(cost, now)
	l.own.fill(c, r.part(c, l, now), now)
	if !l.asked {
		l.own.begin(cost)
	}
	l.asked = true
	if err := r.decide(c, l, cost, now); err != nil {
		return err
	}
	l.own.take(cost)
	l.window.add(cost, now, r.length())
	return nil
}

func (r *Rates) decide(c *client.Client, l *line, cost float64, now time.Time) error {
	if r.known(now) {
		s := r.standing(c, l, now)
		if wait, ok := r.thin(l, s.part(), cost, now); !ok {
			return over(c, "the hosts admitted %.0f of %.0f units in the window and are asked for %.0f a second, by figures %d ms old", s.used, s.allowed, s.demand, s.lag.Milliseconds()).After(wait)
		}
		return nil
	}
	if wait, ok := l.own.admit(cost, r.Slack/float64(max(1, r.Hosts()))); !ok {
		return over(c, "the other hosts' figures are not known, and this one has %.0f units left of its part of %.0f a second", l.own.balance, l.own.rate).After(wait)
	}
	return nil
}

// over makes the refusal of an account.
func over(c *client.Client, reason string, args ...any) *fault.Error {
	return fault.New(kind.OverLimit, "account", "account %s is over its rate: %s", c.Name, fmt.Sprintf(reason, args...))
}

// length is the length of the window that is kept.
func (r *Rates) length() time.Duration { return max(r.Window, time.Second) }

func (r *Rates) line(account acct.ID) *line {
	if r.lines == nil {
		r.lines = map[acct.ID]*line{}
	}
	l := r.lines[account]
	if l == nil {
		l = &line{admitted: share{value: 1}, own: bucket{filled: r.Started}}
		r.lines[account] = l
	}
	return l
}

// HearSums takes the figures of all other hosts together; the caller must not change them.
func (r *Rates) HearSums(s *sums.Sums, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sums, r.sumsAt = s, now
}

// known reports whether the figures of the other hosts are young and stand for enough of them.
func (r *Rates) known(now time.Time) bool {
	others := float64(r.Hosts() - 1)
	if r.Window <= 0 || others <= 0 {
		return r.Window > 0
	}
	return r.young(now) && float64(r.sums.Hosts) >= min(enoughHosts, max(1, sumsPart*others)) && r.seasoned(now) >= leastSeasoned
}

// young reports whether there are figures of other hosts that may be used.
func (r *Rates) young(now time.Time) bool {
	return r.sums != nil && r.sums.Hosts > 0 && now.Sub(r.sumsAt) < sumsAge
}

// Own returns what each account asks for here, in units per second, and what was admitted in the last window, both in whole units
// as they are told often.
func (r *Rates) Own(now time.Time) (demand, used map[acct.ID]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	demand, used = map[acct.ID]float64{}, map[acct.ID]float64{}
	for account, l := range r.lines {
		if d := l.demand.at(now); d >= 1 {
			demand[account] = math.Floor(d)
		}
		if u := l.window.sum(now, r.length()); u > 0 {
			used[account] = math.Floor(u)
		}
	}
	return demand, used
}

// Tight reports whether some account may come to its limit soon, as far as is known: the hosts' figures should be young then.
func (r *Rates) Tight(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Window <= 0 || !r.young(now) {
		return false
	}
	for account, l := range r.lines {
		demand := l.demand.at(now) + r.scale()*r.sums.Demand[account]
		used := l.window.sum(now, r.length()) + r.scale()*r.sums.Used[account]
		if max(demand, used/r.Window.Seconds()) > tightPart*l.rate {
			return true
		}
	}
	return false
}

// Age returns the part of a window since which the process runs.
func (r *Rates) Age(now time.Time) float64 {
	if r.Window <= 0 {
		return 1
	}
	return min(1, now.Sub(r.Started).Seconds()/r.Window.Seconds())
}
