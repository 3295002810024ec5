package flow_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/state/flow"
)

func TestFlow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "flow")
}

var _ = Describe("Flow", func() {
	now := time.Unix(1000, 0)

	It("adds the peers' rates to its own until they expire", func() {
		f := &flow.Flow{}
		f.Add("plume", 40_000, now)
		f.SetOthers(map[label.Name]float64{"plume": 5_000}, now)
		Expect(f.Sum("plume", now)).To(BeNumerically("~", 15_000, 1))
		Expect(f.Sum("plume", now.Add(5*time.Second))).To(BeNumerically("<", 6_000))
	})

	It("tracks the peaks of tokens and of requests separately, and decays them", func() {
		f := &flow.Flow{}
		Expect(f.PeakTokenRate("plume", 900_000, now)).To(Equal(900_000.0))
		Expect(f.PeakRunning("plume", 40, now)).To(Equal(40.0))
		later := now.Add(20 * time.Second)
		Expect(f.PeakTokenRate("plume", 100_000, later)).To(BeNumerically("~", 450_000, 1))
		Expect(f.PeakRunning("plume", 100, later)).To(Equal(100.0))
	})
})
