// Package plan decides how many hosts of which sort to hold in each data centre.
package plan

import (
	"cmp"
	"math"
	"slices"

	"github.com/dragonflyroute/dragonflyroute/protocol/offer"
	"github.com/dragonflyroute/dragonflyroute/protocol/wish"
)

const (
	// maxCentreFraction bounds the part of the reclaimable hosts in one data centre, so that the loss of one leaves half.
	maxCentreFraction = 0.4
	// riskFactor is how much dearer a data centre counts for each host reclaimed there in the last hour.
	riskFactor = 1.5
	// keepFactor is the part of the wanted hosts above which hosts held are kept although fewer would do.
	keepFactor = 1.3
)

// Plan spreads hosts over data centres.
type Plan struct {
	// Busy is the part of its slots that a host shall use.
	Busy float64
	// Spare is the number of hosts held beyond that.
	Spare int
	// MaxStarting bounds the hosts that load weights at one time, from the weight store's rate.
	MaxStarting int
}

// Hosts returns the number of hosts that the demand, in hosts' worth of busy slots, needs.
func (p *Plan) Hosts(demand float64) int {
	return int(math.Ceil(demand/p.Busy)) + p.Spare
}

// Wishes returns the wish for each offer, in the offers' order.
//
// Reclaimable hosts go to the data centres of the lowest price after risk, at most maxPart of them to each; what can't
// be had there, or leaves, is covered by on-demand hosts until reclaimable ones are live again. Hosts held beyond the
// need are kept while they are few, so that a short dip costs no starts.
func (p *Plan) Wishes(demand float64, offers []offer.Offer) []wish.Wish {
	need := p.Hosts(demand)
	out := make([]wish.Wish, len(offers))
	for i, o := range offers {
		out[i] = wish.Wish{DataCentre: o.DataCentre, Backend: o.Backend}
	}
	room := p.MaxStarting
	for _, o := range offers {
		room -= o.Starting + o.FallbackStarting
	}
	p.spreadReclaimable(need, offers, out)
	room = coverOnDemand(need, max(0, room), offers, out)
	limitStarts(room, offers, out)
	return out
}

func (p *Plan) spreadReclaimable(need int, offers []offer.Offer, out []wish.Wish) {
	most := max(1, int(math.Ceil(maxCentreFraction*float64(need))))
	left := need
	for _, i := range byReclaimablePrice(offers) {
		o := offers[i]
		n := min(most, left)
		if o.Refused {
			n = min(n, o.Live+o.Starting)
		}
		left -= n
		if held := o.Live; held > n && float64(held) <= keepFactor*float64(n) {
			n = held
		}
		out[i].Reclaimable = n
	}
}

// byReclaimablePrice returns the indices of the offers, cheapest after risk first.
func byReclaimablePrice(offers []offer.Offer) []int {
	order := make([]int, len(offers))
	for i := range order {
		order[i] = i
	}
	effective := func(o offer.Offer) float64 { return float64(o.Reclaimable) * (1 + riskFactor*o.Reclaims) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(effective(offers[a]), effective(offers[b])) })
	return order
}

// limitStarts holds starts back so that no more hosts load weights at one time than the weight store serves.
func limitStarts(room int, offers []offer.Offer, out []wish.Wish) {
	for i, o := range offers {
		more := max(0, out[i].Reclaimable-o.Live-o.Starting)
		begin := min(more, room)
		room -= begin
		out[i].Reclaimable -= more - begin
	}
}

// coverOnDemand starts on-demand hosts for what is neither live nor starting, keeps those held until reclaimable hosts are
// live in their place, and returns the room left for starts.
func coverOnDemand(need, room int, offers []offer.Offer, out []wish.Wish) int {
	live, starting, held := 0, 0, 0
	for _, o := range offers {
		live += o.Live
		starting += o.Starting
		held += o.Fallback
	}
	begin := min(room, max(0, need-live-starting-held))
	keep := min(held, max(0, need-live))
	for _, i := range byOnDemandPrice(offers) {
		out[i].OnDemand = min(offers[i].Fallback, keep)
		keep -= out[i].OnDemand
	}
	for k, order := 0, byOnDemandPrice(offers); k < begin; k++ {
		out[order[k%len(order)]].OnDemand++
	}
	return room - begin
}

func byOnDemandPrice(offers []offer.Offer) []int {
	order := make([]int, len(offers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(offers[a].OnDemand, offers[b].OnDemand) })
	return order
}
