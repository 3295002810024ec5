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

// Record counts one finished request of a move and returns the route's counts. isNew tells whether the new version served
// the request, bad whether the outcome counts against that version.
func (s *Trials) Record(move, route string, isNew, bad bool) trial.Trial {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trials == nil {
		s.trials = map[string]map[string]*trial.Trial{}
	}
	routes := s.trials[move]
	if routes == nil {
		routes = map[string]*trial.Trial{}
		s.trials[move] = routes
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
func (s *Trials) ByRoute(move string) []trial.Trial {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []trial.Trial
	for _, t := range s.trials[move] {
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b trial.Trial) int { return cmp.Compare(a.Route, b.Route) })
	return out
}

// Withdraw records that a move is withdrawn and reports whether that was not known.
func (s *Trials) Withdraw(move string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.withdrawn == nil {
		s.withdrawn = map[string]bool{}
	}
	if s.withdrawn[move] {
		return false
	}
	s.withdrawn[move] = true
	return true
}

// Withdrawn reports whether the move is withdrawn.
func (s *Trials) Withdrawn(move string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.withdrawn[move]
}

// AllWithdrawn returns the withdrawn moves, sorted.
func (s *Trials) AllWithdrawn() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id := range s.withdrawn {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Retain removes every move that is not listed.
func (s *Trials) Retain(moves []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.trials {
		if !slices.Contains(moves, id) {
			delete(s.trials, id)
		}
	}
	for id := range s.withdrawn {
		if !slices.Contains(moves, id) {
			delete(s.withdrawn, id)
		}
	}
}
