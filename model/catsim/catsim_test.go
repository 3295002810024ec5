package catsim_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/model/catsim"
)

func TestCatsim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catsim")
}

const histories = 250

var _ = Describe("catalogue changes", func() {
	It("are never lost, duplicated or reverted, and reach every host, under kills, partitions, pauses and lost responses", func() {
		accepted, conflicts := 0, 0
		for seed := range uint64(histories) {
			c := &catsim.History{Seed: seed}
			c.Run()
			Expect(c.Lost).To(BeZero(), "lost change with seed %d", seed)
			Expect(c.FalseConflicts).To(BeZero(), "change refused as a conflict but recorded with seed %d", seed)
			Expect(c.Reverts).To(BeZero(), "revert with seed %d", seed)
			Expect(c.Behind).To(BeZero(), "host without the newest revision with seed %d", seed)
			Expect(c.StaleServed).To(BeZero(), "may serve with a stale catalogue with seed %d", seed)
			accepted += c.Accepted
			conflicts += c.Conflicts
		}
		Expect(accepted).To(BeNumerically(">", 5*histories))
		Expect(conflicts).To(BeNumerically(">", 0))
	})
})
