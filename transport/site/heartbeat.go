package site

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/cold"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/notice"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/stats"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

// heartbeat returns the process's next heartbeat. It carries load statistics and usage only while polls do not exchange
// them.
func (s *Site) heartbeat() beat.Heartbeat {
	now := time.Now()
	state := beat.Live
	if leaving, _ := s.Leaving(); leaving {
		state = beat.Leaving
	} else if s.Policy.Rules() == nil {
		state = beat.Starting
	}
	p := beat.Heartbeat{
		Host:             s.Host,
		Incarnation:      s.incarnation,
		Seq:              s.sequence.Add(1),
		CallerAddress:    s.CallerAddress,
		PeerAddress:      s.peerAddress(),
		DataCentre:       s.DataCentre,
		State:            state,
		Weight:           s.Capacity,
		InFlight:         int(s.inFlight.Load()),
		NewlyCached:      map[string][]uint64{},
		LeavingEndpoints: map[string]int64{},
		Trials:           s.moves.Running(),
		Withdrawn:        s.ownTrials.AllWithdrawn(),
	}
	p.Suspicions = s.fleet.Suspicions(now)
	s.addEndpoints(&p, now)
	if !s.polls.HasFigures(now) {
		p.Stats = s.ownStats(now)
		p.Usage = s.usage.Own()
	}
	return p
}

// ownStats returns the load statistics of this process alone.
func (s *Site) ownStats(now time.Time) *stats.Stats {
	out := &stats.Stats{
		Hosts:         1,
		Coverage:      s.Rates.Coverage(now),
		PrefillRate:   s.flow.Own(now),
		FirstTokenFit: s.speed.Own(),
		InFlight:      map[string]int{},
		PrefillTokens: map[string]int64{},
		RequestLimits: map[string]notice.Notice{},
		Cold:          map[string]cold.Report{},
		Prompts:       s.prompts.Blame.Reports(now),
	}
	out.Demand, out.Admitted = s.Rates.LocalUsage(now)
	for _, t := range s.Registry.All() {
		running, prefill := t.OwnOutstanding()
		id := string(t.Row().ID)
		if running > 0 {
			out.InFlight[id] = running
		}
		if prefill > 0 {
			out.PrefillTokens[id] = prefill
		}
		if n, ok := ownNotice(t, now); ok {
			out.RequestLimits[id] = n
		}
		if r, ok := t.ColdReport(now); ok {
			out.Cold[id] = r
		}
	}
	return out
}

// endedLimitReportTime is how long the end of a request limit is reported to other hosts.
const endedLimitReportTime = 10 * time.Second

// ownNotice returns what an endpoint has told this process of its request limit; ok is false if it names none, or has not
// told this process.
func ownNotice(t *target.Target, now time.Time) (n notice.Notice, ok bool) {
	n, known, firstHand := t.LimitNotice(now)
	return n, known && firstHand && (n.InForce || n.Age < endedLimitReportTime)
}

// mergeLimit merges what other hosts know of an endpoint's request limit.
func (s *Site) mergeLimit(t *target.Target, n notice.Notice, now time.Time) {
	if n.StartMillis != t.Row().StartMillis || !t.Limit.Merge(n, now) {
		return
	}
	s.Log.Info("endpoint's request limit changed, by another host's report", "endpoint", t.Row().ID, "limited", n.InForce, "per-second", n.PerSecond, "age-ms", n.Age.Milliseconds())
}

// mergeCold merges what other hosts found of an endpoint that is cold, or may be.
func (s *Site) mergeCold(t *target.Target, r cold.Report, now time.Time) {
	if r.StartMillis != t.Row().StartMillis || !t.Warmup.Merge(r, now) {
		return
	}
	s.Log.Info("endpoint may be cold, by another host's report", "endpoint", t.Row().ID, "age-ms", r.Age.Milliseconds())
}

// setOthers applies the sum of other hosts' load statistics. It scales sums of load to the number of hosts known: hosts
// missing from the sum are assumed to have the average load, and hosts counted twice do not raise the total.
func (s *Site) setOthers(others *stats.Stats, now time.Time) {
	if others.Hosts == 0 {
		return
	}
	scale := others.ScaleFactor(s.hosts() - 1)
	s.Rates.SetOthers(others, now)
	s.speed.SetOthers(others.FirstTokenFit)
	s.flow.SetOthers(scaled(others.PrefillRate, scale), now)
	for hash, r := range others.Prompts {
		s.prompts.Blame.Merge(hash, r, now)
	}
	for _, t := range s.Registry.All() {
		id := string(t.Row().ID)
		t.SetOthers(scale*float64(others.InFlight[id]), scale*float64(others.PrefillTokens[id]), now)
		if n, ok := others.RequestLimits[id]; ok {
			s.mergeLimit(t, n, now)
		}
		if r, ok := others.Cold[id]; ok {
			s.mergeCold(t, r, now)
		}
	}
}

// addEndpoints adds the prompt blocks newly cached by endpoints, and the endpoints that announced that they leave.
func (s *Site) addEndpoints(p *beat.Heartbeat, now time.Time) {
	for _, t := range s.Registry.All() {
		id := string(t.Row().ID)
		if t.LeavingReported() && t.Row().State == roster.Live {
			p.LeavingEndpoints[id] = t.Row().StartMillis
		}
		if cached := t.NewlyCached(now); len(cached) > 0 {
			p.NewlyCached[id] = cached
		}
	}
}

// onHeartbeat merges a peer's heartbeat into the local state.
func (s *Site) onHeartbeat(p beat.Heartbeat) {
	now := time.Now()
	s.fleet.MergeSuspicions(p.Host, p.Suspicions, now)
	s.moves.SetPeer(p)
	s.setPeerStats(p, now)
	for id, started := range p.LeavingEndpoints {
		if s.Registry.RecordLeaving(endpt.ID(id), started) {
			s.Log.Info("endpoint announced that it leaves", "endpoint", id, "reported-by", p.Host)
		}
	}
	for _, t := range s.Registry.All() {
		t.AddCached(p.NewlyCached[string(t.Row().ID)], now)
	}
}

// setPeerStats stores a peer's load statistics and usage, if its heartbeat carries them. The sum over all peers is
// applied only while the polls return none.
func (s *Site) setPeerStats(p beat.Heartbeat, now time.Time) {
	if p.Stats == nil {
		return
	}
	s.usage.MergePeer(p.Host, p.Incarnation, p.Usage, now)
	s.peerStats.Update(p.Host, p.Stats, now)
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
