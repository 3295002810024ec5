// Package scaler scales the endpoints of each back end by orders to the platform.
package scaler

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/coordination/sizing"
	"github.com/dragonflyroute/dragonflyroute/protocol/back"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/offer"
	"github.com/dragonflyroute/dragonflyroute/protocol/scale"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	// bootMargin is the time that a start may take beyond the stated boot time before the order is repeated.
	bootMargin = 3 * time.Second
	// refusalTTL is how long no reclaimable endpoints are ordered in a data centre after the platform refused some.
	refusalTTL = 3 * time.Second
	// reclaimableScaleDownDelay and onDemandScaleDownDelay are how long the desired number must stay below the ordered
	// one before fewer endpoints are ordered.
	reclaimableScaleDownDelay = 10 * time.Second
	onDemandScaleDownDelay    = 1500 * time.Millisecond
	// initialUtilisation is the assumed utilisation of the endpoints found at the start, until the demand is known.
	initialUtilisation = 0.6
)

type platform interface {
	// Scale sets the desired number of a back end's reclaimable or on-demand endpoints in a data centre. A Conflict error
	// means that the platform has seen a higher fencing number or has no capacity left.
	Scale(ctx context.Context, fence int64, backend label.Name, in centre.ID, n int, reclaimable bool) error
}

type endpoints interface {
	ByBackend(backend label.Name) []*target.Target
}

// Scaler is an autoscaler: while the process holds the lease, it keeps the number of endpoints at what the demand
// requires.
//
// Orders state the desired number, so one that got no answer can be repeated safely. Step must not be called
// concurrently.
type Scaler struct {
	// Endpoints returns the known endpoints of a back end.
	Endpoints endpoints
	// Demand returns a back end's demand as the number of fully utilised endpoints that it would occupy; known is false
	// while the endpoints' speed is only an estimate.
	Demand func(backend label.Name, now time.Time) (demand float64, known bool)
	// Evacuated reports whether no new work goes to a data centre's endpoints; nil means that none is evacuated.
	Evacuated func(in centre.ID) bool
	// Platform accepts orders.
	Platform platform
	// Held returns the fencing number while the process holds the lease; it is called before each order.
	Held func() (fence int64, held bool)
	// OnStaleFence is called when the platform refuses an order of on-demand endpoints, as it has seen a higher fencing
	// number.
	OnStaleFence func()
	// SettleTime is how long a back end's endpoints must have been known before their number is acted on.
	SettleTime time.Duration
	// Now returns the time.
	Now func() time.Time
	// Log takes one line for each order.
	Log hclog.Logger

	orders       map[group]*order
	refusedUntil map[group]time.Time
	// initialCounts holds the number of endpoints of each back end before any order changed it.
	initialCounts map[label.Name]int
	// knownSince is the time at which endpoints of a back end were first known.
	knownSince map[label.Name]time.Time
}

// group names the reclaimable or the on-demand endpoints of a back end in one data centre.
type group struct {
	backend     label.Name
	dataCentre  centre.ID
	reclaimable bool
}

// order is the last order of a group's endpoints.
type order struct {
	n        int
	accepted bool
	sent     time.Time
	// fewerSince is the time since which the desired number is below n; zero when it is not.
	fewerSince time.Time
}

// Standby prepares for a takeover while another process holds the lease: it discards this process's orders, as the
// holder may have placed newer ones, and keeps track of the back ends' endpoints.
func (s *Scaler) Standby(backs []back.Backend) {
	s.orders = nil
	for i := range backs {
		s.settled(backs[i].Name)
	}
}

// Step reconciles the number of endpoints of each back end with its demand.
func (s *Scaler) Step(ctx context.Context, backs []back.Backend) {
	if s.orders == nil {
		s.orders = map[group]*order{}
		s.refusedUntil = map[group]time.Time{}
	}
	for i := range backs {
		b := &backs[i]
		if !b.Autoscaled || len(b.OnDemandPrices) == 0 || !s.settled(b.Name) {
			continue
		}
		// A refusal changes the desired numbers of the other groups, so they are computed once more after one.
		if s.reconcile(ctx, b) {
			s.reconcile(ctx, b)
		}
	}
}

// settled reports whether the endpoints of a back end have been known for the settling time: a process that has just
// started discovers them one by one.
func (s *Scaler) settled(backend label.Name) bool {
	now := s.Now()
	if len(s.Endpoints.ByBackend(backend)) == 0 {
		return false
	}
	if s.knownSince == nil {
		s.knownSince = map[label.Name]time.Time{}
	}
	if s.knownSince[backend].IsZero() {
		s.knownSince[backend] = now
	}
	return now.Sub(s.knownSince[backend]) >= s.SettleTime
}

// reconcile sends the orders that are due for one back end and reports whether one was refused for lack of capacity.
func (s *Scaler) reconcile(ctx context.Context, b *back.Backend) (refused bool) {
	now := s.Now()
	offers := s.offers(b, now)
	demand, known := s.Demand(b.Name, now)
	if !known {
		demand = max(demand, initialUtilisation*float64(s.initialCount(b.Name, offers)))
	}
	due := map[centre.ID][]*pendingOrder{}
	for i, desired := range (sizing.Sizing{}).Desired(b, demand, offers) {
		for _, x := range []*pendingOrder{s.due(b, desired, true, offers[i].Live), s.due(b, desired, false, offers[i].OnDemandHosts)} {
			if x != nil {
				due[desired.DataCentre] = append(due[desired.DataCentre], x)
			}
		}
	}
	s.send(ctx, due)
	for _, in := range slices.Sorted(maps.Keys(due)) {
		for _, x := range due[in] {
			refused = s.record(x, demand) || refused
		}
	}
	return refused
}

