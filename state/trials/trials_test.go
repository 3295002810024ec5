package trials_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
)

func TestTrials(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trials")
}

var _ = Describe("Trials", func() {
	var (
		now time.Time
		ts  *trials.Trials
	)
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		ts = &trials.Trials{Now: func() time.Time { return now }}
	})
	// second counts a second's requests of both versions, some of them bad.
	second := func(old, oldBad, fresh, freshBad int) trial.Trial {
		for i := range old {
			ts.Record("m", "q", false, i < oldBad)
		}
		for i := range fresh {
			ts.Record("m", "q", true, i < freshBad)
		}
		now = now.Add(time.Second)
		return ts.ByRoute("m")[0]
	}

	It("expect of the new version the old one's share of the same second", func() {
		second(1000, 0, 10, 0)
		Expect(second(20, 10, 200, 100).NewDue).To(BeNumerically("~", 100, 3))
		Expect(second(20, 0, 200, 0).NewDue).To(BeNumerically("~", 100, 3))
		t := second(20, 10, 200, 100)
		Expect(t.NewDue).To(BeNumerically("~", 200, 6))
		Expect([]int64{t.Old, t.OldBad, t.New, t.NewBad}).To(Equal([]int64{1060, 20, 610, 200}))
	})

	It("expect the old one's share of all seconds where it has no request", func() {
		second(1000, 100, 0, 0)
		Expect(second(0, 0, 200, 100).NewDue).To(BeNumerically("~", 20, 1))
	})

	// Guards against a version that is charged with its callers' errors, as there is nothing to compare them with.
	It("expect a burst of doubtful outcomes while the old one has no request, and not what stays", func() {
		second(1000, 0, 0, 0)
		due := 0.0
		for i := range 12 {
			for range 10 {
				ts.RecordDoubtful("m", "q", true)
			}
			due = second(0, 0, 10, 1).NewDue
			if i == 4 {
				Expect(due).To(BeNumerically("~", 50, 1), "a burst")
			}
		}
		Expect(due).To(BeNumerically("~", 50, 1), "what stays")
		for range 3 {
			second(0, 0, 10, 0)
		}
		ts.RecordDoubtful("m", "q", true)
		Expect(second(0, 0, 10, 0).NewDue).To(BeNumerically("~", due+1, 1), "another burst")
	})

	It("expect nothing without a clock", func() {
		ts.Now = nil
		Expect(second(10, 10, 10, 10).NewDue).To(BeZero())
	})
})
