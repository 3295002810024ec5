// Package sizing computes the desired number of reclaimable and on-demand endpoints of a back end in each data centre.
package sizing

import (
	"cmp"
	"math"
	"slices"

	"github.com/dragonflyroute/dragonflyroute/protocol/back"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/offer"
	"github.com/dragonflyroute/dragonflyroute/protocol/scale"
)

const (
	// normalUtilisation is the target utilisation of the reclaimable endpoints while none are refused or reclaimed.
	normalUtilisation = 0.5
	// coveredUtilisation is the highest utilisation at which no on-demand endpoints are added; it is above the normal one,
	// because on-demand endpoints cost more.
	coveredUtilisation = 0.65
	// lossUtilisation is the highest utilisation allowed just after all reclaimable endpoints of a data centre are lost.
	lossUtilisation = 0.8
	// shortageUtilisation is the highest utilisation of the on-demand endpoints if all reclaimable ones are lost while new
	// ones are refused: reclaims of several data centres can follow each other within one boot time.
	shortageUtilisation = 0.55
)

// Sizing covers a back end's demand at the lowest price.
//
// Reclaimable endpoints are spread evenly over the data centres that have them, with enough headroom that quick requests
// still meet their deadline when one data centre's are lost. What is refused there is covered by on-demand endpoints, in
// the cheapest data centres first. Sizing is stateless.
type Sizing struct{}

// Desired returns the desired numbers for each offer, in the offers' order; demand is the number of fully utilised
// endpoints that it would occupy.
//
// The offers are all of one back end and hold the live, starting and refused endpoints of each data centre.
func (Sizing) Desired(b *back.Backend, demand float64, offers []offer.Offer) []scale.Desired {
	out := make([]scale.Desired, len(offers))
	for i, o := range offers {
		out[i] = scale.Desired{DataCentre: o.DataCentre, Backend: b.Name}
	}
	if b.ReclaimablePriceRatio > 0 {
		spreadReclaimable(b, demand, offers, out)
	}
	coverOnDemand(b, demand, offers, out)
	applyMinimum(b, out)
	return out
}

// spreadReclaimable sets the same number of reclaimable endpoints in each data centre.
func spreadReclaimable(b *back.Backend, demand float64, offers []offer.Offer, out []scale.Desired) {
	n := int(math.Ceil(demand / normalUtilisation))
	if others := float64(len(offers) - 1); others > 0 {
		n = int(math.Ceil(max(demand/normalUtilisation/others, demand/lossUtilisation)))
	}
	for i := range out {
		out[i].Reclaimable = min(n, b.MaxEndpoints)
	}
}

// obtainable returns the reclaimable endpoints that a data centre is expected to have: the desired number, or the live
// and starting ones while new ones are refused there.
func obtainable(o offer.Offer, desired scale.Desired) int {
	if o.ReclaimableRefused {
		return min(desired.Reclaimable, o.Live+o.Starting)
	}
	return desired.Reclaimable
}

// coverOnDemand sets the on-demand endpoints that cover the shortfall of reclaimable ones, now or after the loss of a
// data centre.
//
// Present on-demand endpoints stay until reclaimable ones are live in their place; new ones are started only for what is
// neither live nor starting.
func coverOnDemand(b *back.Backend, demand float64, offers []offer.Offer, out []scale.Desired) {
	cheapest := byOnDemandPrice(b, offers)
	assign := func(need int, limit func(o offer.Offer) int) int {
		for _, i := range cheapest {
			n := max(0, min(need, limit(offers[i])-out[i].OnDemand))
			out[i].OnDemand += n
			need -= n
		}
		return need
	}
	shortNow := shortfall(demand, offers, func(i int) int { return max(0, offers[i].Live-offers[i].Cold) })
	shortLater := shortfall(demand, offers, func(i int) int { return obtainable(offers[i], out[i]) })
	unmet := assign(shortNow, func(o offer.Offer) int { return o.OnDemandHosts + o.OnDemandStarting })
	assign(shortLater-(shortNow-unmet), func(o offer.Offer) int { return b.MaxEndpoints - o.Live - o.Starting })
	for i := range out {
		out[i].Reclaimable = min(out[i].Reclaimable, max(0, b.MaxEndpoints-out[i].OnDemand))
	}
}

// shortfall returns the number of on-demand endpoints required in addition to the reclaimable ones of each data centre.
func shortfall(demand float64, offers []offer.Offer, reclaimable func(i int) int) int {
	sum, largest, refused := 0, 0, false
	for i, o := range offers {
		n := reclaimable(i)
		sum += n
		largest = max(largest, n)
		refused = refused || o.ReclaimableRefused
	}
	need := max(demand/coveredUtilisation-float64(sum), demand/lossUtilisation-float64(sum-largest))
	if refused {
		need = max(need, demand/shortageUtilisation)
	}
	return max(0, int(math.Ceil(need)))
}

// byOnDemandPrice returns the indices of the offers, sorted by on-demand price, lowest first.
func byOnDemandPrice(b *back.Backend, offers []offer.Offer) []int {
	order := make([]int, len(offers))
	for i := range order {
		order[i] = i
	}
	price := func(in centre.ID) float64 { return b.OnDemandPrices[in] }
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Compare(price(offers[x].DataCentre), price(offers[y].DataCentre))
	})
	return order
}

// applyMinimum adds on-demand endpoints where a data centre would have fewer endpoints than its lower bound.
func applyMinimum(b *back.Backend, out []scale.Desired) {
	for i := range out {
		if missing := b.MinEndpoints - out[i].Reclaimable - out[i].OnDemand; missing > 0 {
			out[i].OnDemand += missing
		}
	}
}
