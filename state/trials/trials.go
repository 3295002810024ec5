// Package trials counts a process's own request outcomes during version moves.
package trials

import (
	"cmp"
	"slices"
	"sync"

	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

// Trials holds request outcomes by move and route, and the moves that are known to be withdrawn.
//
// A withdrawn move stays withdrawn. All methods may be called concurrently.
type Trials struct {
	mu        sync.Mutex
	trials    map[string]map[string]*trial.Trial
	withdrawn map[string]bool
}

// Record counts one finished request of a move and returns the route's counts. isNew is set when the new version served
// the request, and bad when the request failed or was late.
func (ts *Trials) Record(move, route string, isNew, bad bool) trial.Trial {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.trials == nil {
		ts.trials = map[string]map[string]*trial.Trial{}
	}
	routes := ts.trials[move]
	if routes == nil {
		routes = map[string]*trial.Trial{}
		ts.trials[move] = routes
	}
	t := routes[route]
	if t == nil {
		t = &trial.Trial{Route: route}
		routes[route] = t
	}
	count(t, isNew, bad)
	return *t
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
	for _, t := range ts.trials[move] {
		out = append(out, *t)
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
