package placer_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/dryrun"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/method"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
)

// Explain explains a placement of a host, unless it is down.
func (k *keepers) Explain(_ context.Context, h beat.Heartbeat, t task.Task) (dryrun.Result, error) {
	if k.down[h.Host] {
		return dryrun.Result{}, context.DeadlineExceeded
	}
	return k.ledgers[h.Host].Explain(t), nil
}

var _ = Describe("Explaining a placement", func() {
	ctx := context.Background()

	It("names the endpoint and the keeper of the placement, from each host", func() {
		s := newSim(1)
		k, placers, reg := s.newKeepers()
		all := reg.ByBackend("plume")
		for i := range 20 {
			w := prompt(uint64(1 + i))
			r, ok := placers[i].Explain(ctx, k, w, all)
			Expect(ok).To(BeTrue())
			Expect(r.Method).To(Equal(method.Keeper))
			g, _ := placers[i+1].Place(ctx, w, all, nil)
			Expect(r.Host).To(Equal(g.Keeper.Host))
			// A random addition to the costs decides among endpoints that cost the same.
			Expect(r.TimeToFirst.Duration()).To(Equal(g.TimeToFirst))
			Expect(r.Spills).To(BeFalse())
		}
	})

	It("places nothing, and neither sends events nor waits for a keeper that is down", func() {
		play := func(explained bool) (grants []grant.Grant) {
			s := newSim(1)
			k, placers, reg := s.newKeepers()
			all := reg.ByBackend("plume")
			for i := range 50 {
				w := prompt(uint64(1 + i%5))
				g, ok := placers[i%len(placers)].Place(ctx, w, all, nil)
				Expect(ok).To(BeTrue())
				grants = append(grants, g)
				if !explained {
					continue
				}
				_, ok = placers[0].Explain(ctx, k, w, all)
				Expect(ok).To(BeTrue())
				k.down[g.Keeper.Host] = true
				_, ok = placers[0].Explain(ctx, k, w, all)
				Expect(ok).To(BeFalse())
				k.down[g.Keeper.Host] = false
			}
			return grants
		}
		Expect(play(true)).To(Equal(play(false)))
	})

	It("tells that the keeper of another shard is asked as well if the answer would begin late", func() {
		s := newSim(2)
		k, placers, reg := s.newKeepers()
		w := prompt(7)
		w.Route.TargetLatency = time.Millisecond
		r, ok := placers[0].Explain(ctx, k, w, reg.ByBackend("plume"))
		Expect(ok).To(BeTrue())
		Expect(r.Spills).To(BeTrue())
	})

	It("is left to the host where no keeper places the request", func() {
		s := newSim(1)
		k, placers, reg := s.newKeepers()
		all := reg.ByBackend("plume")
		_, ok := placers[0].Explain(ctx, k, &work.Request{Backend: "plume", Route: &path.Route{}}, all)
		Expect(ok).To(BeFalse())
		_, ok = placers[0].Explain(ctx, k, prompt(7), all[:9])
		Expect(ok).To(BeFalse())
		w := prompt(7)
		g, _ := placers[0].Place(ctx, w, all, nil)
		k.down[g.Keeper.Host] = true
		_, ok = placers[0].Place(ctx, w, all, nil)
		Expect(ok).To(BeFalse())
		k.down[g.Keeper.Host] = false
		_, ok = placers[0].Explain(ctx, k, w, all)
		Expect(ok).To(BeFalse(), "the keeper is suspended")
	})
})
