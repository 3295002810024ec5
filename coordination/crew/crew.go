// Package crew orders endpoints from the platform.
package crew

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
	"github.com/dragonflyroute/dragonflyroute/protocol/wish"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	// bootMargin is what a start may take beyond the stated boot time before the order is repeated.
	bootMargin = 3 * time.Second
	// refusalTTL is how long a refusal of reclaimable endpoints is believed.
	refusalTTL = 3 * time.Second
	// reclaimableScaleDownDelay and lowerOnDemand are how long fewer must be wanted before fewer are ordered.
	reclaimableScaleDownDelay = 10 * time.Second
	onDemandScaleDownDelay    = 1500 * time.Millisecond
	// initialUtilisation is the part of the endpoints found at the start that is taken for busy until the demand is known.
	initialUtilisation = 0.6
)

type platform interface {
	// Order orders the number of a back end's endpoints of one sort in a data centre; a Conflict error tells that a
	// higher fencing number was seen or that none are to be had.
	Order(ctx context.Context, fence int64, backend label.Name, in centre.ID, n int, reclaimable bool) error
}

type endpoints interface {
	Of(backend label.Name) []*target.Target
}

// Crew keeps the number of endpoints at what the demand needs, while the process holds the duty's lease.
//
// Orders are absolute, so one that got no answer is repeated. Step must not be called concurrently.
type Crew struct {
	// Endpoints holds the endpoints.
	Endpoints endpoints
	// Demand returns a back end's demand in endpoints' worth of busy time; known is false while it rests on a guess of
	// the endpoints' speed.
	Demand func(backend label.Name, now time.Time) (demand float64, known bool)
	// Platform takes orders.
	Platform platform
	// Held returns the fencing number while the process holds the lease; it is asked before each effect.
	Held func() (fence int64, held bool)
	// Refused is told when the platform has seen a higher fencing number.
	Refused func()
	// Settle is how long endpoints must have been known before their number is believed.
	Settle time.Duration
	// Now returns the time.
	Now func() time.Time
	// Log takes a line for each order.
	Log hclog.Logger

	orders       map[group]*order
	refusedUntil map[group]time.Time
	// initialCounts is the number of endpoints found before any order.
	initialCounts map[label.Name]int
	// knownSince is since when endpoints of a back end are known.
	knownSince map[label.Name]time.Time
}

// group is one sort of a back end's endpoints in a data centre.
type group struct {
	backend     label.Name
	in          centre.ID
	reclaimable bool
}

type order struct {
	n        int
	accepted bool
	sent     time.Time
	// fewerSince is since when fewer are wanted.
	fewerSince time.Time
}

// Watch keeps ready to take over while another process holds the lease, which may have ordered since.
func (c *Crew) Watch(backs []back.Back) {
	c.orders = nil
	for i := range backs {
		c.settled(backs[i].Name)
	}
}

// Step orders what each back end lacks or has too much.
func (c *Crew) Step(ctx context.Context, backs []back.Back) {
	if c.orders == nil {
		c.orders = map[group]*order{}
		c.refusedUntil = map[group]time.Time{}
	}
	for i := range backs {
		b := &backs[i]
		if !b.Ordered || len(b.Prices) == 0 || !c.settled(b.Name) {
			continue
		}
		// A refusal changes what the other orders shall be, so the wishes are made once more after one.
		if c.reconcile(ctx, b) {
			c.reconcile(ctx, b)
		}
	}
}

// settled reports whether the endpoints of a back end have been known long enough: a process that has just started
// learns of them one by one.
func (c *Crew) settled(backend label.Name) bool {
	now := c.Now()
	if len(c.Endpoints.Of(backend)) == 0 {
		return false
	}
	if c.knownSince == nil {
		c.knownSince = map[label.Name]time.Time{}
	}
	if c.knownSince[backend].IsZero() {
		c.knownSince[backend] = now
	}
	return now.Sub(c.knownSince[backend]) >= c.Settle
}

// reconcile sends the orders of one back end and reports whether one was refused.
func (c *Crew) reconcile(ctx context.Context, b *back.Back) (refused bool) {
	now := c.Now()
	offers := c.offers(b, now)
	demand, known := c.Demand(b.Name, now)
	if !known {
		demand = max(demand, initialUtilisation*float64(c.initialCount(b.Name, offers)))
	}
	due := map[centre.ID][]*pendingOrder{}
	for i, w := range (sizing.Sizing{}).Wishes(b, demand, offers) {
		for _, x := range []*pendingOrder{c.due(b, w, true, offers[i].Live), c.due(b, w, false, offers[i].Fallback)} {
			if x != nil {
				due[w.DataCentre] = append(due[w.DataCentre], x)
			}
		}
	}
	c.send(ctx, due)
	for _, in := range slices.Sorted(maps.Keys(due)) {
		for _, x := range due[in] {
			refused = c.record(x, demand) || refused
		}
	}
	return refused
}

