package nearby_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/nearby"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
)

func TestNearby(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "nearby")
}

// fleet returns hosts of unequal weight in the given number of data centres.
func fleet(centres, perCentre int) []beat.Heartbeat {
	var out []beat.Heartbeat
	for c := range centres {
		for i := range perCentre {
			id := fmt.Sprintf("dc-%d-%d", c, i)
			out = append(out, beat.Heartbeat{Host: host.ID(id), CallerAddress: id, DataCentre: centre.ID(fmt.Sprint("dc-", c)), State: beat.Live, Weight: []float64{0.2, 0.4, 0.8}[i%3]})
		}
	}
	return out
}

// callerShares returns the share of all callers that each host gets, if the callers of each data centre query its hosts
// evenly and pick one address of the answer at random.
func callerShares(hosts []beat.Heartbeat, maxHosts int) map[string]float64 {
	count := map[centre.ID]float64{}
	for _, h := range hosts {
		count[h.DataCentre]++
	}
	out := map[string]float64{}
	for _, h := range hosts {
		answer := nearby.Nearby{MaxHosts: maxHosts, Self: h.Host}.Addresses(h.DataCentre, hosts)
		for _, address := range answer {
			out[address] += 1 / count[h.DataCentre] / float64(len(answer)) / float64(len(count))
		}
	}
	return out
}

var _ = Describe("Nearby", func() {
	const maxHosts = 64

	It("returns all hosts of a small fleet", func() {
		Expect(nearby.Nearby{MaxHosts: maxHosts}.Addresses("dc-1", fleet(3, 20))).To(HaveLen(60))
	})

	DescribeTable("distributes the callers over all hosts of a large fleet",
		func(centres, perCentre int, maxRatio float64) {
			hosts := fleet(centres, perCentre)
			shares := callerShares(hosts, maxHosts)
			Expect(shares).To(HaveLen(len(hosts)), "some hosts get no callers")
			for id, share := range shares {
				Expect(share*float64(len(hosts))).To(BeNumerically("<", maxRatio), id)
			}
		},
		Entry("85 hosts", 4, 21, 1.4),
		Entry("295 hosts", 5, 59, 2.0),
		Entry("1,100 hosts", 7, 157, 3.0),
	)

	It("returns the hosts of the callers' data centre first, the same from every answering host", func() {
		hosts := fleet(5, 50)
		a := nearby.Nearby{MaxHosts: maxHosts, Self: "dc-2-1"}.Addresses("dc-2", hosts)
		b := nearby.Nearby{MaxHosts: maxHosts, Self: "dc-4-9"}.Addresses("dc-2", hosts)
		Expect(a[:50]).To(Equal(b[:50]))
		Expect(a).To(HaveLen(maxHosts))
		Expect(a[49]).To(HavePrefix("dc-2-"))
		Expect(a[50]).NotTo(HavePrefix("dc-2-"))
	})

	It("keeps all other hosts in its answer when one is removed", func() {
		hosts := fleet(5, 100)
		n := nearby.Nearby{MaxHosts: maxHosts, Self: "dc-1-1"}
		before := n.Addresses("dc-1", hosts)
		removed := before[7]
		var remaining []beat.Heartbeat
		for _, h := range hosts {
			if h.CallerAddress != removed {
				remaining = append(remaining, h)
			}
		}
		after := n.Addresses("dc-1", remaining)
		for _, address := range before {
			if address != removed {
				Expect(after).To(ContainElement(address))
			}
		}
		Expect(after).NotTo(ContainElement(removed))
	})

	It("gives larger hosts more callers where not all fit", func() {
		shares := callerShares(fleet(7, 157), maxHosts)
		small, large := 0.0, 0.0
		for i := range 52 {
			small += shares[fmt.Sprintf("dc-3-%d", 3*i)]
			large += shares[fmt.Sprintf("dc-3-%d", 3*i+2)]
		}
		Expect(large).To(BeNumerically(">", 1.5*small))
	})

	It("returns hosts to callers of a data centre without hosts, or of an unknown one", func() {
		for _, from := range []centre.ID{"dc-9", ""} {
			Expect(nearby.Nearby{MaxHosts: maxHosts}.Addresses(from, fleet(5, 59))).To(HaveLen(maxHosts))
		}
	})
})
