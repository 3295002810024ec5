package leases_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/model/leases"
)

func TestLeases(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "leases")
}

const histories = 300

var _ = Describe("lease holders", func() {
	for _, fencing := range []bool{true, false} {
		It(fmt.Sprintf("never act after a later holder, under pauses, kills, lost responses and clocks an hour apart (fencing %t)", fencing), func() {
			orders, holders := 0, 0
			for seed := range uint64(histories) {
				l := &leases.History{Seed: seed, Fencing: fencing}
				l.Run()
				Expect(l.Overlaps).To(BeZero(), "overlap with seed %d", seed)
				orders += l.Orders
				holders += l.Holders
			}
			Expect(orders).To(BeNumerically(">", histories))
			Expect(holders).To(BeNumerically(">", 2*histories))
		})
	}

	for _, fencing := range []bool{true, false} {
		// Guards against fencing numbers and leases that come back with a restore of the store from an older copy.
		It(fmt.Sprintf("never act after a later holder, nor with its fencing number, when the store comes back from copies (fencing %t)", fencing), func() {
			orders, holders := 0, 0
			for seed := range uint64(histories) {
				l := &leases.History{Seed: seed, Fencing: fencing, Restores: true}
				l.Run()
				Expect(l.Overlaps).To(BeZero(), "overlap with seed %d", seed)
				orders += l.Orders
				holders += l.Holders
			}
			Expect(orders).To(BeNumerically(">", histories))
			Expect(holders).To(BeNumerically(">", 2*histories))
		})
	}

	It("act after a later holder if they don't check the lease again, which shows that the histories can detect it", func() {
		overlaps := 0
		for seed := range uint64(histories) {
			l := &leases.History{Seed: seed, Naive: true}
			l.Run()
			overlaps += l.Overlaps
		}
		Expect(overlaps).To(BeNumerically(">", 0))
	})
})
