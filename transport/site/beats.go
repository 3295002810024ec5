package site

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/pulse"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/sums"
)

// pulse returns the process's next heartbeat.
func (s *Site) pulse() pulse.Pulse {
	now := time.Now()
	state := pulse.Live
	if leaving, _ := s.Leaving(); leaving {
		state = pulse.Leaving
	} else if s.Policy.Rules() == nil {
		state = pulse.Starting
	}
	p := pulse.Pulse{
		Host:        s.Host,
		Incarnation: s.incarnation,
		Seq:         s.sequence.Add(1),
		Callers:     s.Callers,
		Peers:       s.peerAddress(),
		DataCentre:  s.DataCentre,
		State:       state,
		Weight:      s.Capacity,
		Load:        int(s.waiting.Load()),
		Read:        map[string][]uint64{},
		Announced:   map[string]int64{},
		Trials:      s.ownTrials(),
		Withdrawn:   s.scores.AllWithdrawn(),
	}
	p.Doubts = s.fleet.Doubts(now)
	s.addEndpoints(&p, now)
	if !s.polls.HasFigures(now) {
		p.Own = s.ownSums(now)
		p.Usage = s.usage.Own()
	}
	return p
}

// ownSums returns the process's own figures.
func (s *Site) ownSums(now time.Time) *sums.Sums {
	out := &sums.Sums{
		Hosts:    1,
		Seasoned: s.Rates.Coverage(now),
		Prefill:  s.flow.Own(now),
		Speed:    s.speed.Own(),
		Sent:     map[string]int{},
		Unread:   map[string]int64{},
	}
	out.Demand, out.Used = s.Rates.LocalUsage(now)
	for _, t := range s.Depot.All() {
		running, unread := t.OwnOutstanding()
		id := string(t.Row().ID)
		if running > 0 {
			out.Sent[id] = running
		}
		if unread > 0 {
			out.Unread[id] = unread
		}
	}
	return out
}

// hearRest takes the figures of other hosts together. Those of hosts that are missing are taken for like the others',
// and those that are in them twice count once.
func (s *Site) hearRest(rest *sums.Sums, now time.Time) {
	if rest.Hosts == 0 {
		return
	}
	scale := rest.Scale(s.hosts() - 1)
	s.Rates.SetOthers(rest, now)
	s.speed.SetOthers(rest.Speed)
	s.flow.SetOthers(scaled(rest.Prefill, scale), now)
	for _, t := range s.Depot.All() {
		id := string(t.Row().ID)
		t.SetOthers(scale*float64(rest.Sent[id]), scale*float64(rest.Unread[id]), now)
	}
}

// addEndpoints adds the prompt parts that endpoints have read, and which endpoints said that they leave.
func (s *Site) addEndpoints(p *pulse.Pulse, now time.Time) {
	for _, t := range s.Depot.All() {
		id := string(t.Row().ID)
		if t.LeavingReported() && t.Row().State == roster.Live {
			p.Announced[id] = t.Row().Born
		}
		if read := t.NewlyCached(now); len(read) > 0 {
			p.Read[id] = read
		}
	}
}

// heard takes a peer's heartbeat.
func (s *Site) heard(p pulse.Pulse) {
	now := time.Now()
	s.fleet.MergeDoubts(p.Host, p.Doubts, now)
	s.hearTrials(p)
	s.hearFigures(p, now)
	for id, born := range p.Announced {
		if s.Depot.RecordLeaving(endpt.ID(id), born) {
			s.Log.Info("endpoint leaves", "endpoint", id, "told-by", p.Host)
		}
	}
	for _, t := range s.Depot.All() {
		t.AddCached(p.Read[string(t.Row().ID)], now)
	}
}

// hearFigures takes a peer's figures, unless they go another way.
func (s *Site) hearFigures(p pulse.Pulse, now time.Time) {
	if p.Own == nil {
		return
	}
	s.usage.MergePeer(p.Host, p.Incarnation, p.Usage, now)
	s.beats.Update(p.Host, p.Own, now)
	if !s.polls.HasFigures(now) {
		s.hearRest(s.beats.Others(now), now)
	}
}

func scaled[K comparable](values map[K]float64, scale float64) map[K]float64 {
	out := make(map[K]float64, len(values))
	for k, v := range values {
		out[k] = scale * v
	}
	return out
}
