// Package orders sends engines the version that each has to serve.
package orders

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/assign"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/deploy"
	"github.com/dragonflyroute/dragonflyroute/protocol/guard"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

type catalogue interface {
	Current() *catlog.Catalogue
}

type leases interface {
	Step(ctx context.Context, key string) (fence int64, held bool)
	Held(key string) (fence int64, held bool)
}

type engines interface {
	// Assign sends one order; a Conflict error means that the engine has seen a higher fencing number.
	Assign(ctx context.Context, d deploy.Order, fence int64) error
}

// Orders sends versions to serve to the engines of the data centres whose lease the process holds.
//
// A process that holds the lease of any data centre computes the orders for all engines, and sends those for its own
// data centres. Orders are idempotent and are repeated until the platform's host list shows the version. Step must not
// be called concurrently.
type Orders struct {
	// Catalogue holds the newest catalogue.
	Catalogue catalogue
	// Hosts returns the platform's host list.
	Hosts func() []roster.Row
	// Leases keeps a lease for each data centre.
	Leases leases
	// Engines sends orders to engines.
	Engines engines
	// Assign computes the version of each engine.
	Assign assign.Assign
	// CallTimeout is the timeout of one order, after which it can't reach the engine any more.
	CallTimeout time.Duration
	// Now returns the time.
	Now func() time.Time
	// Log takes one line for each order.
	Log hclog.Logger

	tenures map[centre.ID]tenure
}

// tenure is the time since which this process has held a lease under one fencing number.
type tenure struct {
	fence int64
	since time.Time
}

// Step renews the leases and sends the orders that follow from the catalogue and the host list.
func (o *Orders) Step(ctx context.Context) {
	c := o.Catalogue.Current()
	if c == nil {
		return
	}
	if o.tenures == nil {
		o.tenures = map[centre.ID]tenure{}
	}
	rows := o.Hosts()
	if !o.renewLeases(ctx, c, rows) {
		return
	}
	for _, d := range o.Assign.Orders(c, rows) {
		o.send(ctx, d)
	}
}

// renewLeases renews or tries to acquire the lease of each data centre with engines that take orders, and reports
// whether any is held.
func (o *Orders) renewLeases(ctx context.Context, c *catlog.Catalogue, rows []roster.Row) (any bool) {
	stepped, backends := map[centre.ID]bool{}, assign.Backends(c)
	for _, r := range rows {
		if _, ok := backends[r.Backend]; stepped[r.DataCentre] || !ok {
			continue
		}
		stepped[r.DataCentre] = true
		fence, held := o.Leases.Step(ctx, leaseOf(r.DataCentre))
		any = any || held
		if held && o.tenures[r.DataCentre].fence != fence {
			o.tenures[r.DataCentre] = tenure{fence: fence, since: o.Now()}
		}
	}
	return any
}

// leaseOf returns the key of the lease under which engines of a data centre are ordered.
func leaseOf(in centre.ID) string { return "lease/orders/" + string(in) }

// send sends one order if the process holds the data centre's lease, which is checked just before.
//
// An engine that ignores fencing numbers gets orders only once CallTimeout has passed since the lease was acquired, so
// that no order of the previous holder can still be in flight.
func (o *Orders) send(ctx context.Context, d deploy.Order) {
	fence, held := o.Leases.Held(leaseOf(d.DataCentre))
	if !held {
		return
	}
	if t := o.tenures[d.DataCentre]; d.Fencing == guard.Unfenced && (t.fence != fence || o.Now().Sub(t.since) < o.CallTimeout) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, o.CallTimeout)
	defer cancel()
	if err := o.Engines.Assign(ctx, d, fence); err != nil {
		o.Log.Warn("engine order failed; retried while the lease is held", "endpoint", d.Endpoint, "version", d.Version, "fence", fence, "error", err)
		return
	}
	o.Log.Info("engine ordered", "endpoint", d.Endpoint, "version", d.Version, "fence", fence)
}