// pendingOrder is an order on its way.
type pendingOrder struct {
	group
	order *order
	n     int
	live  int
	fence int64
	// sent tells that it was sent, and err how that ended.
	sent bool
	err  error
}

// send sends the orders of each data centre, one after the other, those of all data centres at the same time: an order may get no
// answer, and the others must not wait for it.
func (c *Crew) send(ctx context.Context, due map[centre.ID][]*pendingOrder) {
	var g errgroup.Group
	for _, orders := range due {
		g.Go(func() error {
			for _, x := range orders {
				if x.fence, x.sent = c.Held(); x.sent {
					x.err = c.Platform.Order(ctx, x.fence, x.backend, x.in, x.n, x.reclaimable)
				}
			}
			return nil
		})
	}
	_ = g.Wait()
}

// initialCount returns the number of a back end's endpoints when it was first asked for, before any order changed it.
func (c *Crew) initialCount(backend label.Name, offers []offer.Offer) int {
	if n, ok := c.initialCounts[backend]; ok {
		return n
	}
	n := 0
	for _, o := range offers {
		n += o.Live + o.Fallback
	}
	if c.initialCounts == nil {
		c.initialCounts = map[label.Name]int{}
	}
	c.initialCounts[backend] = n
	return n
}

// offers returns what each data centre has of a back end.
func (c *Crew) offers(b *back.Back, now time.Time) []offer.Offer {
	var out []offer.Offer
	for _, in := range slices.Sorted(maps.Keys(b.Prices)) {
		o := offer.Offer{DataCentre: in, Backend: b.Name}
		for _, t := range c.Endpoints.Of(b.Name) {
			row := t.Row()
			switch {
			case row.DataCentre != in || t.Leaving():
			case row.Reclaimable:
				o.Live++
			default:
				o.Fallback++
			}
		}
		s := group{backend: b.Name, in: in, reclaimable: true}
		o.Refused = now.Before(c.refusedUntil[s])
		o.Starting = c.starting(s, o.Live, b.Boot, now)
		s.reclaimable = false
		o.FallbackStarting = c.starting(s, o.Fallback, b.Boot, now)
		out = append(out, o)
	}
	return out
}

// starting returns the endpoints that were ordered a short time ago and are not there yet.
func (c *Crew) starting(s group, live int, boot time.Duration, now time.Time) int {
	placed := c.orders[s]
	if placed == nil || !placed.accepted || now.Sub(placed.sent) >= boot+bootMargin {
		return 0
	}
	return max(0, placed.n-live)
}

// due returns the order of one sort of endpoints in a data centre, nil if none is due.
func (c *Crew) due(b *back.Back, w wish.Wish, reclaimable bool, live int) *pendingOrder {
	now := c.Now()
	s := group{backend: b.Name, in: w.DataCentre, reclaimable: reclaimable}
	n, pause := w.OnDemand, onDemandScaleDownDelay
	if reclaimable {
		n, pause = w.Reclaimable, reclaimableScaleDownDelay
		if b.ReclaimablePrice <= 0 || now.Before(c.refusedUntil[s]) {
			return nil
		}
	}
	o := c.orders[s]
	if o == nil {
		o = &order{n: live, accepted: true, sent: now.Add(-b.Boot - bootMargin)}
		c.orders[s] = o
	}
	if !o.due(n, live, pause, b.Boot+bootMargin, now) {
		return nil
	}
	return &pendingOrder{group: s, order: o, n: n, live: live}
}

// record notes how an order ended and reports whether none are to be had.
func (c *Crew) record(x *pendingOrder, demand float64) (refused bool) {
	if !x.sent {
		return false
	}
	now := c.Now()
	x.order.n, x.order.sent, x.order.accepted = x.n, now, x.err == nil
	c.Log.Info("endpoints ordered", "backend", x.backend, "data-centre", x.in, "reclaimable", x.reclaimable, "wanted", x.n, "live", x.live, "demand", demand, "fence", x.fence, "error", x.err)
	if fault.KindOf(x.err) != kind.Conflict {
		return false
	}
	if !x.reclaimable {
		c.Refused()
		return false
	}
	c.refusedUntil[x.group] = now.Add(refusalTTL)
	return true
}

// due reports whether an order of n is to be sent: more at once, also of what was ordered and is not there, and fewer
// after a while.
func (o *order) due(n, live int, pause, start time.Duration, now time.Time) bool {
	if n >= o.n {
		o.fewerSince = time.Time{}
	}
	started := now.Sub(o.sent) >= start
	switch {
	case n > o.n || !o.accepted:
		return true
	case live < n && started:
		return true
	case n < o.n:
		if o.fewerSince.IsZero() {
			o.fewerSince = now
		}
		return now.Sub(o.fewerSince) >= pause
	default:
		return live != n && started
	}
}
