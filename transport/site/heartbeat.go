package site

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/pulse"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/sums"
)

// heartbeat returns the process's next heartbeat. It carries load statistics and usage only while the polls do not.
func (s *Site) heartbeat() pulse.Pulse {
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
		Load:        int(s.inFlight.Load()),
		Read:        map[string][]uint64{},
		Announced:   map[string]int64{},
		Trials:      s.runningTrials(),
		Withdrawn:   s.ownTrials.AllWithdrawn(),
	}
	p.Doubts = s.fleet.Doubts(now)
	s.addEndpoints(&p, now)
	if !s.polls.HasFigures(now) {
		p.Own = s.ownStats(now)
		p.Usage = s.usage.Own()
	}
	return p
}

// ownStats returns the load statistics of this process alone.
func (s *Site) ownStats(now time.Time) *sums.Sums {
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
		running, prefill := t.OwnOutstanding()
		id := string(t.Row().ID)
		if running > 0 {
			out.Sent[id] = running
		}
		if prefill > 0 {
			out.Unread[id] = prefill
		}
	}
	return out
}

// setOthers applies the sum of other hosts' load statistics. It scales sums of load by the number of hosts known, as some
// hosts may be missing from the sum and others may be counted twice.
func (s *Site) setOthers(others *sums.Sums, now time.Time) {
	if others.Hosts == 0 {
		return
	}
	scale := others.Scale(s.hosts() - 1)
	s.Rates.SetOthers(others, now)
	s.speed.SetOthers(others.Speed)
	s.flow.SetOthers(scaled(others.Prefill, scale), now)
	for _, t := range s.Depot.All() {
		id := string(t.Row().ID)
		t.SetOthers(scale*float64(others.Sent[id]), scale*float64(others.Unread[id]), now)
	}
}

// addEndpoints adds the prompt blocks newly cached by endpoints, and the endpoints that announced that they leave.
func (s *Site) addEndpoints(p *pulse.Pulse, now time.Time) {
	for _, t := range s.Depot.All() {
		id := string(t.Row().ID)
		if t.LeavingReported() && t.Row().State == roster.Live {
			p.Announced[id] = t.Row().Born
		}
		if cached := t.NewlyCached(now); len(cached) > 0 {
			p.Read[id] = cached
		}
	}
}

// onHeartbeat merges a peer's heartbeat into the local state.
func (s *Site) onHeartbeat(p pulse.Pulse) {
	now := time.Now()
	s.fleet.MergeDoubts(p.Host, p.Doubts, now)
	s.setPeerTrials(p)
	s.setPeerStats(p, now)
	for id, started := range p.Announced {
		if s.Depot.RecordLeaving(endpt.ID(id), started) {
			s.Log.Info("endpoint announced that it leaves", "endpoint", id, "reported-by", p.Host)
		}
	}
	for _, t := range s.Depot.All() {
		t.AddCached(p.Read[string(t.Row().ID)], now)
	}
}

// setPeerStats takes a peer's load statistics and usage, if its heartbeat carries them. The sum over all peers applies
// only while the polls bring none.
func (s *Site) setPeerStats(p pulse.Pulse, now time.Time) {
	if p.Own == nil {
		return
	}
	s.usage.MergePeer(p.Host, p.Incarnation, p.Usage, now)
	s.peerStats.Update(p.Host, p.Own, now)
	if !s.polls.HasFigures(now) {
		s.setOthers(s.peerStats.Others(now), now)
	}
}

func scaled[K comparable](values map[K]float64, scale float64) map[K]float64 {
	out := make(map[K]float64, len(values))
	for k, v := range values {
		out[k] = scale * v
	}
	return out
}
