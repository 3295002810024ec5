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
	// normalUtilisation is the part of their time that the reclaimable endpoints shall be busy on a calm day.
	normalUtilisation = 0.5
	// coveredUtilisation is the part of their time that endpoints may be busy where dearer ones stand in.
	coveredUtilisation = 0.65
	// lossUtilisation is the part of its time that an endpoint may be busy just after a data centre's reclaimable ones are gone.
	lossUtilisation = 0.8
	// shortageUtilisation is the part of its time that an on-demand endpoint may be busy if all reclaimable ones go while no others
	// are to be had: reclaims of several data centres follow each other within a boot time.
	shortageUtilisation = 0.55
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
	if b.ReclaimablePrice > 0 {
		spreadReclaimable(b, demand, offers, out)
	}
	coverOnDemand(b, demand, offers, out)
	applyMinimum(b, out)
	return out
}

// spreadReclaimable wishes for the same number of reclaimable endpoints in each data centre.
func spreadReclaimable(b *back.Back, demand float64, offers []offer.Offer, out []wish.Wish) {
	n := int(math.Ceil(demand / normalUtilisation))
	if others := float64(len(offers) - 1); others > 0 {
		n = int(math.Ceil(max(demand/normalUtilisation/others, demand/lossUtilisation)))
	}
	for i := range out {
		out[i].Reclaimable = min(n, b.Most)
	}
}

// obtainable returns the reclaimable endpoints that a data centre has or is about to have.
func obtainable(o offer.Offer, w wish.Wish) int {
	if o.Refused {
		return min(w.Reclaimable, o.Live+o.Starting)
	}
	return w.Reclaimable
}

// coverOnDemand wishes for on-demand endpoints where the reclaimable ones would not do, now or after the next loss.
//
// Those that are there stay until reclaimable ones serve in their place; new ones are started only for what is
// neither there nor starting.
func coverOnDemand(b *back.Back, demand float64, offers []offer.Offer, out []wish.Wish) {
	order := byOnDemandPrice(b, offers)
	place := func(need int, most func(o offer.Offer) int) int {
		for _, i := range order {
			n := max(0, min(need, most(offers[i])-out[i].OnDemand))
			out[i].OnDemand += n
			need -= n
		}
		return need
	}
	stay := shortfall(demand, offers, func(i int) int { return offers[i].Live })
	start := shortfall(demand, offers, func(i int) int { return obtainable(offers[i], out[i]) })
	left := place(stay, func(o offer.Offer) int { return o.Fallback + o.FallbackStarting })
	place(start-(stay-left), func(o offer.Offer) int { return b.Most - o.Live - o.Starting })
	for i := range out {
		out[i].Reclaimable = min(out[i].Reclaimable, max(0, b.Most-out[i].OnDemand))
	}
}

// shortfall returns the on-demand endpoints needed beside the reclaimable ones of each data centre.
func shortfall(demand float64, offers []offer.Offer, reclaimable func(i int) int) int {
	sum, most, dry := 0, 0, false
	for i, o := range offers {
		n := reclaimable(i)
		sum += n
		most = max(most, n)
		dry = dry || o.Refused
	}
	need := max(demand/coveredUtilisation-float64(sum), demand/lossUtilisation-float64(sum-most))
	if dry {
		need = max(need, demand/shortageUtilisation)
	}
	return max(0, int(math.Ceil(need)))
}

// byOnDemandPrice returns the indices of the offers, the lowest on-demand price first.
func byOnDemandPrice(b *back.Back, offers []offer.Offer) []int {
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

// applyMinimum keeps the number of endpoints of each data centre at its lower bound.
func applyMinimum(b *back.Back, out []wish.Wish) {
	for i := range out {
		if short := b.Least - out[i].Reclaimable - out[i].OnDemand; short > 0 {
			out[i].OnDemand += short
		}
	}
}
