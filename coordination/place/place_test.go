package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/place"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/pulse"
)

func TestPlace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "place")
}

func hosts(states ...string) []pulse.Pulse {
	var out []pulse.Pulse
	for i, s := range states {
		out = append(out, pulse.Pulse{Host: host.ID(fmt.Sprint(i)), Callers: fmt.Sprint("10.0.0.", i, ":1"), State: s})
	}
	return out
}

var _ = Describe("Place", func() {
	p := place.Place{Shuffle: rand.New(rand.NewPCG(1, 1)).Shuffle}

	It("never gives a leaving host while one is live, and never an empty answer while one is known", func() {
		Expect(p.Answer("a", 1, hosts(pulse.Leaving, pulse.Live, pulse.Starting))).To(Equal([]string{"10.0.0.1:1"}))
		Expect(p.Answer("a", 1, hosts(pulse.Leaving))).To(Equal([]string{"10.0.0.0:1"}))
	})

	It("keeps a small account's home when another host comes or goes", func() {
		seven := hosts("live", "live", "live", "live", "live", "live", "live")
		moved := 0
		for i := range 200 {
			account := acct.ID(fmt.Sprint(i))
			if p.Answer(account, 1, seven)[0] != p.Answer(account, 1, seven[:6])[0] {
				moved++
			}
		}
		Expect(moved).To(BeNumerically("<", 200/7*2))
	})

	It("spreads a large account over its homes", func() {
		seven := hosts("live", "live", "live", "live", "live", "live", "live")
		first := map[string]int{}
		for range 300 {
			first[p.Answer("large", 8, seven)[0]]++
		}
		Expect(first).To(HaveLen(place.Homes(8)))
	})
})
