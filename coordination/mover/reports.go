package mover

import (
	"slices"
	"strings"

	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

// heard is what a leader has heard from every host of a move's trials; it only grows.
//
// A host that does not answer keeps the counts that it told last. One that counts less than before has restarted; its
// new counts are added to those from before.
type heard map[string]map[string]counts

type counts struct {
	before, now trial.Trial
}

// take notes one host's trials.
func (h heard) take(host string, trials []trial.Trial) {
	routes := h[host]
	if routes == nil {
		routes = map[string]counts{}
		h[host] = routes
	}
	for _, t := range trials {
		c := routes[t.Route]
		if fell(t, c.now) {
			c.before = c.before.Add(c.now)
		}
		c.now = t
		routes[t.Route] = c
	}
}

// total returns all hosts' trials by route, sorted.
func (h heard) total() []trial.Trial {
	sums := map[string]trial.Trial{}
	for _, routes := range h {
		for route, c := range routes {
			sums[route] = sums[route].Add(c.before).Add(c.now)
		}
	}
	var out []trial.Trial
	for route, t := range sums {
		t.Route = route
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b trial.Trial) int { return strings.Compare(a.Route, b.Route) })
	return out
}

func fell(t, from trial.Trial) bool {
	return t.Old < from.Old || t.New < from.New || t.OldBad < from.OldBad || t.NewBad < from.NewBad
}