// pendingOrder is an order to be sent, and then its result.
type pendingOrder struct {
	group
	order *order
	n     int
	live  int
	fence int64
	// sent is set when the order was sent; err is the platform's answer.
	sent bool
	err  error
}

// send sends the orders of one data centre one after the other, and those of different data centres concurrently, so
// that an order that gets no answer does not delay the other data centres.
func (s *Scaler) send(ctx context.Context, due map[centre.ID][]*pendingOrder) {
	var g errgroup.Group
	for _, orders := range due {
		g.Go(func() error {
			for _, x := range orders {
				if x.fence, x.sent = s.Held(); x.sent {
					x.err = s.Platform.Scale(ctx, x.fence, x.backend, x.dataCentre, x.n, x.reclaimable)
				}
			}
			return nil
		})
	}
	_ = g.Wait()
}

// initialCount returns the number of a back end's endpoints at the first call, before any order changed it.
func (s *Scaler) initialCount(backend label.Name, offers []offer.Offer) int {
	if n, ok := s.initialCounts[backend]; ok {
		return n
	}
	n := 0
	for _, o := range offers {
		n += o.Live + o.OnDemandHosts
	}
	if s.initialCounts == nil {
		s.initialCounts = map[label.Name]int{}
	}
	s.initialCounts[backend] = n
	return n
}

// offers returns the live, starting and refused endpoints of a back end in each data centre that is not evacuated. The
// endpoints of an evacuated one stay as they are, and the others have to bear its load.
func (s *Scaler) offers(b *back.Backend, now time.Time) []offer.Offer {
	var out []offer.Offer
	for _, in := range slices.Sorted(maps.Keys(b.OnDemandPrices)) {
		if s.Evacuated != nil && s.Evacuated(in) {
			continue
		}
		o := s.count(b, in, now)
		g := group{backend: b.Name, dataCentre: in, reclaimable: true}
		o.ReclaimableRefused = now.Before(s.refusedUntil[g])
		o.Starting = s.starting(g, o.Live, b.BootTime, now)
		g.reclaimable = false
		o.OnDemandStarting = s.starting(g, o.OnDemandHosts, b.BootTime, now)
		out = append(out, o)
	}
	return out
}

// count returns the live endpoints of a back end in a data centre.
func (s *Scaler) count(b *back.Backend, in centre.ID, now time.Time) offer.Offer {
	o := offer.Offer{DataCentre: in, Backend: b.Name}
	for _, t := range s.Endpoints.ByBackend(b.Name) {
		row := t.Row()
		if row.DataCentre != in || t.Leaving() {
			continue
		}
		if t.Warmup.Cold(now) {
			o.Cold++
		}
		if row.Reclaimable {
			o.Live++
		} else {
			o.OnDemandHosts++
		}
	}
	return o
}

// starting returns the number of endpoints that were ordered within the boot time and are not live yet.
func (s *Scaler) starting(g group, live int, boot time.Duration, now time.Time) int {
	o := s.orders[g]
	if o == nil || !o.accepted || now.Sub(o.sent) >= boot+bootMargin {
		return 0
	}
	return max(0, o.n-live)
}

// due returns the order to send for the reclaimable or the on-demand endpoints of a data centre, nil if none is due.
func (s *Scaler) due(b *back.Backend, desired scale.Desired, reclaimable bool, live int) *pendingOrder {
	now := s.Now()
	g := group{backend: b.Name, dataCentre: desired.DataCentre, reclaimable: reclaimable}
	n, delay := desired.OnDemand, onDemandScaleDownDelay
	if reclaimable {
		n, delay = desired.Reclaimable, reclaimableScaleDownDelay
		if b.ReclaimablePriceRatio <= 0 || now.Before(s.refusedUntil[g]) {
			return nil
		}
	}
	o := s.orders[g]
	if o == nil {
		o = &order{n: live, accepted: true, sent: now.Add(-b.BootTime - bootMargin)}
		s.orders[g] = o
	}
	if !o.due(n, live, delay, b.BootTime+bootMargin, now) {
		return nil
	}
	return &pendingOrder{group: g, order: o, n: n, live: live}
}

// record notes the result of an order and reports whether reclaimable endpoints were refused.
func (s *Scaler) record(x *pendingOrder, demand float64) (refused bool) {
	if !x.sent {
		return false
	}
	now := s.Now()
	x.order.n, x.order.sent, x.order.accepted = x.n, now, x.err == nil
	s.Log.Info("endpoints ordered", "backend", x.backend, "data-centre", x.dataCentre, "reclaimable", x.reclaimable, "wanted", x.n, "live", x.live, "demand", demand, "fence", x.fence, "error", x.err)
	if fault.KindOf(x.err) != kind.Conflict {
		return false
	}
	if !x.reclaimable {
		s.OnStaleFence()
		return false
	}
	s.refusedUntil[x.group] = now.Add(refusalTTL)
	return true
}

// due reports whether an order of n endpoints is to be sent. Scaling up, and replacing endpoints that were ordered and
// did not become live within the boot time, is immediate; scaling down waits for delay.
func (o *order) due(n, live int, delay, bootLimit time.Duration, now time.Time) bool {
	if n >= o.n {
		o.fewerSince = time.Time{}
	}
	started := now.Sub(o.sent) >= bootLimit
	switch {
	case n > o.n || !o.accepted:
		return true
	case live < n && started:
		return true
	case n < o.n:
		if o.fewerSince.IsZero() {
			o.fewerSince = now
		}
		return now.Sub(o.fewerSince) >= delay
	default:
		return live != n && started
	}
}
