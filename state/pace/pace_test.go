package pace_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/state/pace"
)

func TestPace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pace")
}

var _ = Describe("Pace", func() {
	It("remembers the longest of many short requests, and forgets it slowly", func() {
		p := &pace.Pace{}
		p.Observe("plans", 3*time.Second)
		for range 50 {
			p.Observe("plans", 500*time.Millisecond)
		}
		Expect(p.Longest("plans")).To(BeNumerically(">", 2*time.Second))
		for range 5000 {
			p.Observe("plans", 500*time.Millisecond)
		}
		Expect(p.Longest("plans")).To(BeNumerically("<", 600*time.Millisecond))
	})

	It("knows nothing of a route without requests", func() {
		Expect((&pace.Pace{}).Longest("plans")).To(BeZero())
	})
})
