package proxy_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/retry"
	"github.com/dragonflyroute/dragonflyroute/protocol/ending"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/mode"
	"github.com/dragonflyroute/dragonflyroute/protocol/result"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
	"github.com/dragonflyroute/dragonflyroute/state/timing"
)

// silentExchange begins its first answer, if it is one of a stream, and is then silent for a time. Later attempts have the
// results of the embedded exchange.
type silentExchange struct {
	fakeExchange
	silence time.Duration
	// whole is the result of the first attempt if it is not ended in its silence.
	whole result.Result
	// ended is when the first attempt was ended, zero if it was not.
	began, ended time.Time
	// inSilence is called when the silence begins, unless nil.
	inSilence func()
}

func (s *silentExchange) Attempt(ctx context.Context, t, donor *target.Target, resume string, begun func()) result.Result {
	if !s.began.IsZero() {
		return s.fakeExchange.Attempt(ctx, t, donor, resume, begun)
	}
	s.to = append(s.to, t.Row().ID)
	s.began = time.Now()
	if s.whole.LastEventID != "" {
		begun()
	}
	if s.inSilence != nil {
		s.inSilence()
	}
	select {
	case <-time.After(s.silence):
		return s.whole
	case <-ctx.Done():
	}
	s.ended = time.Now()
	if s.whole.LastEventID == "" {
		return result.Result{Ending: ending.Unknown, Sent: true}
	}
	return result.Result{Ending: ending.Truncated, Sent: true, LastEventID: "7"}
}

