// Package orders tells engines which version to serve.
package orders

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/assign"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/duty"
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
	// Assign sends one order; a Conflict tells that a later holder has ordered.
	Assign(ctx context.Context, d duty.Duty, fence int64) error
}

// Orders sends the engines of the data centres whose lease it holds their duties.
//
// A process that holds the lease of a data centre works out the duties of all, and sends those of its own. Orders
// are absolute and sent again until the platform's list shows them carried out. Step must not be called concurrently.
type Orders struct {
	// Catalogue holds the newest catalogue.
	Catalogue catalogue
	// Hosts returns the platform's list.
	Hosts func() []roster.Row
	// Leases keeps a lease for each data centre.
	Leases leases
	// Engines takes orders.
	Engines engines
	// Assign decides.
	Assign assign.Assign
	// Flight bounds the time of one order on its way.
	Flight time.Duration
	// Now returns the time.
	Now func() time.Time
	// Log takes one line for each order.
	Log hclog.Logger

	tenures map[centre.ID]tenure
}

// tenure is the time from which this process has held a lease under one number.
type tenure struct {
	fence int64
	since time.Time
}

// Step looks once at catalogue and list, and sends what is due.
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
	for _, d := range o.Assign.Duties(c, rows) {
		o.send(ctx, d)
	}
}

// renewLeases steps the lease of each data centre that has engines which take orders, and reports whether any is held.
func (o *Orders) renewLeases(ctx context.Context, c *catlog.Catalogue, rows []roster.Row) (any bool) {
	stepped, ordered := map[centre.ID]bool{}, assign.Backends(c)
	for _, r := range rows {
		if _, takes := ordered[r.Backend]; stepped[r.DataCentre] || !takes {
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
func leaseOf(at centre.ID) string { return "lease/orders/" + string(at) }

// send sends one duty if the process holds the data centre's lease, which is looked at just before.
//
// To an engine that ignores the number, a new holder waits until an order of the one before can't be on its way.
func (o *Orders) send(ctx context.Context, d duty.Duty) {
	fence, held := o.Leases.Held(leaseOf(d.DataCentre))
	if !held {
		return
	}
	if t := o.tenures[d.DataCentre]; d.Guard == guard.Unfenced && (t.fence != fence || o.Now().Sub(t.since) < o.Flight) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, o.Flight)
	defer cancel()
	if err := o.Engines.Assign(ctx, d, fence); err != nil {
		o.Log.Warn("order not taken", "endpoint", d.Endpoint, "version", d.Version, "fence", fence, "error", err)
		return
	}
	o.Log.Info("engine ordered", "endpoint", d.Endpoint, "version", d.Version, "fence", fence)
}
