package choose_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/choose"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/speed"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

// fixedPlacer places every request in the same way.
type fixedPlacer struct{ grant grant.Grant }

func (p fixedPlacer) Place(context.Context, *work.Request, []*target.Target, []endpt.ID) (g grant.Grant, ok bool) {
	return p.grant, true
}

func (fixedPlacer) Begun(grant.Grant, time.Duration, float64) {}

func (fixedPlacer) Ended(grant.Grant, bool) {}

var _ = Describe("The donor of KV cache for a placed request", func() {
	now := time.Now()
	unused := func(*target.Target) bool { return false }
	var all []*target.Target
	var b *choose.Balancer
	var w *work.Request
	BeforeEach(func() {
		all = nil
		for _, id := range []endpt.ID{"a", "b", "c"} {
			all = append(all, target.New(roster.Row{ID: id, Backend: "plume", State: roster.Live, Slots: 8}))
		}
		b = &choose.Balancer{Rand: func() float64 { return 0 }, Speed: &speed.Speed{}}
		b.Placer = fixedPlacer{grant.Grant{ID: 1, Endpoint: "a", Donor: "b", PrefillTokens: 100}}
		w = &work.Request{Backend: "plume", Route: &path.Route{}, PromptTokens: 2_000}
		w.AddPart(7, 1_900)
		w.AddPart(8, 100)
	})

	It("is the one that the keeper names", func() {
		p := b.Place(context.Background(), all, w, unused, false, now)
		Expect(p.Target).To(Equal(all[0]))
		Expect(p.Donor).To(Equal(all[1]))
		Expect(p.PrefillTokens).To(Equal(int64(100)))
	})

	It("is none if this host knows that it takes no work, so that the whole prompt is to be prefilled", func() {
		all[1].SetEvacuated(true)
		p := b.Place(context.Background(), all, w, unused, false, now)
		Expect(p.Donor).To(BeNil())
		Expect(p.PrefillTokens).To(Equal(int64(2_000)))
	})

	It("is none of another shard that takes no work", func() {
		free := func(*target.Target) (int, int64, float64) { return 0, 0, 1 }
		Expect(b.PickKnown(all[:1], all[1], 100, w, free, now).Donor).To(Equal(all[1]))
		all[1].SetEvacuated(true)
		p := b.PickKnown(all[:1], all[1], 100, w, free, now)
		Expect(p.Donor).To(BeNil())
		Expect(p.PrefillTokens).To(Equal(int64(2_000)))
	})
})
