package proxy_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/canary"
	"github.com/dragonflyroute/dragonflyroute/protocol/ending"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/mode"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/result"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
)

var _ = Describe("Explaining a request", func() {
	ctx := context.Background()
	all := func(f *fixture, apply func(t *target.Target)) { f.others("", apply) }
	prompt := func() *work.Request {
		w := request(mode.Stream, 3)
		w.PromptTokens = 1_000_000
		w.AddPart(7, 1_000_000)
		return w
	}

	DescribeTable("tells what the caller would be told, as Run does, and sends nothing",
		func(prepare func(f *fixture), w func() *work.Request, reason string) {
			f := newFixture(3)
			prepare(f)
			explained := f.proxy.Explain(ctx, nil, w())
			x := &fakeExchange{results: []result.Result{{Ending: ending.Delivered}}}
			refusal := fault.From(f.proxy.Run(ctx, w(), x))
			Expect(explained.Endpoint).To(BeEmpty())
			Expect(explained.Status).To(Equal(refusal.Kind.Status()))
			Expect(explained.RetryAfter.Duration()).To(BeNumerically("~", refusal.RetryAfter, 50*time.Millisecond))
			Expect(explained.Reason).To(ContainSubstring(reason))
			Expect(x.to).To(BeEmpty())
		},
		Entry("without an endpoint", func(f *fixture) { all(f, (*target.Target).MarkLeaving) }, prompt, "no endpoint"),
		Entry("with paused endpoints", func(f *fixture) {
			all(f, func(t *target.Target) { t.PauseUntil(time.Now().Add(7 * time.Second)) })
		}, prompt, "paused"),
		Entry("with evacuated endpoints, without a prompt", func(f *fixture) {
			all(f, func(t *target.Target) { t.SetEvacuated(true) })
		}, func() *work.Request { return request(mode.Idempotent, 1) }, "no endpoint"),
		Entry("with a prompt that must not be sent", func(f *fixture) { f.prompts.refuseFor(3 * time.Second) }, prompt, "its prompt"),
		Entry("while the host stops", func(f *fixture) { f.drain(time.Millisecond) }, prompt, "the host stops"),
		Entry("with a deadline that cannot be met", func(*fixture) {}, func() *work.Request {
			w := prompt()
			w.Deadline = time.Now().Add(time.Second)
			return w
		}, "deadline"),
	)

	It("names the endpoint to which it would be sent, and counts and sends nothing", func() {
		f := newFixture(3)
		f.others("b", func(t *target.Target) { t.PauseUntil(time.Now().Add(time.Minute)) })
		f.permits.refused = map[endpt.ID]bool{"b": true}
		for _, w := range []*work.Request{request(mode.Idempotent, 1), request(mode.Once, 1)} {
			deadline := w.Deadline
			r := f.proxy.Explain(ctx, nil, w)
			Expect(r.Endpoint).To(Equal(endpt.ID("b")))
			Expect(r.Status).To(BeZero())
			Expect(w.Deadline).To(Equal(deadline))
		}
		Expect(f.usage.n).To(BeZero())
		Expect(f.registry.Get("b").Limit.InForce()).To(BeFalse(), "no permit is asked for")
	})

	It("looks at the endpoints of one version during a move of versions", func() {
		f := newFixture(2)
		f.registry.Put(roster.Row{ID: "new", Address: "x", Backend: "plume", Version: "v2", State: roster.Live, Slots: 8})
		f.proxy.Canary = &canary.Canary{Trials: &trials.Trials{}, Rand: func() float64 { return 0 }}
		f.proxy.Canary.SetRequested(move.Move{ID: "m", Entry: "plume", To: "v2"})
		f.proxy.Canary.SetState(move.Move{ID: "m", Entry: "plume", To: "v2", State: move.Done})
		r := f.proxy.Explain(ctx, nil, request(mode.Idempotent, 1))
		Expect(r.Options).To(HaveLen(1))
		Expect(r.Endpoint).To(Equal(endpt.ID("new")))
	})
})
