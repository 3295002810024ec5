package site

import (
	"context"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/crew"
	"github.com/dragonflyroute/dragonflyroute/coordination/keeper"
	"github.com/dragonflyroute/dragonflyroute/coordination/leases"
	"github.com/dragonflyroute/dragonflyroute/coordination/report"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/transport/clock"
)

const (
	// leaseKey is the key of the lease of all duties.
	leaseKey = "duties"
	// renewalsPerTerm is how often the lease is renewed within its term.
	renewalsPerTerm = 3
	// demandLogInterval is the time between log lines on the demand of a back end.
	demandLogInterval = time.Second
	// settleHeartbeats is the number of endpoints' heartbeats after which all of them are taken for known.
	settleHeartbeats = 2
)

func (s *Site) buildLeaseHolder() {
	s.leases = &leases.Leases{New: s.newElector, Tries: s.isCandidate, Term: s.LeaseTerm, Now: clock.Boot, Log: s.Log}
	s.finalWindows = map[host.ID]int64{}
	s.report = &report.Report{
		Store:    s.Leases,
		Usage:    s.usage,
		Platform: &leasedCalls{s},
		Gather:   s.readUsage,
		Complete: s.usageComplete,
		Held:     func() (int64, bool) { return s.leases.Held(leaseKey) },
		Refused:  s.onStaleFence,
		Late:     s.UsageLate,
		Log:      s.Log,
	}
	s.buildScaler()
}

func (s *Site) isCandidate(key string) bool {
	return s.fleet.Ranks(key, s.Paces().LeaseTries(), time.Now())
}

// newElector counts the lease's term on a clock that a suspension does not stop.
func (s *Site) newElector(key string) *keeper.Keeper {
	return &keeper.Keeper{
		Store:       s.Leases,
		Key:         key,
		Self:        s.Host,
		Incarnation: s.incarnation,
		Term:        s.LeaseTerm,
		Now:         clock.Boot,
		NewID:       record.WriteID,
	}
}

func (s *Site) buildScaler() {
	s.demandLogged = map[label.Name]time.Time{}
	s.scaler = &crew.Crew{
		Endpoints: s.Depot,
		Demand:    s.demand,
		Platform:  &leasedCalls{s},
		Held:      func() (int64, bool) { return s.leases.Held(leaseKey) },
		Refused:   s.onStaleFence,
		Settle:    settleHeartbeats * s.EndpointHeartbeat,
		Now:       time.Now,
		Log:       s.Log,
	}
}

// demand returns a back end's recent peak of demand in endpoints' worth: of the time spent on reading prompts or of the requests
// that run at one time, whichever is larger.
func (s *Site) demand(backend label.Name, now time.Time) (demand float64, known bool) {
	prefillRate, known := s.speed.Rate(backend)
	promptRate := s.flow.Sum(backend, now)
	running, slots := 0.0, 0.0
	endpoints := s.Depot.Of(backend)
	for _, t := range endpoints {
		n, _ := t.Busy(now)
		running += float64(n)
		slots += float64(t.Slots())
	}
	slotsPerEndpoint := max(1, slots/float64(max(1, len(endpoints))))
	demand = max(promptRate/prefillRate, running/slotsPerEndpoint)
	peak := max(s.flow.PeakReading(backend, promptRate, now)/prefillRate, s.flow.PeakRunning(backend, running, now)/slotsPerEndpoint)
	s.logDemand(backend, now, "reading-tokens", int64(promptRate), "engine-tokens", int64(prefillRate), "known", known, "running", running, "slots", slots, "demand", demand, "peak", peak)
	return peak, known
}

// logDemand logs what a demand was measured from, once in demandTold.
func (s *Site) logDemand(backend label.Name, now time.Time, fields ...any) {
	if now.Sub(s.demandLogged[backend]) < demandLogInterval {
		return
	}
	s.demandLogged[backend] = now
	s.Log.Info("demand measured", append([]any{"backend", backend}, fields...)...)
}

// onStaleFence finds out whether the lease is still held after the platform refused a call. A platform may refuse for other
// reasons than a higher fencing number, and a lease that is given up and taken again would make holders act by turns.
func (s *Site) onStaleFence() {
	ctx, cancel := context.WithTimeout(context.Background(), s.LeaseTerm)
	defer cancel()
	s.leases.Step(ctx, leaseKey)
}

// HoldsDuties reports whether the process holds the duties' lease under a fencing number.
func (s *Site) HoldsDuties(fence int64) bool {
	current, held := s.leases.Held(leaseKey)
	return held && current == fence
}

// leasedCalls makes the platform calls while the duties' lease is held.
type leasedCalls struct{ s *Site }

// Usage reports usage under the lease.
func (u *leasedCalls) Usage(ctx context.Context, fence, window int64, counts map[acct.ID]int64) error {
	return u.s.leases.Use(leaseKey, fence, func() error { return u.s.Duties.Usage(ctx, fence, window, counts) })
}

// Order orders endpoints under the lease.
func (u *leasedCalls) Order(ctx context.Context, fence int64, backend label.Name, in centre.ID, n int, reclaimable bool) error {
	return u.s.leases.Use(leaseKey, fence, func() error { return u.s.Duties.Order(ctx, fence, backend, in, n, reclaimable) })
}

// runLeaseHolder renews or tries to take the duties' lease, and does what is due under it.
func (s *Site) runLeaseHolder(ctx context.Context) error {
	if s.Duties == nil {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(s.LeaseTerm / renewalsPerTerm)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.leaseStep(ctx)
		case <-s.reclaimSignal:
			s.scale(ctx)
		}
	}
}

func (s *Site) leaseStep(ctx context.Context) {
	cfg := s.Policy.Rules()
	if cfg == nil {
		return
	}
	if _, held := s.leases.Step(ctx, leaseKey); !held {
		s.scaler.Watch(cfg.Backs)
		return
	}
	if s.ReportsUsage {
		s.report.Step(ctx, time.Now())
	}
	s.removeDown(ctx, time.Now())
	s.stepMoves(ctx)
	s.scale(ctx)
}

// scale orders endpoints while the process holds the lease.
func (s *Site) scale(ctx context.Context) {
	if _, held := s.leases.Held(leaseKey); held && s.OrdersEndpoints {
		s.scaler.Step(ctx, s.Policy.Rules().Backs)
	}
}

// onReclaim wakes the duties, so that what a reclaim takes is ordered elsewhere at once.
func (s *Site) onReclaim() {
	select {
	case s.reclaimSignal <- struct{}{}:
	default:
	}
}
