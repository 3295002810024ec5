package waits_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/state/waits"
)

func TestWaits(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "waits")
}

var _ = Describe("The usual wait of a route", func() {
	observe := func(ws *waits.Waits, n int, wait time.Duration) {
		for range n {
			ws.Observe("q", wait)
		}
	}

	It("is not known from few answers, nor from those of another route", func() {
		ws := &waits.Waits{}
		observe(ws, 19, time.Second)
		_, ok := ws.Usual("q")
		Expect(ok).To(BeFalse())
		observe(ws, 100, time.Second)
		_, ok = ws.Usual("r")
		Expect(ok).To(BeFalse())
	})

	DescribeTable("is that of nearly all answers, a fifth too long at most",
		func(wait time.Duration) {
			ws := &waits.Waits{}
			observe(ws, 97, wait)
			observe(ws, 3, time.Hour)
			usual, ok := ws.Usual("q")
			Expect(ok).To(BeTrue())
			Expect(usual).To(BeNumerically(">=", wait))
			Expect(usual).To(BeNumerically("<=", 1.2*float64(max(wait, time.Millisecond))))
		},
		Entry("short ones", time.Microsecond),
		Entry("quick ones", 7*time.Millisecond),
		Entry("streams", 350*time.Millisecond),
		Entry("long ones", 40*time.Second),
	)

	It("is bounded", func() {
		ws := &waits.Waits{}
		observe(ws, 100, 100*time.Hour)
		usual, _ := ws.Usual("q")
		Expect(usual).To(BeNumerically(">", 10*time.Minute))
	})
})
