package choose_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/choose"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/speed"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

var _ = Describe("An endpoint that limits its requests", func() {
	// Guards against fetches of KV cache that other endpoints make, on a host's word, from an endpoint that limits its
	// requests.
	DescribeTable("is not a donor of KV cache",
		func(known bool) {
			now := time.Unix(1000, 0)
			random := rand.New(rand.NewPCG(5, 1))
			b := &choose.Balancer{Rand: random.Float64, Speed: &speed.Speed{}}
			var all []*target.Target
			for i := range 9 {
				all = append(all, target.New(roster.Row{ID: endpt.ID("e" + string(rune('1'+i))), Backend: "plume", State: roster.Live, Slots: 64}))
			}
			limited := all[4]
			limited.Limit.Named(1.6, now)
			for session := range uint64(200) {
				w := &work.Request{ID: "r", Backend: "plume", PromptTokens: 6_000}
				w.AddPart(1_000+session, 5_000)
				w.AddPart(random.Uint64(), 1_000)
				if known {
					limited.AddCached([]uint64{1_000 + session}, now)
				}
				p := b.Pick(all, w, func(t *target.Target) bool { return t == limited }, now)
				Expect(p.Target).NotTo(BeNil())
				Expect(p.Donor).NotTo(BeIdenticalTo(limited))
			}
		},
		Entry("where it is known to have the prompt cached", true),
		Entry("where it is a home of the prompt's session", false),
	)
})
