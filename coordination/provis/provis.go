// Package provis orders the endpoint hosts that the demand requires in each data centre.
package provis

import (
	"context"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/plan"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/offer"
	"github.com/dragonflyroute/dragonflyroute/protocol/scale"
)

type cloud interface {
	// Offers returns the prices and the present hosts of all back ends in all data centres.
	Offers(ctx context.Context) ([]offer.Offer, error)
	// SetDesired sets the desired number of hosts; a Conflict error means that the cloud has seen a higher fencing number.
	SetDesired(ctx context.Context, desired scale.Desired) error
}

type demand interface {
	// Demand returns the demand of a back end as the number of fully utilised hosts that it would occupy.
	Demand(backend label.Name) float64
}

type leases interface {
	Step(ctx context.Context, key string) (fence int64, held bool)
	Held(key string) (fence int64, held bool)
	Eligible(key string) bool
}

// readEvery is the number of steps between reads of the offers by a process that may order in none of their data
// centres, or that has seen no offers yet.
const readEvery = 24

// Provisioner orders hosts in the data centres whose lease it holds.
//
// Every process computes the desired numbers of hosts for all data centres, and sends only those of the data centres
// whose lease it holds. An order states the desired number and carries the lease's fencing number, so two processes
// never order the same hosts twice. Step must not be called concurrently.
type Provisioner struct {
	// Cloud accepts orders.
	Cloud cloud
	// Demand returns the demand of each back end.
	Demand demand
	// Plan computes the desired number of hosts.
	Plan plan.Plan
	// Leases keeps a lease for each data centre.
	Leases leases
	// ScaleDownDelay is how long the demand must stay lower before hosts are released.
	ScaleDownDelay time.Duration
	// Now returns the time.
	Now func() time.Time
	// Log takes one line for each change of an order.
	Log hclog.Logger

	// samples holds, oldest first, the demands of each back end that are higher than all later ones.
	samples    map[label.Name][]sample
	sent       map[pool]scale.Desired
	lastOffers []offer.Offer
	steps      int
}

// pool names a back end's hosts in one data centre.
type pool struct {
	centre  centre.ID
	backend label.Name
}

// sample is the demand of a back end at one time.
type sample struct {
	at    time.Time
	value float64
}

// Step reads the demand and, when due, the offers once, renews the leases and sends the orders.
func (p *Provisioner) Step(ctx context.Context) {
	p.recordDemand()
	if !p.shouldRead() {
		return
	}
	offers, err := p.Cloud.Offers(ctx)
	if err != nil {
		p.Log.Debug("offers not read; ordering nothing in this step", "error", err)
		return
	}
	if p.samples == nil {
		p.samples = map[label.Name][]sample{}
		p.sent = map[pool]scale.Desired{}
	}
	first := len(p.lastOffers) == 0
	p.lastOffers = offers
	if first {
		p.recordDemand()
	}
	p.renewLeases(ctx, offers)
	for backend, poolOffers := range byBackend(offers) {
		for _, desired := range p.Plan.Desired(p.peakDemand(backend), poolOffers) {
			p.order(ctx, desired)
		}
	}
}

// shouldRead reports whether to read the offers now: at each step if the process may order in a data centre of the last
// offers, else at every readEvery-th.
func (p *Provisioner) shouldRead() bool {
	p.steps++
	if p.steps%readEvery == 1 {
		return true
	}
	return slices.ContainsFunc(p.lastOffers, func(o offer.Offer) bool { return p.Leases.Eligible(leaseOf(o.DataCentre)) })
}

// byBackend groups the offers by back end.
func byBackend(offers []offer.Offer) map[label.Name][]offer.Offer {
	out := map[label.Name][]offer.Offer{}
	for _, o := range offers {
		out[o.Backend] = append(out[o.Backend], o)
	}
	return out
}

// recordDemand records the demand of each back end with offers, also where another process orders now, so that the peak
// is known at a takeover.
func (p *Provisioner) recordDemand() {
	now := p.Now()
	for backend := range byBackend(p.lastOffers) {
		value := p.Demand.Demand(backend)
		kept := slices.DeleteFunc(p.samples[backend], func(s sample) bool { return now.Sub(s.at) > p.ScaleDownDelay || s.value <= value })
		p.samples[backend] = append(kept, sample{at: now, value: value})
	}
}

// peakDemand returns the highest demand within the last ScaleDownDelay, so that scaling up is immediate and scaling
// down delayed.
func (p *Provisioner) peakDemand(backend label.Name) float64 {
	if len(p.samples[backend]) == 0 {
		return p.Demand.Demand(backend)
	}
	return p.samples[backend][0].value
}

// renewLeases renews or tries to acquire the lease of each data centre, once for all its back ends.
func (p *Provisioner) renewLeases(ctx context.Context, offers []offer.Offer) {
	stepped := map[centre.ID]bool{}
	for _, o := range offers {
		if stepped[o.DataCentre] {
			continue
		}
		stepped[o.DataCentre] = true
		p.Leases.Step(ctx, leaseOf(o.DataCentre))
	}
}

// leaseOf returns the key of the lease under which hosts of a data centre are ordered. Stored keys name the role buyer.
func leaseOf(in centre.ID) string { return "lease/buyer/" + string(in) }

// order sends one order if the process holds the data centre's lease, which is checked just before.
func (p *Provisioner) order(ctx context.Context, desired scale.Desired) {
	fence, ok := p.Leases.Held(leaseOf(desired.DataCentre))
	if !ok {
		return
	}
	desired.Fence = fence
	if err := p.Cloud.SetDesired(ctx, desired); err != nil {
		p.Log.Warn("order of hosts failed; retried while the lease is held", "data-centre", desired.DataCentre, "backend", desired.Backend, "error", err)
		return
	}
	target := pool{centre: desired.DataCentre, backend: desired.Backend}
	if p.sent[target] != desired {
		p.sent[target] = desired
		p.Log.Info("hosts ordered", "data-centre", desired.DataCentre, "backend", desired.Backend, "reclaimable", desired.Reclaimable, "on-demand", desired.OnDemand, "fence", fence)
	}
}
