package judge_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/alarm"
	"github.com/dragonflyroute/dragonflyroute/coordination/judge"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

func TestJudge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "judge")
}

// firstDetection returns the index of the first of n requests after which the new version is found bad, if it is. The
// judge is evaluated after each request.
func firstDetection(r *rand.Rand, oldRate, newRate float64, n int) (at int, bad bool) {
	j := &judge.Judge{Alpha: 0.01, Margin: 0.02}
	t := trial.Trial{Route: "r"}
	for i := range n {
		t.Old, t.New = t.Old+1, t.New+1
		if r.Float64() < oldRate {
			t.OldBad++
		}
		if r.Float64() < newRate {
			t.NewBad++
		}
		if _, found := j.Bad([]trial.Trial{t}); found {
			return i, true
		}
	}
	return n, false
}

var _ = Describe("Judge", func() {
	It("withdraws at most the allowed share of good versions, although it is evaluated after every request", func() {
		wrong := 0
		for seed := range uint64(300) {
			if _, bad := firstDetection(rand.New(rand.NewPCG(seed, 0)), 0.02, 0.02, 1000); bad {
				wrong++
			}
		}
		Expect(wrong).To(BeNumerically("<=", 3))
	})

	It("detects a version that fails half of the time within a few dozen requests", func() {
		for seed := range uint64(100) {
			at, bad := firstDetection(rand.New(rand.NewPCG(seed, 0)), 0.002, 0.5, 100)
			Expect(bad).To(BeTrue())
			Expect(at).To(BeNumerically("<", 60))
		}
	})

	// Guards against a good version that is withdrawn since a disturbance, that hits both versions alike, came when the new one had
	// most of the traffic.
	It("compares with what the old version got in the same seconds, if that was worse than over the whole time", func() {
		j := &judge.Judge{Alpha: 0.001, Margin: 0.02}
		t := trial.Trial{Route: "r", Old: 4000, OldBad: 40, New: 4000, NewBad: 800}
		_, bad := j.Bad([]trial.Trial{t})
		Expect(bad).To(BeTrue())
		t.NewDue = 40
		_, bad = j.Bad([]trial.Trial{t})
		Expect(bad).To(BeTrue())
		t.NewDue = 780
		_, bad = j.Bad([]trial.Trial{t})
		Expect(bad).To(BeFalse())
	})

	It("has confidence limits around the observed share that narrow with evidence", func() {
		Expect(judge.UpperBound(0, 0, 0.01)).To(Equal(1.0))
		Expect(judge.LowerBound(10, 0, 0.01)).To(Equal(0.0))
		few := judge.UpperBound(20, 1, 0.01) - judge.LowerBound(20, 1, 0.01)
		many := judge.UpperBound(2000, 100, 0.01) - judge.LowerBound(2000, 100, 0.01)
		Expect(many).To(BeNumerically("<", few/5))
		Expect(judge.LowerBound(2000, 100, 0.01)).To(BeNumerically("<", 0.05))
		Expect(judge.UpperBound(2000, 100, 0.01)).To(BeNumerically(">", 0.05))
	})
})

var _ = Describe("Alarm", func() {
	It("is raised within 60 requests when a version turns bad after thousands of good answers", func() {
		for seed := range uint64(100) {
			r := rand.New(rand.NewPCG(seed, 1))
			a := &alarm.Alarm{Margin: 0.02}
			for range 3000 {
				Expect(a.Observe(1, 0, 3000, 6)).To(BeFalse())
			}
			n := 0
			for raised := false; !raised; n++ {
				bad := int64(0)
				if r.Float64() < 0.4 {
					bad = 1
				}
				raised = a.Observe(1, bad, 3000, 6)
			}
			Expect(n).To(BeNumerically("<", 60), "seed %d", seed)
		}
	})

	It("is not raised in 200,000 requests of a version with the same bad share as the old one", func() {
		r := rand.New(rand.NewPCG(1, 2))
		a := &alarm.Alarm{Margin: 0.02}
		for range 200_000 {
			bad := int64(0)
			if r.Float64() < 0.03 {
				bad = 1
			}
			Expect(a.Observe(1, bad, 3000, 90)).To(BeFalse())
		}
	})
})
