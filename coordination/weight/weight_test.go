package weight_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/weight"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
)

func TestWeight(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "weight")
}

// after returns the weight of a host after a duration at a load, with two live peers at the load others.
func after(w *weight.Weight, load, others int, from time.Time, d time.Duration) float64 {
	peers := []beat.Heartbeat{{InFlight: others, State: beat.Live}, {InFlight: others, State: beat.Live}, {State: beat.Leaving}}
	got := 0.0
	for t := time.Duration(0); t <= d; t += time.Second {
		got = w.Next(load, peers, from.Add(t))
	}
	return got
}

var _ = Describe("Weight", func() {
	start := time.Unix(1000, 0)

	It("falls while the host has more load than the others, and recovers", func() {
		w := &weight.Weight{}
		low := after(w, 100, 10, start, 2*time.Minute)
		Expect(low).To(And(BeNumerically(">", 0), BeNumerically("<", 0.5)))
		Expect(after(w, 10, 100, start.Add(2*time.Minute), 10*time.Minute)).To(Equal(1.0))
	})

	It("does not change near the mean load, nor when there is almost no load", func() {
		Expect(after(&weight.Weight{}, 11, 10, start, time.Hour)).To(Equal(1.0))
		Expect(after(&weight.Weight{}, 5, 0, start, time.Hour)).To(Equal(1.0))
	})

	It("never reaches zero, so that a loaded host still gets accounts", func() {
		Expect(after(&weight.Weight{}, 100000, 10, start, time.Hour)).To(BeNumerically(">", 0))
	})
})
