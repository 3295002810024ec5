package shift

import (
	"fmt"
	"math"

	"github.com/dragonflyroute/dragonflyroute/coordination/judge"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

// serve plays one host's traffic.
func (s *Shift) serve(p *process) {
	perStep := s.Rate / hosts * traffic.Seconds()
	for !s.over {
		for range s.poisson(perStep) {
			s.request(p)
		}
		s.sched.Sleep(traffic)
	}
}

func (s *Shift) poisson(mean float64) int {
	n, product, bound := 0, s.sched.Rand.Float64(), math.Exp(-mean)
	for product > bound {
		n++
		product *= s.sched.Rand.Float64()
	}
	return n
}

func (s *Shift) route() int {
	x := s.sched.Rand.Float64()
	for i, w := range s.weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return routes - 1
}

func (s *Shift) request(p *process) {
	c := p.holder.Current()
	m := c.Move(service)
	r := s.route()
	name := fmt.Sprintf("route-%d", r)
	_, id, isNew := p.steer.Choose(c.Entry(service), m, name)
	if s.Way != Product {
		id, isNew = m.ID, s.sched.Rand.Float64() < s.share
	}
	s.Requests++
	bad := s.sched.Chance(s.rate(r, isNew, m.Share))
	if isNew {
		s.met++
		s.count(r, m)
	}
	switch {
	case id == "":
	case s.Way == Product:
		p.mover.Record(id, name, isNew, bad)
	default:
		p.score.Record(id, name, isNew, bad)
	}
}

// showing reports whether the new version is bad on a route now.
func (s *Shift) showing(r int, share float64) bool {
	switch s.Kind {
	case Failing, Slow:
		return true
	case Later:
		return s.met > s.laterAt
	case Load:
		return share >= loadShare
	case Route:
		return r == s.badRoute
	default:
		return false
	}
}

func (s *Shift) rate(r int, isNew bool, share float64) float64 {
	if s.Way != Product {
		share = s.share
	}
	if isNew && s.showing(r, share) {
		return s.badRate
	}
	if s.Kind == Noisy {
		return noisyRate
	}
	return goodRate
}

// count counts a request on the new version; a bad version is one whatever the route.
func (s *Shift) count(r int, m *move.Move) {
	share := m.Share
	if s.Way != Product {
		share = s.share
	}
	if s.Kind == Route || s.showing(r, share) {
		s.MetBad++
	}
	if s.shown {
		s.AfterShown++
		return
	}
	if s.met%shownEvery == 0 {
		j := judge.Judge{Alpha: alpha, Margin: margin}
		_, s.shown = j.Bad(s.totals(m.ID))
	}
}

// shownEvery is the number of requests on the new version between looks at the whole evidence.
const shownEvery = 5

func (s *Shift) totals(id string) []trial.Trial {
	var out []trial.Trial
	for i := range routes {
		t := trial.Trial{Route: fmt.Sprintf("route-%d", i)}
		for _, p := range s.processes {
			for _, got := range p.score.ByRoute(id) {
				if got.Route == t.Route {
					t = t.Add(got)
				}
			}
		}
		out = append(out, t)
	}
	return out
}
