package site

import (
	"context"
	"maps"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/elect"
	"github.com/dragonflyroute/dragonflyroute/coordination/leases"
	"github.com/dragonflyroute/dragonflyroute/coordination/report"
	"github.com/dragonflyroute/dragonflyroute/coordination/scaler"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/transport/clock"
)

const (
	// leaseKey is the key of the lease under which one host reports usage, orders endpoints and steps moves.
	leaseKey = "duties"
	// renewalsPerTerm is how often the holder of the lease renews it within its term.
	renewalsPerTerm = 3
	// demandLogInterval is the least time between log lines on the demand of a back end.
	demandLogInterval = time.Second
	// settleHeartbeats is the number of heartbeat intervals after which all running endpoints count as known.
	settleHeartbeats = 2
)

func (s *Site) buildLeaseHolder() {
	s.leases = &leases.Leases{New: s.newElector, Candidate: s.isCandidate, Term: s.LeaseTerm, Now: clock.Boot, Log: s.Log}
	s.finalWindows = map[host.ID]int64{}
	s.report = &report.Report{
		Store:        s.Leases,
		Usage:        s.usage,
		Platform:     &leasedCalls{s},
		Collect:      s.readUsage,
		Complete:     s.usageComplete,
		Held:         func() (int64, bool) { return s.leases.Held(leaseKey) },
		Era:          func() eras.Era { return eras.Of(s.tables[operatorTable].Version()) },
		KnownSince:   func() time.Time { return s.leases.KnownSince(leaseKey) },
		OnStaleFence: s.onStaleFence,
		Deadline:     s.UsageDeadline,
		Log:          s.Log,
	}
	s.buildScaler()
}

// isCandidate reports whether this host ranks among the few that try to acquire a lease.
func (s *Site) isCandidate(key string) bool {
	return s.fleet.InTopRanks(key, s.Schedule().LeaseCandidates(), time.Now())
}

// newElector returns an elector of a lease. It measures the term by the boot clock, which also runs while the host is
// suspended.
func (s *Site) newElector(key string) *elect.Elector {
	return &elect.Elector{
		Store:       s.Leases,
		Key:         key,
		Self:        s.Host,
		Incarnation: s.incarnation,
		Term:        s.LeaseTerm,
		Now:         clock.Boot,
		Wall:        time.Now,
		NewID:       record.NewWriteID,
	}
}

func (s *Site) buildScaler() {
	s.demandLogged = map[label.Name]time.Time{}
	s.scaler = &scaler.Scaler{
		Endpoints:    s.Registry,
		Demand:       s.demand,
		Evacuated:    s.Registry.Evacuated,
		Platform:     &leasedCalls{s},
		Held:         func() (int64, bool) { return s.leases.Held(leaseKey) },
		OnStaleFence: s.onStaleFence,
		SettleTime:   settleHeartbeats * s.EndpointHeartbeat,
		Now:          time.Now,
		Log:          s.Log,
	}
}

// demand returns the recent peak of a back end's demand, in endpoints: prompt tokens per second over the prefill rate of
// one endpoint, or concurrent requests over its slots, whichever is larger. known is false while the prefill rate is a
// default.
func (s *Site) demand(backend label.Name, now time.Time) (demand float64, known bool) {
	prefillRate, known := s.speed.Rate(backend)
	promptRate := s.flow.Sum(backend, now)
	running, slots := 0.0, 0.0
	endpoints := s.Registry.ByBackend(backend)
	for _, t := range endpoints {
		n, _ := t.Outstanding(now)
		running += float64(n)
		slots += float64(t.Slots())
	}
	slotsPerEndpoint := max(1, slots/float64(max(1, len(endpoints))))
	demand = max(promptRate/prefillRate, running/slotsPerEndpoint)
	peak := max(s.flow.PeakTokenRate(backend, promptRate, now)/prefillRate, s.flow.PeakRunning(backend, running, now)/slotsPerEndpoint)
	s.logDemand(backend, now, "reading-tokens", int64(promptRate), "engine-tokens", int64(prefillRate), "known", known, "running", running, "slots", slots, "demand", demand, "peak", peak)
	return peak, known
}

// logDemand logs the measurements behind a back end's demand, at most once every demandLogInterval.
func (s *Site) logDemand(backend label.Name, now time.Time, fields ...any) {
	if now.Sub(s.demandLogged[backend]) < demandLogInterval {
		return
	}
	s.demandLogged[backend] = now
	s.Log.Info("demand measured", append([]any{"backend", backend}, fields...)...)
}

// onStaleFence renews the lease after the platform refused a call, to find out whether this process still holds it. It
// does not release the lease: the platform may refuse a call for other reasons than a higher fencing number, and if each
// refusal released the lease, it would alternate between hosts.
func (s *Site) onStaleFence() {
	ctx, cancel := context.WithTimeout(context.Background(), s.LeaseTerm)
	defer cancel()
	s.leases.Step(ctx, leaseKey)
}

// HoldsLease reports whether the process holds the lease with the given fencing number.
func (s *Site) HoldsLease(fence int64) bool {
	current, held := s.leases.Held(leaseKey)
	return held && current == fence
}

// leasedCalls makes platform calls only while the lease is held.
type leasedCalls struct{ s *Site }

// ReportUsage reports a window's usage while the lease is held with the fencing number.
func (c *leasedCalls) ReportUsage(ctx context.Context, fence, window int64, counts map[acct.ID]int64) error {
	return c.s.leases.Use(leaseKey, fence, func() error { return c.s.PlatformCalls.ReportUsage(ctx, fence, window, counts) })
}

// Scale orders endpoints while the lease is held with the fencing number.
func (c *leasedCalls) Scale(ctx context.Context, fence int64, backend label.Name, in centre.ID, n int, reclaimable bool) error {
	return c.s.leases.Use(leaseKey, fence, func() error { return c.s.PlatformCalls.Scale(ctx, fence, backend, in, n, reclaimable) })
}

// runLeaseHolder renews or tries to acquire the lease until ctx ends, and does the lease holder's work.
func (s *Site) runLeaseHolder(ctx context.Context) error {
	if s.PlatformCalls == nil {
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

// leaseStep renews or tries to acquire the lease, and does what is due while it is held.
func (s *Site) leaseStep(ctx context.Context) {
	cfg := s.Policy.Rules()
	if cfg == nil {
		return
	}
	_, held := s.leases.Step(ctx, leaseKey)
	if s.ReportsUsage {
		s.report.Step(ctx, time.Now())
	}
	if !held {
		s.scaler.Standby(cfg.Backends)
		return
	}
	now := time.Now()
	s.member.RemoveDown(ctx, maps.Keys(s.fleet.Suspicions(now).Gone), now)
	s.moves.Step(ctx)
	s.scale(ctx)
}

// scale orders endpoints according to demand if the process holds the lease.
func (s *Site) scale(ctx context.Context) {
	if _, held := s.leases.Held(leaseKey); held && s.OrdersEndpoints {
		s.scaler.Step(ctx, s.Policy.Rules().Backends)
	}
}

// onReclaim makes runLeaseHolder scale at once, to order a replacement for a reclaimed endpoint.
func (s *Site) onReclaim() {
	select {
	case s.reclaimSignal <- struct{}{}:
	default:
	}
}
