package choose_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/choose"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/speed"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

func TestChoose(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "choose")
}

var _ = Describe("Balancer", func() {
	now := time.Now()
	unused := func(*target.Target) bool { return false }
	var b *choose.Balancer
	var all []*target.Target
	var w *work.Request
	BeforeEach(func() {
		b = &choose.Balancer{Rand: rand.New(rand.NewPCG(1, 1)).Float64, Speed: &speed.Speed{}}
		all = nil
		for i := range 12 {
			all = append(all, target.New(roster.Row{ID: endpt.ID(rune('a' + i)), Backend: "plume", State: roster.Live, Slots: 8}))
		}
		w = &work.Request{ID: "r", Backend: "plume", Route: &path.Route{}, PromptTokens: 1000}
		w.AddPart(7, 600)
		w.AddPart(8, 400)
	})

	It("selects no paused endpoint, even if it has the prompt cached", func() {
		_, done := all[0].Begin(w, 1000, now)
		done()
		for _, t := range all[:11] {
			t.PauseUntil(now.Add(3 * time.Second))
		}
		for range 100 {
			p := b.Pick(all, w, unused, now)
			Expect(p.Target).To(BeIdenticalTo(all[11]))
			Expect(p.Donor).To(BeNil())
		}
	})

	It("returns the time until the first pause ends when all endpoints are paused", func() {
		for i, t := range all {
			t.PauseUntil(now.Add(time.Duration(20-i) * time.Second))
		}
		all[11].MarkLeaving()
		p := b.Pick(all, w, unused, now)
		Expect(p.Target).To(BeNil())
		Expect(p.RetryAfter).To(Equal(10 * time.Second))
	})

	It("returns no time when an endpoint that is not paused was already used", func() {
		for _, t := range all[1:] {
			t.PauseUntil(now.Add(time.Second))
		}
		p := b.Pick(all, w, func(t *target.Target) bool { return t == all[0] }, now)
		Expect(p.Target).To(BeNil())
		Expect(p.RetryAfter).To(BeZero())
	})

	It("selects an endpoint again when its pause is over", func() {
		for _, t := range all {
			t.PauseUntil(now.Add(time.Second))
		}
		Expect(b.Pick(all, w, unused, now.Add(time.Second)).Target).NotTo(BeNil())
	})
})
