package proxy_test

import (
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/mode"
	"github.com/dragonflyroute/dragonflyroute/protocol/result"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

// fakePlacer places each request at the first endpoint that is not excluded, or at only, and records what became of it.
type fakePlacer struct {
	only        endpt.ID
	timeToFirst time.Duration
	granted     int64
	begun       int
	// failed holds for each grant that has ended how often it did, and whether it failed.
	failed map[int64][]bool
}

func (p *fakePlacer) Place(_ context.Context, _ *work.Request, all []*target.Target, excluded []endpt.ID) (g grant.Grant, ok bool) {
	for _, t := range all {
		if id := t.Row().ID; id == p.only || p.only == "" && !slices.Contains(excluded, id) {
			p.granted++
			return grant.Grant{ID: p.granted, Endpoint: id, TimeToFirst: p.timeToFirst}, true
		}
	}
	return grant.Grant{}, false
}

func (p *fakePlacer) Begun(grant.Grant, time.Duration, float64) { p.begun++ }

func (p *fakePlacer) Ended(g grant.Grant, failed bool) {
	if p.failed == nil {
		p.failed = map[int64][]bool{}
	}
	p.failed[g.ID] = append(p.failed[g.ID], failed)
}

var _ = Describe("A request that another host placed", func() {
	prompt := func(m mode.Mode, attempts int) *work.Request {
		w := request(m, attempts)
		w.PromptTokens = 100
		return w
	}

	// Guards against requests that fill an endpoint's book although the endpoint does not work on them.
	DescribeTable("ends once for the host that placed it, however its attempts end",
		func(begun int, failed []bool, attempts int, results []result.Result, prepare func(f *fixture, p *fakePlacer)) {
			f, s, p := newFixture(3), &fakeExchange{results: results}, &fakePlacer{}
			f.proxy.Balancer.Placer = p
			prepare(f, p)
			_ = f.proxy.Run(context.Background(), prompt(mode.Once, attempts), s)
			Expect(p.begun).To(Equal(begun))
			Expect(p.granted).To(Equal(int64(len(failed))))
			for i, want := range failed {
				Expect(p.failed[int64(i+1)]).To(Equal([]bool{want}))
			}
		},
		Entry("answered", 1, []bool{false}, 1, []result.Result{done}, func(*fixture, *fakePlacer) {}),
		Entry("failed", 0, []bool{true}, 2, []result.Result{unknown}, func(*fixture, *fakePlacer) {}),
		Entry("sent again", 1, []bool{true, true, false}, 3, []result.Result{unsent, full, done}, func(*fixture, *fakePlacer) {}),
		Entry("withheld", 1, []bool{false, false}, 3, []result.Result{{Ending: unsent.Ending, Withheld: true}, done}, func(*fixture, *fakePlacer) {}),
		Entry("refused because of its deadline", 0, []bool{false}, 1, []result.Result{done}, func(_ *fixture, p *fakePlacer) { p.timeToFirst = time.Minute }),
		Entry("refused a permit", 1, []bool{false, false}, 2, []result.Result{done}, func(f *fixture, _ *fakePlacer) { f.permits.refused = map[endpt.ID]bool{"a": true} }),
		Entry("placed at an endpoint in an evacuated data centre", 0, []bool{false}, 1, []result.Result{done}, func(f *fixture, p *fakePlacer) {
			p.only = "b"
			f.registry.Get("b").SetEvacuated(true)
		}),
	)

	It("is sent to no endpoint that this host knows to be evacuated, or has tried", func() {
		f, s, p := newFixture(3), &fakeExchange{results: []result.Result{unsent}}, &fakePlacer{only: "b"}
		f.proxy.Balancer.Placer = p
		f.registry.Get("c").SetEvacuated(true)
		_ = f.proxy.Run(context.Background(), prompt(mode.Once, 3), s)
		Expect(s.to).To(ConsistOf(endpt.ID("b"), endpt.ID("a")))
	})
})

var _ = Describe("A process", func() {
	It("is in touch with endpoints for a moment after a part of an answer", func() {
		f, s := newFixture(1), &fakeExchange{results: []result.Result{done}}
		Expect(f.proxy.InTouch(time.Now())).To(BeFalse())
		Expect(f.proxy.Run(context.Background(), request(mode.Once, 1), s)).To(Succeed())
		Expect(f.proxy.InTouch(time.Now())).To(BeTrue())
		Expect(f.proxy.InTouch(time.Now().Add(time.Second))).To(BeFalse())
	})
})
