// Package buyer keeps enough endpoint hosts in the data centres.
package buyer

import (
	"context"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/plan"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/offer"
	"github.com/dragonflyroute/dragonflyroute/protocol/wish"
)

type cloud interface {
	// Offers returns what the cloud offers for all back ends.
	Offers(ctx context.Context) ([]offer.Offer, error)
	// Wish sends one order; a Conflict tells that a later buyer has ordered.
	Wish(ctx context.Context, w wish.Wish) error
}

type demand interface {
	// Demand returns the hosts' worth of busy slots of a back end.
	Demand(backend label.Name) float64
}

type leases interface {
	Step(ctx context.Context, key string) (fence int64, held bool)
	Held(key string) (fence int64, held bool)
	Concerns(key string) bool
}

// readEvery is the number of steps after which offers are read that do not concern the process, or that there were none of.
const readEvery = 24

// Buyer orders hosts in the data centres whose lease it holds.
//
// Every process works out the wishes for all data centres; only the holder of a data centre's lease sends its own. A
// wish is absolute and carries the lease's fencing number, so two buyers never buy twice. Step must not be called
// concurrently.
type Buyer struct {
	// Cloud takes orders.
	Cloud cloud
	// Demand tells what is needed.
	Demand demand
	// Plan decides.
	Plan plan.Plan
	// Leases keeps a lease for each data centre.
	Leases leases
	// Idle is how long fewer hosts must do before any is given up.
	Idle time.Duration
	// Now returns the time.
	Now func() time.Time
	// Log takes one line for each change.
	Log hclog.Logger

	samples    map[label.Name][]sample
	sent       map[pool]wish.Wish
	lastOffers []offer.Offer
	steps      int
}

type pool struct {
	centre  centre.ID
	backend label.Name
}

type sample struct {
	at    time.Time
	value float64
}

// Step looks once at demand and offers, and orders what is wanted.
func (b *Buyer) Step(ctx context.Context) {
	b.recordDemand()
	if !b.shouldRead() {
		return
	}
	offers, err := b.Cloud.Offers(ctx)
	if err != nil {
		b.Log.Debug("no offers", "error", err)
		return
	}
	if b.samples == nil {
		b.samples = map[label.Name][]sample{}
		b.sent = map[pool]wish.Wish{}
	}
	fresh := len(b.lastOffers) == 0
	b.lastOffers = offers
	if fresh {
		b.recordDemand()
	}
	b.renewLeases(ctx, offers)
	for backend, of := range byBackend(offers) {
		for _, w := range b.Plan.Wishes(b.peakDemand(backend), of) {
			b.order(ctx, w)
		}
	}
}

// shouldRead reports whether to read the offers now: when those last seen concern the process, else now and then.
func (b *Buyer) shouldRead() bool {
	b.steps++
	if b.steps%readEvery == 1 {
		return true
	}
	return slices.ContainsFunc(b.lastOffers, func(o offer.Offer) bool { return b.Leases.Concerns(leaseOf(o.DataCentre)) })
}

func byBackend(offers []offer.Offer) map[label.Name][]offer.Offer {
	out := map[label.Name][]offer.Offer{}
	for _, o := range offers {
		out[o.Backend] = append(out[o.Backend], o)
	}
	return out
}

// recordDemand notes the demand of each back end that was offered, also where another process orders now.
func (b *Buyer) recordDemand() {
	now := b.Now()
	for backend := range byBackend(b.lastOffers) {
		value := b.Demand.Demand(backend)
		kept := slices.DeleteFunc(b.samples[backend], func(p sample) bool { return now.Sub(p.at) > b.Idle || p.value <= value })
		b.samples[backend] = append(kept, sample{at: now, value: value})
	}
}

// peakDemand returns the highest demand of the last Idle: more is bought at once, less is given up late.
func (b *Buyer) peakDemand(backend label.Name) float64 {
	if len(b.samples[backend]) == 0 {
		return b.Demand.Demand(backend)
	}
	return b.samples[backend][0].value
}

// renewLeases steps the lease of each data centre once, however many back ends it has.
func (b *Buyer) renewLeases(ctx context.Context, offers []offer.Offer) {
	stepped := map[centre.ID]bool{}
	for _, o := range offers {
		if stepped[o.DataCentre] {
			continue
		}
		stepped[o.DataCentre] = true
		b.Leases.Step(ctx, leaseOf(o.DataCentre))
	}
}

// leaseOf returns the key of the lease under which hosts of a data centre are ordered.
func leaseOf(at centre.ID) string { return "lease/buyer/" + string(at) }

// order sends a wish if the process holds the data centre's lease, which is looked at just before.
func (b *Buyer) order(ctx context.Context, w wish.Wish) {
	fence, ok := b.Leases.Held(leaseOf(w.DataCentre))
	if !ok {
		return
	}
	w.Fence = fence
	if err := b.Cloud.Wish(ctx, w); err != nil {
		b.Log.Warn("order refused", "data-centre", w.DataCentre, "backend", w.Backend, "error", err)
		return
	}
	at := pool{centre: w.DataCentre, backend: w.Backend}
	if b.sent[at] != w {
		b.sent[at] = w
		b.Log.Info("hosts ordered", "data-centre", w.DataCentre, "backend", w.Backend, "reclaimable", w.Reclaimable, "on-demand", w.OnDemand, "fence", fence)
	}
}
