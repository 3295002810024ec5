package mover

import (
	"slices"
	"strings"

	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

// reports holds the trials of a move that the hosts reported to its leader, by host and route. Its totals never
// decrease.
//
// The last counts of a host that does not answer are kept. A host that reports smaller counts than before has restarted;
// its new counts are added to those from before the restart.
type reports map[string]map[string]routeCounts

type routeCounts struct {
	before, now trial.Trial
}

// record stores the trials that one host reported.
func (r reports) record(host string, trials []trial.Trial) {
	routes := r[host]
	if routes == nil {
		routes = map[string]routeCounts{}
		r[host] = routes
	}
	for _, t := range trials {
		c := routes[t.Route]
		if decreased(t, c.now) {
			c.before = c.before.Add(c.now)
		}
		c.now = t
		routes[t.Route] = c
	}
}

// total returns all hosts' trials by route, sorted.
func (r reports) total() []trial.Trial {
	sums := map[string]trial.Trial{}
	for _, routes := range r {
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

func decreased(t, from trial.Trial) bool {
	return t.Old < from.Old || t.New < from.New || t.OldBad < from.OldBad || t.NewBad < from.NewBad
}
