package timing_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/state/timing"
)

func TestDurations(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "timing")
}

var _ = Describe("Durations", func() {
	It("keeps the longest of many short requests, and decays it slowly", func() {
		d := &timing.Durations{}
		d.Observe("plans", 3*time.Second)
		for range 50 {
			d.Observe("plans", 500*time.Millisecond)
		}
		Expect(d.Longest("plans")).To(BeNumerically(">", 2*time.Second))
		for range 5000 {
			d.Observe("plans", 500*time.Millisecond)
		}
		Expect(d.Longest("plans")).To(BeNumerically("<", 600*time.Millisecond))
	})

	It("scales the duration of a stream by the tokens that it may generate", func() {
		d := &timing.Durations{}
		d.ObserveStream("plans", 400*time.Millisecond, 100)
		d.ObserveStream("plans", 300*time.Millisecond, 100)
		Expect(d.LongestStream("plans", 1_000)).To(BeNumerically("~", 4*time.Second, 10*time.Millisecond))
	})

	It("returns zero for a route without requests, and a default for a stream", func() {
		Expect((&timing.Durations{}).LongestStream("plans", 100)).To(BeNumerically(">", 0))
		Expect((&timing.Durations{}).Longest("plans")).To(BeZero())
	})
})
