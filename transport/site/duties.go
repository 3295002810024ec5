package site

import (
	"context"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/elect"
	"github.com/dragonflyroute/dragonflyroute/coordination/leases"
	"github.com/dragonflyroute/dragonflyroute/coordination/report"
	"github.com/dragonflyroute/dragonflyroute/coordination/scaler"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/transport/clock"
)

const (
	// dutyLease is the key of the lease of all duties.
	dutyLease = "duties"
	// leaseSteps is how often the lease is renewed within its term.
	leaseSteps = 3
	// demandTold is the time between log lines on the demand of a back end.
	demandTold = time.Second
	// settleBeats is the number of endpoints' heartbeats after which all of them are taken for known.
	settleBeats = 2
)

func (s *Site) buildDuties() {
	s.leases = &leases.Leases{New: s.lease, Candidate: s.tries, Term: s.LeaseTerm, Now: clock.Boot, Log: s.Log}
	s.through = map[host.ID]int64{}
	s.report = &report.Report{
		Store:        s.Leases,
		Usage:        s.usage,
		Platform:     &underLease{s},
		Collect:      s.readCounts,
		Complete:     s.usageTold,
		Held:         func() (int64, bool) { return s.leases.Held(dutyLease) },
		OnStaleFence: s.refused,
		Deadline:     s.UsageLate,
		Log:          s.Log,
	}
	s.buildCrew()
}

func (s *Site) tries(key string) bool {
	return s.fleet.InTopRanks(key, s.Schedule().LeaseCandidates(), time.Now())
}

// lease counts the lease's term on a clock that a suspension does not stop.
func (s *Site) lease(key string) *elect.Elector {
	return &elect.Elector{
		Store:       s.Leases,
		Key:         key,
		Self:        s.Host,
		Incarnation: s.incarnation,
		Term:        s.LeaseTerm,
		Now:         clock.Boot,
		NewID:       record.WriteID,
	}
}

func (s *Site) buildCrew() {
	s.demandTold = map[label.Name]time.Time{}
	s.crew = &scaler.Scaler{
		Endpoints:    s.Depot,
		Demand:       s.demand,
		Platform:     &underLease{s},
		Held:         func() (int64, bool) { return s.leases.Held(dutyLease) },
		OnStaleFence: s.refused,
		SettleTime:   settleBeats * s.EndpointHeartbeat,
		Now:          time.Now,
		Log:          s.Log,
	}
}

// demand returns a back end's recent peak of demand in endpoints' worth: of the time spent on reading prompts or of the requests
// that run at one time, whichever is larger.
func (s *Site) demand(backend label.Name, now time.Time) (demand float64, known bool) {
	rate, known := s.speed.Rate(backend)
	reading := s.flow.Sum(backend, now)
	running, slots := 0.0, 0.0
	all := s.Depot.ByBackend(backend)
	for _, t := range all {
		n, _ := t.Outstanding(now)
		running += float64(n)
		slots += float64(t.Slots())
	}
	each := max(1, slots/float64(max(1, len(all))))
	demand = max(reading/rate, running/each)
	peak := max(s.flow.PeakTokenRate(backend, reading, now)/rate, s.flow.PeakRunning(backend, running, now)/each)
	s.tellDemand(backend, now, "reading-tokens", int64(reading), "engine-tokens", int64(rate), "known", known, "running", running, "slots", slots, "demand", demand, "peak", peak)
	return peak, known
}

// tellDemand logs what a demand was measured from, once in demandTold.
func (s *Site) tellDemand(backend label.Name, now time.Time, inputs ...any) {
	if now.Sub(s.demandTold[backend]) < demandTold {
		return
	}
	s.demandTold[backend] = now
	s.Log.Info("demand measured", append([]any{"backend", backend}, inputs...)...)
}

// refused finds out whether the lease is still held after the platform refused a call. A platform may refuse for other
// reasons than a higher fencing number, and a lease that is given up and taken again would make holders act by turns.
func (s *Site) refused() {
	ctx, cancel := context.WithTimeout(context.Background(), s.LeaseTerm)
	defer cancel()
	s.leases.Step(ctx, dutyLease)
}

// HoldsDuties reports whether the process holds the duties' lease under a fencing number.
func (s *Site) HoldsDuties(fence int64) bool {
	now, held := s.leases.Held(dutyLease)
	return held && now == fence
}

// underLease makes the platform calls while the duties' lease is held.
type underLease struct{ s *Site }

// Usage reports usage under the lease.
func (u *underLease) Usage(ctx context.Context, fence, window int64, counts map[acct.ID]int64) error {
	return u.s.leases.Use(dutyLease, fence, func() error { return u.s.Duties.Usage(ctx, fence, window, counts) })
}

// Order orders endpoints under the lease.
func (u *underLease) Order(ctx context.Context, fence int64, backend label.Name, in centre.ID, n int, reclaimable bool) error {
	return u.s.leases.Use(dutyLease, fence, func() error { return u.s.Duties.Order(ctx, fence, backend, in, n, reclaimable) })
}

// duty renews or tries to take the duties' lease, and does what is due under it.
func (s *Site) duty(ctx context.Context) error {
	if s.Duties == nil {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(s.LeaseTerm / leaseSteps)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.dutyStep(ctx)
		case <-s.reclaims:
			s.order(ctx)
		}
	}
}

func (s *Site) dutyStep(ctx context.Context) {
	now := s.Policy.Rules()
	if now == nil {
		return
	}
	if _, held := s.leases.Step(ctx, dutyLease); !held {
		s.crew.Standby(now.Backs)
		return
	}
	if s.ReportsUsage {
		s.report.Step(ctx, time.Now())
	}
	s.removeGone(ctx, time.Now())
	s.lead(ctx)
	s.order(ctx)
}

// order orders endpoints while the process holds the lease.
func (s *Site) order(ctx context.Context) {
	if _, held := s.leases.Held(dutyLease); held && s.OrdersEndpoints {
		s.crew.Step(ctx, s.Policy.Rules().Backs)
	}
}

// reclaimed wakes the duties, so that what a reclaim takes is ordered elsewhere at once.
func (s *Site) reclaimed() {
	select {
	case s.reclaims <- struct{}{}:
	default:
	}
}
