package shift

import (
	"fmt"
	"math"

	"github.com/dragonflyroute/dragonflyroute/coordination/judge"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

// generateTraffic sends one entry host's requests.
func (s *Simulation) generateTraffic(p *process) {
	perStep := s.Rate / hosts * trafficStep.Seconds()
	for !s.ended {
		for range s.poisson(perStep) {
			s.sendRequest(p)
		}
		s.sched.Sleep(trafficStep)
	}
}

// poisson draws the number of arrivals in a step.
func (s *Simulation) poisson(mean float64) int {
	n, product, bound := 0, s.sched.Rand.Float64(), math.Exp(-mean)
	for product > bound {
		n++
		product *= s.sched.Rand.Float64()
	}
	return n
}

func (s *Simulation) drawRoute() int {
	x := s.sched.Rand.Float64()
	for i, w := range s.weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return routes - 1
}

// sendRequest draws the version and the outcome of one request and records both.
func (s *Simulation) sendRequest(p *process) {
	c := p.catalogue.Current()
	m := c.Move(service)
	routeIndex := s.drawRoute()
	name := fmt.Sprintf("route-%d", routeIndex)
	_, id, isNew := p.splitter.Choose(c.Entry(service), m, name)
	if s.Strategy != Product {
		id, isNew = m.ID, s.sched.Rand.Float64() < s.baselineShare
	}
	s.Requests++
	bad := s.sched.Chance(s.errorRate(routeIndex, isNew, m.Share))
	if isNew {
		s.newRequests++
		s.countExposure(routeIndex, m)
	}
	switch {
	case id == "":
	case s.Strategy == Product:
		p.mover.Record(id, name, isNew, bad)
	default:
		p.trials.Record(id, name, isNew, bad)
	}
}

// isBad reports whether the new version is bad on a route at a share of the traffic.
func (s *Simulation) isBad(r int, share float64) bool {
	switch s.Kind {
	case Failing, Slow:
		return true
	case BadLater:
		return s.newRequests > s.badAfter
	case BadUnderLoad:
		return share >= overloadShare
	case BadOnOneRoute:
		return r == s.badRoute
	default:
		return false
	}
}

func (s *Simulation) errorRate(r int, isNew bool, share float64) float64 {
	if s.Strategy != Product {
		share = s.baselineShare
	}
	if isNew && s.isBad(r, share) {
		return s.badErrorRate
	}
	if s.Kind == Noisy {
		return noisyErrorRate
	}
	return goodErrorRate
}

// countExposure counts a request on the new version. A version that is bad on one route counts as bad on every route.
func (s *Simulation) countExposure(r int, m *move.Move) {
	share := m.Share
	if s.Strategy != Product {
		share = s.baselineShare
	}
	if s.Kind == BadOnOneRoute || s.isBad(r, share) {
		s.ExposedRequests++
	}
	if s.evident {
		s.ExposedAfterEvidence++
		return
	}
	if s.newRequests%judgePeriod == 0 {
		j := judge.Judge{Alpha: alpha, Margin: margin}
		_, s.evident = j.Bad(s.mergedTrials(m.ID))
	}
}

// judgePeriod is the number of requests on the new version between two tests of the trials of all hosts.
const judgePeriod = 5

// mergedTrials returns the trials of a move by route, summed over all entry hosts.
func (s *Simulation) mergedTrials(id string) []trial.Trial {
	var out []trial.Trial
	for i := range routes {
		t := trial.Trial{Route: fmt.Sprintf("route-%d", i)}
		for _, p := range s.processes {
			for _, got := range p.trials.ByRoute(id) {
				if got.Route == t.Route {
					t = t.Add(got)
				}
			}
		}
		out = append(out, t)
	}
	return out
}
