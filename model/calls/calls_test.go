package calls_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/model/calls"
)

func TestCalls(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "calls")
}

const (
	histories       = 2000
	leasedHistories = 400
)

func runHistories(naive bool) (total calls.History) {
	for seed := range uint64(histories) {
		c := &calls.History{Seed: seed, Naive: naive}
		c.Run()
		if !naive {
			Expect(c.DoubleRuns).To(BeZero(), "double run with seed %d", seed)
			Expect(c.FalseNotRun).To(BeZero(), "false not-run with seed %d", seed)
			Expect(c.StuckClaims).To(BeZero(), "stuck claim with seed %d", seed)
			Expect(c.WrongAnswers).To(BeZero(), "wrong answer with seed %d", seed)
		}
		total.Calls += c.Calls
		total.DoubleRuns += c.DoubleRuns
		total.Answered += c.Answered
		total.UnknownOutcomes += c.UnknownOutcomes
	}
	return total
}

var _ = Describe("non-idempotent calls", func() {
	It("run at most once, and never after a not-run, under kills, pauses, lost responses and outages", func() {
		total := runHistories(false)
		Expect(total.Answered).To(BeNumerically(">", total.Calls/4))
	})

	It("run twice without claims, which shows that the histories can detect it", func() {
		Expect(runHistories(true).DoubleRuns).To(BeNumerically(">", 0))
	})

	It("run twice with claims in memory under a long lease when an owner dies in an outage, but never with claims in the table", func() {
		doubles := 0
		for seed := range uint64(leasedHistories) {
			c := &calls.History{Seed: seed, Leased: true, MaxOutage: time.Second}
			c.Run()
			doubles += c.DoubleRuns
			c = &calls.History{Seed: seed, MaxOutage: time.Second}
			c.Run()
			Expect(c.DoubleRuns+c.FalseNotRun).To(BeZero(), "seed %d", seed)
		}
		Expect(doubles).To(BeNumerically(">", 0))
	})

	It("are all answered without faults", func() {
		c := &calls.History{Seed: 1, NoFaults: true}
		c.Run()
		Expect(c.Answered).To(Equal(c.Calls))
		Expect(c.UnknownOutcomes).To(BeZero())
	})
})
