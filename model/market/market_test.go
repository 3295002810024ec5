package market_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/model/market"
)

func TestMarket(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "market")
}

func run(seed uint64, strategy string) *market.Simulation {
	m := &market.Simulation{Seed: seed, Strategy: strategy}
	m.Run()
	return m
}

var _ = Describe("provisioning hosts", func() {
	It("costs less than on-demand hosts, has less shortfall than reclaimable ones, and never holds three times the hosts", func() {
		for seed := range uint64(5) {
			product := run(seed, market.Product)
			Expect(product.CostEuros).To(BeNumerically("<", 0.7*run(seed, market.OnDemand).CostEuros), "seed %d", seed)
			Expect(product.Shortfall).To(BeNumerically("<", 0.5*run(seed, market.Reclaimable).Shortfall), "seed %d", seed)
			Expect(product.MaxHeldRatio).To(BeNumerically("<", 3), "seed %d", seed)
		}
	})
})