var _ = Describe("A silent endpoint", func() {
	const (
		gap = 100 * time.Millisecond
		// patience is that of callers of routes with a gap of that kind: two seconds.
		patience = 2 * time.Second
		// aSecondOrSo is a silence after which a sound endpoint goes on.
		aSecondOrSo = 1200 * time.Millisecond
	)
	stream := func(attempts int) *work.Request {
		w := request(mode.Resumable, attempts)
		w.Route.TargetGap, w.Route.TargetLatency = gap, 300*time.Millisecond
		return w
	}
	silent := func(silence time.Duration) *silentExchange {
		return &silentExchange{silence: silence, whole: result.Result{Ending: ending.Delivered, Sent: true, Status: 200, LastEventID: "9"}, fakeExchange: fakeExchange{results: []result.Result{done}}}
	}
	run := func(f *fixture, w *work.Request, x *silentExchange) error {
		return f.proxy.Run(context.Background(), w, x)
	}

	It("keeps a stream if it goes on after a second or so", func() {
		f, x := newFixture(3), silent(aSecondOrSo)
		Expect(run(f, stream(2), x)).To(Succeed())
		Expect(x.to).To(HaveLen(1))
	})

	It("loses a stream to another one before the caller gives up", func() {
		f, x := newFixture(3), silent(time.Minute)
		Expect(run(f, stream(2), x)).To(Succeed())
		Expect(x.to).To(HaveLen(2))
		Expect(x.resumes).To(Equal([]string{"7"}))
		Expect(x.ended.Sub(x.began)).To(And(BeNumerically(">", aSecondOrSo), BeNumerically("<", patience)))
	})

	It("counts as failing for other requests while it is silent", func() {
		f, x := newFixture(1), silent(5*gap)
		Expect(run(f, stream(1), x)).To(Succeed())
		n, _ := f.registry.All()[0].Failures(time.Now())
		Expect(n).To(Equal(1))
	})

	// Guards against answers of sound endpoints that are ended though nobody else can take the request, or not as safely.
	DescribeTable("keeps a stream that can't go on elsewhere as safely",
		func(attempts, endpoints int, prepare func(f *fixture, x *silentExchange)) {
			f, x := newFixture(endpoints), silent(patience-300*time.Millisecond)
			prepare(f, x)
			Expect(run(f, stream(attempts), x)).To(Succeed())
			Expect(x.to).To(HaveLen(1))
		},
		Entry("its attempts are used up", 1, 3, func(*fixture, *silentExchange) {}),
		Entry("there is no other endpoint", 2, 1, func(*fixture, *silentExchange) {}),
		Entry("the retry budget is used up", 2, 3, func(f *fixture, x *silentExchange) {
			x.inSilence = func() {
				for f.proxy.Retries.Take("plume") {
					continue
				}
			}
		}),
		Entry("the others have failed", 2, 3, func(f *fixture, x *silentExchange) {
			x.inSilence = func() { f.others(x.to[0], func(t *target.Target) { t.RecordFailure(time.Now()) }) }
		}),
		Entry("the others are leaving", 2, 3, func(f *fixture, x *silentExchange) {
			x.inSilence = func() { f.others(x.to[0], (*target.Target).MarkLeaving) }
		}),
		Entry("the others asked for a pause", 2, 3, func(f *fixture, x *silentExchange) {
			x.inSilence = func() {
				f.others(x.to[0], func(t *target.Target) { t.PauseUntil(time.Now().Add(time.Minute)) })
			}
		}),
		Entry("the others are full", 2, 3, func(f *fixture, x *silentExchange) {
			x.inSilence = func() {
				f.others(x.to[0], func(t *target.Target) {
					for range 8 {
						t.Begin(&work.Request{}, 0, time.Now())
					}
				})
			}
		}),
		Entry("the others limit their requests", 2, 3, func(f *fixture, x *silentExchange) {
			x.inSilence = func() { f.others(x.to[0], func(t *target.Target) { t.Limit.Named(1, time.Now()) }) }
		}),
		Entry("its prompt crashes endpoints", 2, 3, func(f *fixture, x *silentExchange) {
			x.inSilence = func() { f.prompts.refuseFor(time.Minute) }
		}),
		Entry("no other endpoint can continue its answer", 2, 3, func(_ *fixture, x *silentExchange) { x.cannotResume = true }),
		Entry("the host stops before it would end", 2, 3, func(f *fixture, x *silentExchange) {
			f.proxy.Durations.(*timing.Durations).Observe("p", 3*time.Second)
			x.inSilence = func() { f.drain(2 * time.Second) }
		}),
	)

	// Guards against streams that are cut off by a stop while no endpoint is at work on them, though another one is free.
	Describe("at a host that is about to exit", func() {
		// few prompt tokens are prefilled at once, and many in more than a second.
		const few, many = int64(100), int64(60_000)
		exiting := func(left time.Duration) func(f *fixture, x *silentExchange) {
			return func(f *fixture, x *silentExchange) {
				f.proxy.Durations.(*timing.Durations).Observe("p", 3*time.Second)
				x.inSilence = func() { f.drainFor(left) }
			}
		}

		It("loses a stream that it would be cut off with, in time for another one to go on", func() {
			f, x := newFixture(3), silent(time.Minute)
			exiting(time.Second)(f, x)
			Expect(run(f, stream(2), x)).To(Succeed())
			Expect(x.to).To(HaveLen(2))
			Expect(x.ended.Sub(x.began)).To(BeNumerically("<", time.Second))
		})

		// Guards against an endpoint that is avoided, so that other streams can't go on there, for a silence that is too short to count.
		It("does not count the endpoint as failing for a short silence", func() {
			f, x := newFixture(3), silent(time.Minute)
			f.drainFor(6500 * time.Millisecond)
			x.inSilence = func() { f.drainFor(time.Second) }
			w := stream(2)
			w.Route.TargetGap = 300 * time.Millisecond
			Expect(run(f, w, x)).To(Succeed())
			Expect(x.to).To(HaveLen(2))
			n, _ := f.registry.Get(x.to[0]).Failures(time.Now())
			Expect(n).To(BeZero())
		})

		// Guards against streams that are cut sooner than the exit asks for, as if they could be given another answer.
		It("ends a stream that has begun later than requests that wait for their answer", func() {
			f, x := newFixture(1), silent(time.Minute)
			x.inSilence = func() {
				f.exit()
				time.AfterFunc(3*gap, f.cut)
			}
			Expect(run(f, stream(1), x)).NotTo(Succeed())
			Expect(x.ended.Sub(x.began)).To(BeNumerically(">=", 3*gap))
		})

		DescribeTable("keeps a stream", func(attempts, endpoints int, left, silence time.Duration, tokens int64) {
			f, x := newFixture(endpoints), silent(silence)
			exiting(left)(f, x)
			w := stream(attempts)
			w.PromptTokens = tokens
			Expect(run(f, w, x)).To(Succeed())
			Expect(x.to).To(HaveLen(1))
		},
			Entry("if its attempts are used up", 1, 3, time.Second, aSecondOrSo, few),
			Entry("if there is no other endpoint", 2, 1, time.Second, aSecondOrSo, few),
			Entry("if others are not expected to go on before the exit", 2, 3, time.Second, 800*time.Millisecond, many),
			Entry("if the exit is still far, and it goes on", 2, 3, 4*time.Second, aSecondOrSo, few),
			Entry("if it is silent for less than the gap that callers accept", 2, 3, time.Second, gap/2, few),
		)
	})

	It("costs the retry budget one arrival, though the next endpoint withholds the request", func() {
		f, x := newFixture(3), silent(time.Minute)
		f.proxy.Retries = &retry.Budgets{Ratio: 0, Extra: 2.5, Hosts: func() int { return 1 }}
		// The first result is not used, as the first attempt has its own.
		x.results = []result.Result{done, {Ending: ending.NotRun, Withheld: true}, done}
		Expect(run(f, stream(2), x)).To(Succeed())
		Expect(x.to).To(HaveLen(3))
	})

	Describe("with an idempotent call", func() {
		call := func(attempts int) *work.Request {
			w := request(mode.Idempotent, attempts)
			w.Deadline = w.Received.Add(2 * time.Second)
			return w
		}
		answer := func(silence time.Duration) *silentExchange {
			x := silent(silence)
			x.whole.LastEventID = ""
			return x
		}

		It("loses it to another one in time", func() {
			f, x := newFixture(3), answer(time.Minute)
			Expect(run(f, call(2), x)).To(Succeed())
			Expect(x.to).To(HaveLen(2))
			Expect(x.ended.Sub(x.began)).To(BeNumerically("<", time.Second))
		})

		// Guards against calls that are given up though their only endpoint would have answered in time.
		DescribeTable("keeps it if there is none that can take it", func(endpoints int, prepare func(f *fixture, to endpt.ID)) {
			f, x := newFixture(endpoints), answer(1500*time.Millisecond)
			x.inSilence = func() { prepare(f, x.to[0]) }
			Expect(run(f, call(2), x)).To(Succeed())
			Expect(x.to).To(HaveLen(1))
		},
			Entry("as it is the only one", 1, func(*fixture, endpt.ID) {}),
			Entry("as the others are leaving", 3, func(f *fixture, to endpt.ID) { f.others(to, (*target.Target).MarkLeaving) }),
			Entry("as the retry budget is used up", 3, func(f *fixture, _ endpt.ID) {
				for f.proxy.Retries.Take("plume") {
					continue
				}
			}),
		)
	})
})
