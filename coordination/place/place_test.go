package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/place"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
)

func TestPlace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "place")
}

func hosts(states ...string) []beat.Heartbeat {
	var out []beat.Heartbeat
	for i, s := range states {
		out = append(out, beat.Heartbeat{Host: host.ID(fmt.Sprint(i)), CallerAddress: fmt.Sprint("10.0.0.", i, ":1"), State: s})
	}
	return out
}

var _ = Describe("Place", func() {
	p := place.Place{Shuffle: rand.New(rand.NewPCG(1, 1)).Shuffle}

	It("returns no leaving host while one is live, and no empty answer while one is known", func() {
		Expect(p.Addresses("a", 1, hosts(beat.Leaving, beat.Live, beat.Starting))).To(Equal([]string{"10.0.0.1:1"}))
		Expect(p.Addresses("a", 1, hosts(beat.Leaving))).To(Equal([]string{"10.0.0.0:1"}))
	})

	It("keeps a small account's home when another host joins or leaves", func() {
		seven := hosts("live", "live", "live", "live", "live", "live", "live")
		moved := 0
		for i := range 200 {
			account := acct.ID(fmt.Sprint(i))
			if p.Addresses(account, 1, seven)[0] != p.Addresses(account, 1, seven[:6])[0] {
				moved++
			}
		}
		Expect(moved).To(BeNumerically("<", 200/7*2))
	})

	It("moves accounts away from a host whose weight falls, and no others", func() {
		seven := hosts("live", "live", "live", "live", "live", "live", "live")
		before, after := map[string]int{}, map[string]int{}
		answers := func(count map[string]int) (out []string) {
			for i := range 700 {
				at := p.Addresses(acct.ID(fmt.Sprint(i)), 1, seven)[0]
				count[at]++
				out = append(out, at)
			}
			return out
		}
		old := answers(before)
		seven[3].Weight = 0.25
		for i, at := range answers(after) {
			Expect(at == old[i] || old[i] == seven[3].CallerAddress).To(BeTrue())
		}
		Expect(after[seven[3].CallerAddress]).To(BeNumerically("<", before[seven[3].CallerAddress]/2))
		Expect(after[seven[3].CallerAddress]).To(BeNumerically(">", 0))
	})

	It("spreads a large account over its homes", func() {
		seven := hosts("live", "live", "live", "live", "live", "live", "live")
		first := map[string]int{}
		for range 300 {
			first[p.Addresses("large", 8, seven)[0]]++
		}
		Expect(first).To(HaveLen(place.Homes(8)))
	})
})
