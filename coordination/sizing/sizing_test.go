package sizing_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/sizing"
	"github.com/dragonflyroute/dragonflyroute/protocol/back"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/offer"
)

func TestSizing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sizing")
}

var backend = &back.Backend{
	Name: "plume", Autoscaled: true, MinEndpoints: 1, MaxEndpoints: 6, ReclaimablePriceRatio: 0.2,
	OnDemandPrices: map[centre.ID]float64{"a": 1, "b": 1.2, "c": 0.8},
}

func offers(live ...int) []offer.Offer {
	var out []offer.Offer
	for i, n := range live {
		out = append(out, offer.Offer{DataCentre: centre.ID(rune('a' + i)), Backend: "plume", Live: n})
	}
	return out
}

// totals returns the sums of the desired numbers over all data centres.
func totals(demand float64, all []offer.Offer) (reclaimable, onDemand int) {
	for _, desired := range (sizing.Sizing{}).Desired(backend, demand, all) {
		Expect(desired.Reclaimable + desired.OnDemand).To(BeNumerically(">=", backend.MinEndpoints))
		reclaimable += desired.Reclaimable
		onDemand += desired.OnDemand
	}
	return reclaimable, onDemand
}

var _ = Describe("Sizing", func() {
	It("needs no on-demand endpoints while reclaimable ones would survive the loss of a data centre", func() {
		reclaimable, onDemand := totals(3, offers(4, 4, 4))
		Expect(reclaimable).To(BeNumerically(">=", 12))
		Expect(onDemand).To(BeZero())
	})

	It("keeps on-demand endpoints until reclaimable ones are live in their place", func() {
		all := offers(0, 0, 0)
		for i := range all {
			all[i].OnDemandHosts = 3
		}
		_, onDemand := totals(3, all)
		Expect(onDemand).To(BeNumerically(">=", 4))
	})

	It("covers the whole demand with on-demand endpoints when reclaims have begun and new ones are refused", func() {
		all := offers(4, 4, 0)
		all[2].ReclaimableRefused = true
		_, onDemand := totals(3, all)
		Expect(onDemand).To(BeNumerically(">=", 4))
	})

	It("keeps the utilisation low when data centres are reclaimed in turn and new ones are refused", func() {
		large := *backend
		large.MaxEndpoints = 100
		all := offers(25, 0, 0)
		all[1].ReclaimableRefused, all[2].ReclaimableRefused = true, true
		onDemand := 0
		for _, desired := range (sizing.Sizing{}).Desired(&large, 22, all) {
			onDemand += desired.OnDemand
		}
		Expect(onDemand).To(BeNumerically(">=", 22/0.6))
	})

	It("starts on-demand endpoints only where the data centre has room", func() {
		all := offers(6, 0, 6)
		all[1].ReclaimableRefused = true
		desired := sizing.Sizing{}.Desired(backend, 6, all)
		Expect(desired[0].OnDemand).To(BeZero())
		Expect(desired[2].OnDemand).To(BeZero())
		Expect(desired[1].OnDemand).To(BeNumerically(">", 0))
	})

	It("keeps present on-demand endpoints rather than starting cheaper ones elsewhere", func() {
		all := offers(0, 0, 0)
		for i := range all {
			all[i].ReclaimableRefused = true
		}
		all[1].OnDemandHosts = 4
		desired := sizing.Sizing{}.Desired(backend, 2, all)
		Expect(desired[1].OnDemand).To(Equal(4))
	})
})
