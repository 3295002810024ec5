// Package trials counts a process's own request outcomes during version moves.
package trials

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

// Trials holds request outcomes by move and route, and the moves that are known to be withdrawn.
//
// A withdrawn move stays withdrawn. All methods may be called concurrently.
type Trials struct {
	// Now returns the time; nil leaves out what depends on it.
	Now func() time.Time

	mu        sync.Mutex
	trials    map[string]map[string]*counts
	withdrawn map[string]bool
}

// counts are the outcomes on one route of a move. The embedded counts' NewDue is of the seconds that have ended.
type counts struct {
	trial.Trial
	// second is the latest second with an outcome, in Unix seconds, and in holds the outcomes of it.
	second int64
	in     trial.Trial
	// doubtful is the number of the new version's doubtful outcomes in that second, and worse the number of seconds in a row that
	// ended before it with a larger share of them than the old version's bad share of all seconds.
	doubtful int64
	worse    int
}

// Record counts one finished request of a move and returns the route's counts. isNew is set when the new version served
// the request, and bad when the request failed or was late.
func (ts *Trials) Record(move, route string, isNew, bad bool) trial.Trial {
	return ts.record(move, route, isNew, bad, false)
}

// RecordDoubtful counts one finished request of a move whose outcome is bad and may be the caller's doing, and returns the
// route's counts.
func (ts *Trials) RecordDoubtful(move, route string, isNew bool) trial.Trial {
	return ts.record(move, route, isNew, true, true)
}

func (ts *Trials) record(move, route string, isNew, bad, doubtful bool) trial.Trial {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	c := ts.countsOf(move, route)
	if ts.Now != nil {
		c.enter(ts.Now().Unix())
		count(&c.in, isNew, bad)
		if doubtful && isNew {
			c.doubtful++
		}
	}
	count(&c.Trial, isNew, bad)
	return c.sum()
}

// countsOf returns the counts of a route of a move. The caller holds ts.mu.
func (ts *Trials) countsOf(move, route string) *counts {
	if ts.trials == nil {
		ts.trials = map[string]map[string]*counts{}
	}
	routes := ts.trials[move]
	if routes == nil {
		routes = map[string]*counts{}
		ts.trials[move] = routes
	}
	c := routes[route]
	if c == nil {
		c = &counts{Trial: trial.Trial{Route: route}}
		routes[route] = c
	}
	return c
}

// enter ends the seconds before the given one.
func (c *counts) enter(second int64) {
	if second == c.second {
		return
	}
	c.Trial = c.sum()
	if c.in.New > 0 {
		c.worse++
		if float64(c.doubtful) <= c.oldShare()*float64(c.in.New) {
			c.worse = 0
		}
	}
	c.second, c.in, c.doubtful = second, trial.Trial{}, 0
}

const (
	// oldWeight is the weight of the old version's share of all seconds against one request of the second, in its share there.
	oldWeight = 0.25
	// burstSeconds is the longest burst of doubtful outcomes that is taken for the callers' doing while the old version has no
	// requests.
	burstSeconds = 5
)

// sum returns the counts with what is due of the latest second, too: the old version's bad share there or, if it had no request,
// its share of all seconds and a burst of doubtful outcomes.
func (c *counts) sum() trial.Trial {
	t, fresh, all := c.Trial, float64(c.in.New), c.oldShare()
	switch {
	case c.in.Old > 0:
		t.NewDue += fresh * (float64(c.in.OldBad) + oldWeight*all) / (float64(c.in.Old) + oldWeight)
	case c.worse < burstSeconds:
		t.NewDue += max(fresh*all, float64(c.doubtful))
	default:
		t.NewDue += fresh * all
	}
	return t
}

// oldShare returns the old version's bad share of all seconds.
func (c *counts) oldShare() float64 {
	if c.Old == 0 {
		return 0
	}
	return float64(c.OldBad) / float64(c.Old)
}

func count(t *trial.Trial, isNew, bad bool) {
	n, nBad := &t.Old, &t.OldBad
	if isNew {
		n, nBad = &t.New, &t.NewBad
	}
	*n++
	if bad {
		*nBad++
	}
}

// ByRoute returns the counts of a move, sorted by route.
func (ts *Trials) ByRoute(move string) []trial.Trial {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	var out []trial.Trial
	for _, c := range ts.trials[move] {
		out = append(out, c.sum())
	}
	slices.SortFunc(out, func(a, b trial.Trial) int { return cmp.Compare(a.Route, b.Route) })
	return out
}

// Withdraw records that a move is withdrawn and reports whether that was not known.
func (ts *Trials) Withdraw(move string) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.withdrawn == nil {
		ts.withdrawn = map[string]bool{}
	}
	if ts.withdrawn[move] {
		return false
	}
	ts.withdrawn[move] = true
	return true
}

// Withdrawn reports whether the move is withdrawn.
func (ts *Trials) Withdrawn(move string) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.withdrawn[move]
}

// AllWithdrawn returns the withdrawn moves, sorted.
func (ts *Trials) AllWithdrawn() []string {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	var out []string
	for id := range ts.withdrawn {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Retain removes every move that is not listed.
func (ts *Trials) Retain(moves []string) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for id := range ts.trials {
		if !slices.Contains(moves, id) {
			delete(ts.trials, id)
		}
	}
	for id := range ts.withdrawn {
		if !slices.Contains(moves, id) {
			delete(ts.withdrawn, id)
		}
	}
}
