package choose_test

import (
	"fmt"
	"math/rand/v2"
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

var _ = Describe("An endpoint that is evacuated or cold", func() {
	now := time.Now()
	unused := func(*target.Target) bool { return false }
	var b *choose.Balancer
	var all []*target.Target
	var prompt, plain *work.Request
	// keepFrom keeps requests of this process from an endpoint.
	evacuate := func(t *target.Target) { t.SetEvacuated(true) }
	chill := func(t *target.Target) {
		t.Warmup.Time = func() time.Duration { return time.Second }
		t.Warmup.Interval = func() (time.Duration, bool) { return 0, false }
		t.Warmup.Announced(time.Second, now)
	}
	BeforeEach(func() {
		b = &choose.Balancer{Rand: rand.New(rand.NewPCG(1, 1)).Float64, Speed: &speed.Speed{}}
		all = nil
		for i := range 12 {
			all = append(all, target.New(roster.Row{ID: endpt.ID(rune('a' + i)), Backend: "plume", State: roster.Live, Slots: 8}))
		}
		prompt = &work.Request{ID: "r", Backend: "plume", Route: &path.Route{}, PromptTokens: 6000}
		prompt.AddPart(7, 5000)
		prompt.AddPart(8, 1000)
		plain = &work.Request{ID: "r", Backend: "plume", Route: &path.Route{}}
	})

	DescribeTable("gets no request, whatever it has cached, and gives no cache to others",
		func(keepFrom func(*target.Target)) {
			_, done := all[0].Begin(prompt, 6000, now)
			done()
			for _, t := range all[:8] {
				keepFrom(t)
			}
			for range 200 {
				p := b.Pick(all, prompt, unused, now)
				Expect(all[8:]).To(ContainElement(BeIdenticalTo(p.Target)))
				if p.Donor != nil {
					Expect(all[8:]).To(ContainElement(BeIdenticalTo(p.Donor)))
				}
				Expect(all[8:]).To(ContainElement(BeIdenticalTo(b.Pick(all, plain, unused, now).Target)))
			}
		},
		Entry("evacuated", evacuate), Entry("cold, with other hosts as its senders", chill),
	)

	// Guards against the endpoints that replace others bearing next to nothing while they are cold.
	It("is always compared by a host that may send to it", func() {
		for i := range 88 {
			all = append(all, target.New(roster.Row{ID: endpt.ID(fmt.Sprintf("warm-%d", i)), Backend: "plume", State: roster.Live, Slots: 8}))
		}
		for _, t := range all {
			t.SetOthers(4, 20_000, now)
		}
		chill(all[0])
		all[0].Warmup.Interval = func() (time.Duration, bool) { return time.Second, true }
		all[0].SetOthers(0, 0, now)
		Expect(b.Pick(all, prompt, unused, now).Target).To(BeIdenticalTo(all[0]))
		Expect(all[0].Warmup.Use(now)).To(BeTrue())
		Expect(b.Pick(all, prompt, unused, now).Target).NotTo(BeIdenticalTo(all[0]))
	})

	It("leaves no endpoint when all are evacuated, and the time until one is warm when all are cold", func() {
		for _, t := range all {
			chill(t)
		}
		p := b.Pick(all, prompt, unused, now)
		Expect(p.Target).To(BeNil())
		Expect(p.RetryAfter).To(Equal(time.Second))
		for _, t := range all {
			t.SetEvacuated(true)
		}
		p = b.Pick(all, prompt, unused, now)
		Expect(p.Target).To(BeNil())
		Expect(p.RetryAfter).To(BeZero())
	})
})
