// Package plan computes the desired number of reclaimable and on-demand hosts in each data centre.
package plan

import (
	"cmp"
	"math"
	"slices"

	"github.com/dragonflyroute/dragonflyroute/protocol/offer"
	"github.com/dragonflyroute/dragonflyroute/protocol/scale"
)

const (
	// maxCentreFraction bounds the fraction of the reclaimable hosts in one data centre, so that half of them remain when
	// one data centre is lost.
	maxCentreFraction = 0.4
	// riskFactor is the relative surcharge on a data centre's price if all its hosts were reclaimed in the last hour; it
	// applies in proportion to the part that was.
	riskFactor = 1.5
	// keepFactor is the ratio of live to required hosts up to which surplus hosts are kept.
	keepFactor = 1.3
)

// Plan distributes hosts over data centres.
type Plan struct {
	// TargetUtilisation is the target fraction of a host's slots in use.
	TargetUtilisation float64
	// SpareHosts is the number of hosts held in addition.
	SpareHosts int
	// MaxStarting bounds the hosts that load weights at the same time; it follows from the weight store's throughput.
	MaxStarting int
}

// RequiredHosts returns the number of hosts required for a demand, which is given as the number of hosts that it would
// occupy fully.
func (p *Plan) RequiredHosts(demand float64) int {
	return int(math.Ceil(demand/p.TargetUtilisation)) + p.SpareHosts
}

// Desired returns the desired numbers for each offer, in the offers' order.
//
// Reclaimable hosts go to the data centres of the lowest risk-adjusted price, at most maxCentreFraction of them to
// each. What is refused there, or reclaimed, is covered by on-demand hosts until reclaimable ones are live again. A
// small surplus of hosts is kept (see keepFactor), so that a short drop of the demand causes no starts.
func (p *Plan) Desired(demand float64, offers []offer.Offer) []scale.Desired {
	need := p.RequiredHosts(demand)
	out := make([]scale.Desired, len(offers))
	for i, o := range offers {
		out[i] = scale.Desired{DataCentre: o.DataCentre, Backend: o.Backend}
	}
	startBudget := p.MaxStarting
	for _, o := range offers {
		startBudget -= o.Starting + o.OnDemandStarting
	}
	p.spreadReclaimable(need, offers, out)
	startBudget = coverOnDemand(need, max(0, startBudget), offers, out)
	limitStarts(startBudget, offers, out)
	return out
}

// spreadReclaimable sets the reclaimable hosts of each data centre.
func (p *Plan) spreadReclaimable(need int, offers []offer.Offer, out []scale.Desired) {
	perCentre := max(1, int(math.Ceil(maxCentreFraction*float64(need))))
	remaining := need
	for _, i := range byReclaimablePrice(offers) {
		o := offers[i]
		n := min(perCentre, remaining)
		if o.ReclaimableRefused {
			n = min(n, o.Live+o.Starting)
		}
		remaining -= n
		if held := o.Live; held > n && float64(held) <= keepFactor*float64(n) {
			n = held
		}
		out[i].Reclaimable = n
	}
}

// byReclaimablePrice returns the indices of the offers, sorted by risk-adjusted reclaimable price, lowest first.
func byReclaimablePrice(offers []offer.Offer) []int {
	order := make([]int, len(offers))
	for i := range order {
		order[i] = i
	}
	effective := func(o offer.Offer) float64 { return float64(o.ReclaimablePrice) * (1 + riskFactor*o.ReclaimRate) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(effective(offers[a]), effective(offers[b])) })
	return order
}

// limitStarts reduces the reclaimable hosts to start to the budget, so that the hosts that load weights at the same time
// don't exceed the weight store's throughput.
func limitStarts(budget int, offers []offer.Offer, out []scale.Desired) {
	for i, o := range offers {
		more := max(0, out[i].Reclaimable-o.Live-o.Starting)
		begin := min(more, budget)
		budget -= begin
		out[i].Reclaimable -= more - begin
	}
}

// coverOnDemand starts on-demand hosts for what is neither live nor starting, keeps the present ones until reclaimable
// hosts are live in their place, and returns the rest of the budget for starts.
func coverOnDemand(need, budget int, offers []offer.Offer, out []scale.Desired) int {
	live, starting, held := 0, 0, 0
	for _, o := range offers {
		live += o.Live
		starting += o.Starting
		held += o.OnDemandHosts
	}
	begin := min(budget, max(0, need-live-starting-held))
	keep := min(held, max(0, need-live))
	for _, i := range byOnDemandPrice(offers) {
		out[i].OnDemand = min(offers[i].OnDemandHosts, keep)
		keep -= out[i].OnDemand
	}
	for k, order := 0, byOnDemandPrice(offers); k < begin; k++ {
		out[order[k%len(order)]].OnDemand++
	}
	return budget - begin
}

// byOnDemandPrice returns the indices of the offers, sorted by on-demand price, lowest first.
func byOnDemandPrice(offers []offer.Offer) []int {
	order := make([]int, len(offers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(offers[a].OnDemandPrice, offers[b].OnDemandPrice) })
	return order
}
