// Package sizing decides how many endpoints of which sort a back end shall have in each data centre.
package sizing

import (
	"cmp"
	"math"
	"slices"

	"github.com/dragonflyroute/dragonflyroute/protocol/back"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/offer"
	"github.com/dragonflyroute/dragonflyroute/protocol/wish"
)

const (
	// calmBusy is the part of its time that an endpoint shall be busy on a calm day.
	calmBusy = 0.5
	// lossBusy is the part of its time that an endpoint may be busy just after a data centre's reclaimable ones are gone.
	lossBusy = 0.8
)

// Sizing covers a back end's demand at the lowest price.
//
// Reclaimable endpoints are spread evenly over the data centres that have them, enough that the loss of one data
// centre's leaves the quick requests in time. What can't be had there is covered by on-demand endpoints, the cheapest
// data centres first. It holds no state.
type Sizing struct{}

// Wishes returns the wish for each offer, in the offers' order; demand is in endpoints' worth of busy time.
//
// Offers of one back end hold what is live, starting and refused in each data centre.
func (Sizing) Wishes(b *back.Back, demand float64, offers []offer.Offer) []wish.Wish {
	out := make([]wish.Wish, len(offers))
	for i, o := range offers {
		out[i] = wish.Wish{DataCentre: o.DataCentre, Backend: b.Name}
	}
	calm := demand / calmBusy
	lost := demand / lossBusy
	if b.ReclaimablePrice > 0 {
		spread(b, calm, lost, offers, out)
	}
	cover(b, calm, lost, offers, out)
	least(b, out)
	return out
}

// spread wishes for the same number of reclaimable endpoints in each data centre.
func spread(b *back.Back, calm, lost float64, offers []offer.Offer, out []wish.Wish) {
	n := int(math.Ceil(calm))
	if len(offers) > 1 {
		n = int(math.Ceil(max(calm, lost*float64(len(offers)-1)) / float64(len(offers)-1)))
	}
	for i := range out {
		out[i].Reclaimable = min(n, b.Most)
	}
}

// had returns the reclaimable endpoints that a data centre has or is about to have.
func had(o offer.Offer, w wish.Wish) int {
	if o.Refused {
		return min(w.Reclaimable, o.Live+o.Starting)
	}
	return w.Reclaimable
}

// cover wishes for on-demand endpoints where the reclaimable ones would not do, now or after the next loss.
func cover(b *back.Back, calm, lost float64, offers []offer.Offer, out []wish.Wish) {
	sum, most := 0, 0
	for i, o := range offers {
		n := had(o, out[i])
		sum += n
		most = max(most, n)
	}
	need := int(math.Ceil(max(calm-float64(sum), lost-float64(sum-most))))
	for _, i := range cheapest(b, offers) {
		room := b.Most - had(offers[i], out[i])
		n := max(0, min(need, room))
		out[i].OnDemand = n
		out[i].Reclaimable = min(out[i].Reclaimable, b.Most-n)
		need -= n
	}
}

// cheapest returns the indices of the offers, the lowest on-demand price first.
func cheapest(b *back.Back, offers []offer.Offer) []int {
	order := make([]int, len(offers))
	for i := range order {
		order[i] = i
	}
	price := func(in centre.ID) float64 { return b.Prices[in] }
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Compare(price(offers[x].DataCentre), price(offers[y].DataCentre))
	})
	return order
}

// least keeps the number of endpoints of each data centre at its lower bound.
func least(b *back.Back, out []wish.Wish) {
	for i := range out {
		if short := b.Least - out[i].Reclaimable - out[i].OnDemand; short > 0 {
			out[i].OnDemand += short
		}
	}
}
