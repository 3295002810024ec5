package proxy_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/canary"
	"github.com/dragonflyroute/dragonflyroute/coordination/choose"
	"github.com/dragonflyroute/dragonflyroute/coordination/proxy"
	"github.com/dragonflyroute/dragonflyroute/coordination/retry"
	"github.com/dragonflyroute/dragonflyroute/protocol/ending"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/mode"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/result"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/endreg"
	"github.com/dragonflyroute/dragonflyroute/state/flow"
	"github.com/dragonflyroute/dragonflyroute/state/speed"
	"github.com/dragonflyroute/dragonflyroute/state/target"
	"github.com/dragonflyroute/dragonflyroute/state/timing"
)

func TestProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proxy")
}

// fakeExchange returns the next of its results for each attempt and records where each was sent.
type fakeExchange struct {
	results []result.Result
	held    bool
	to      []endpt.ID
	resumes []string
	// before is called before each result, unless nil.
	before func(t *target.Target)
	// cannotResume is set if the caller has a part of the answer that no other endpoint can continue.
	cannotResume bool
}

func (s *fakeExchange) Attempt(_ context.Context, t, _ *target.Target, resume string, begun func()) result.Result {
	r := s.results[min(len(s.to), len(s.results)-1)]
	s.to = append(s.to, t.Row().ID)
	s.resumes = append(s.resumes, resume)
	if s.before != nil {
		s.before(t)
	}
	s.held = s.held || r.Ending == ending.Failed
	if r.Ending == ending.Delivered {
		begun()
	}
	return r
}

func (s *fakeExchange) Deliver() bool { return s.held }

func (s *fakeExchange) Writing() bool { return false }

func (s *fakeExchange) CanResume() bool { return !s.cannotResume }

// fakeUsage counts the requests that started to run.
type fakeUsage struct{ n int }

func (c *fakeUsage) RecordBegun(*work.Request, time.Time) { c.n++ }

// fakePermits grants the permits of all endpoints but those in refused.
type fakePermits struct{ refused map[endpt.ID]bool }

func (p *fakePermits) Take(_ context.Context, t *target.Target) bool {
	if !p.refused[t.Row().ID] {
		return true
	}
	t.Limit.Named(1, time.Now())
	t.Limit.HoldUntil(time.Now().Add(time.Second))
	return false
}

// fakePrompts refuses requests for a time once that is set, and records the results of attempts.
type fakePrompts struct {
	// wait is in nanoseconds.
	wait    atomic.Int64
	results []result.Result
}

// refuseFor has requests refused for a time from now on.
func (p *fakePrompts) refuseFor(d time.Duration) { p.wait.Store(int64(d)) }

func (p *fakePrompts) Admit(*work.Request) (time.Duration, string) {
	wait := time.Duration(p.wait.Load())
	if wait == 0 {
		return 0, ""
	}
	return wait, "its prompt"
}

func (p *fakePrompts) Begin(w *work.Request) (time.Duration, string) { return p.Admit(w) }

func (p *fakePrompts) Ended(_ *work.Request, _ *target.Target, r result.Result, _ time.Time) {
	p.results = append(p.results, r)
}

type fixture struct {
	proxy    *proxy.Proxy
	registry *endreg.Registry
	usage    *fakeUsage
	permits  *fakePermits
	prompts  *fakePrompts
	// mu guards the state of the drain.
	mu       sync.Mutex
	draining bool
	left     time.Duration
	// exitAt is when the host ends its requests, unless zero.
	exitAt time.Time
	// exit has the request that is running ended, as at the end of a drain.
	exit func()
	// cut has the request that is running ended, as at the cut of streams that have begun.
	cut func()
}

func newFixture(endpoints int) *fixture {
	f := &fixture{registry: &endreg.Registry{}, usage: &fakeUsage{}, permits: &fakePermits{}, prompts: &fakePrompts{}}
	for i := range endpoints {
		f.registry.Put(roster.Row{ID: endpt.ID(rune('a' + i)), Address: "x", Backend: "plume", State: roster.Live, Slots: 8})
	}
	prefill := &speed.Speed{}
	f.proxy = &proxy.Proxy{
		Endpoints:   f.registry,
		Canary:      &canary.Canary{},
		Balancer:    &choose.Balancer{Rand: func() float64 { return 0 }, Speed: prefill},
		Retries:     &retry.Budgets{Ratio: 0.2, Extra: 50, Hosts: func() int { return 1 }},
		Permits:     f.permits,
		Prompts:     f.prompts,
		Usage:       f.usage,
		Speed:       prefill,
		Flow:        &flow.Flow{},
		Durations:   &timing.Durations{},
		Draining:    f.drainState,
		DrainPeriod: func() time.Duration { return 7500 * time.Millisecond },
		OnExit: func(end func()) func() bool {
			f.exit = end
			return func() bool { return true }
		},
		OnCut: func(end func()) func() bool {
			f.cut = end
			return func() bool { return true }
		},
		CutDelay: 200 * time.Millisecond,
		LastPart: func() time.Duration { return time.Second },
		Now:      time.Now,
		Count:    func(string, int64) {},
		Log:      hclog.NewNullLogger(),
	}
	return f
}

// drainState returns whether the host is draining and the time left, which is always the same unless exitAt is set.
func (f *fixture) drainState() (draining bool, left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.exitAt.IsZero() {
		return true, time.Until(f.exitAt)
	}
	return f.draining, f.left
}

// drainFor begins a drain that ends after a time.
func (f *fixture) drainFor(left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exitAt = time.Now().Add(left)
}

// drain begins a drain in which the time left is always the same.
func (f *fixture) drain(left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining, f.left = true, left
}

// others applies a function to all endpoints but one.
func (f *fixture) others(than endpt.ID, apply func(t *target.Target)) {
	for _, t := range f.registry.All() {
		if t.Row().ID != than {
			apply(t)
		}
	}
}

func request(m mode.Mode, attempts int) *work.Request {
	return &work.Request{
		ID:       "r",
		Backend:  "plume",
		Route:    &path.Route{Name: "p", Mode: m, MaxAttempts: attempts, TargetLatency: time.Second},
		Received: time.Now(),
		Deadline: time.Now().Add(5 * time.Second),
	}
}

var (
	unknown = result.Result{Ending: ending.Unknown, Sent: true, Reason: "reset"}
	done    = result.Result{Ending: ending.Delivered, Sent: true, Status: 200}
	full    = result.Result{Ending: ending.NotRun, Sent: true, Reason: "full"}
	unsent  = result.Result{Ending: ending.NotRun, Reason: "refused"}
	failed  = result.Result{Ending: ending.Failed, Sent: true, Status: 500}
)

var _ = Describe("Proxy", func() {
	run := func(f *fixture, w *work.Request, s *fakeExchange) error {
		return f.proxy.Run(context.Background(), w, s)
	}

	DescribeTable("retries a non-idempotent request only when it is proved not to have run",
		func(m mode.Mode, attempts int, results []result.Result, sends int, want kind.Kind, ok bool) {
			f, s := newFixture(4), &fakeExchange{results: results}
			err := run(f, request(m, attempts), s)
			Expect(s.to).To(HaveLen(sends))
			if ok {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(fault.KindOf(err)).To(Equal(want))
		},
		Entry("a request that may have run", mode.Once, 2, []result.Result{unknown, done}, 1, kind.OutcomeUnknown, false),
		Entry("an attempt that sent nothing", mode.Once, 1, []result.Result{unsent, done}, 2, kind.Internal, true),
		Entry("a request refused at its only arrival", mode.Once, 1, []result.Result{full, done}, 1, kind.NotRun, false),
		Entry("a stream that can't be resumed", mode.Stream, 2, []result.Result{unknown, done}, 1, kind.OutcomeUnknown, false),
		Entry("an idempotent call", mode.Idempotent, 2, []result.Result{unknown, done}, 2, kind.Internal, true),
		Entry("an idempotent call that failed twice", mode.Idempotent, 2, []result.Result{failed, failed}, 2, kind.Internal, true),
		Entry("an idempotent call that may have run and was then refused", mode.Idempotent, 2, []result.Result{unknown, full}, 2, kind.OutcomeUnknown, false),
		Entry("an idempotent call that every endpoint refused", mode.Idempotent, 2, []result.Result{full, full}, 2, kind.NotRun, false),
	)

	It("resumes a stream after its last event, at another endpoint", func() {
		broken := result.Result{Ending: ending.Truncated, Sent: true, LastEventID: "7"}
		f, s := newFixture(3), &fakeExchange{results: []result.Result{broken, done}}
		Expect(run(f, request(mode.Resumable, 2), s)).To(Succeed())
		Expect(s.resumes).To(Equal([]string{"", "7"}))
		Expect(s.to[0]).NotTo(Equal(s.to[1]))
	})

	It("counts a request once, however many attempts ran", func() {
		f, s := newFixture(3), &fakeExchange{results: []result.Result{unknown, done}}
		Expect(run(f, request(mode.Idempotent, 2), s)).To(Succeed())
		Expect(f.usage.n).To(Equal(1))
	})

	It("rejects a request at once, with a Retry-After, when there is no endpoint", func() {
		f, s := newFixture(0), &fakeExchange{}
		err := run(f, request(mode.Once, 1), s)
		Expect(fault.KindOf(err)).To(Equal(kind.NotRun))
		Expect(fault.From(err).RetryAfter).To(BeNumerically(">", 0))
	})

	It("refuses at a draining host only requests that are not expected to end in time", func() {
		f, s := newFixture(2), &fakeExchange{results: []result.Result{done}}
		f.proxy.Durations.(*timing.Durations).Observe("p", 3*time.Second)
		f.draining, f.left = true, 2*time.Second
		Expect(fault.KindOf(run(f, request(mode.Idempotent, 2), s))).To(Equal(kind.Draining))
		Expect(s.to).To(BeEmpty())
		f.left = 4 * time.Second
		Expect(run(f, request(mode.Idempotent, 2), s)).To(Succeed())
	})

	It("refuses at a draining host a stream whose token limit needs more than the time left, though only short ones were seen", func() {
		f, s := newFixture(2), &fakeExchange{results: []result.Result{done}}
		f.proxy.Durations.(*timing.Durations).ObserveStream("plume", 400*time.Millisecond, 100)
		f.draining, f.left = true, 6500*time.Millisecond
		long := request(mode.Resumable, 2)
		long.Deadline = long.Received.Add(12 * time.Second)
		long.OutTokens = 1100
		Expect(fault.KindOf(run(f, long, s))).To(Equal(kind.Draining))
		short := request(mode.Resumable, 2)
		short.Deadline = short.Received.Add(12 * time.Second)
		short.OutTokens = 100
		Expect(run(f, short, s)).To(Succeed())
	})

	// Guards against a request that may not be repeated, or a stream, being taken late in a drain and cut at its end.
	DescribeTable("takes late in a drain what must not be cut off only if its deadline comes before the stop",
		func(m mode.Mode, deadline, left time.Duration, taken bool) {
			f, s := newFixture(2), &fakeExchange{results: []result.Result{done}}
			f.proxy.Durations.(*timing.Durations).Observe("p", 60*time.Millisecond)
			f.draining, f.left = true, left
			w := request(m, 2)
			w.Route.TargetLatency = 300 * time.Millisecond
			w.Deadline = w.Received.Add(deadline)
			err := run(f, w, s)
			if taken {
				Expect(err).NotTo(HaveOccurred())
				// The endpoint is told to be done by the stop.
				Expect(time.Until(w.Deadline)).To(BeNumerically("<=", left))
				return
			}
			Expect(fault.KindOf(err)).To(Equal(kind.Draining))
			Expect(fault.From(err).RetryAfter).To(BeNumerically(">", 0))
			Expect(s.to).To(BeEmpty())
		},
		Entry("a call", mode.Once, 2*time.Second, 2500*time.Millisecond, true),
		Entry("a call, late", mode.Once, 2*time.Second, 1500*time.Millisecond, false),
		Entry("a stream", mode.Stream, 2*time.Second, 2500*time.Millisecond, true),
		Entry("a stream, late", mode.Stream, 2*time.Second, 1500*time.Millisecond, false),
		Entry("a long stream, early", mode.Stream, 12*time.Second, 7*time.Second, true),
		Entry("a long stream, later", mode.Stream, 12*time.Second, 4*time.Second, false),
		Entry("a call that may be repeated", mode.Idempotent, 2*time.Second, time.Second, true),
		Entry("a stream that may be resumed", mode.Resumable, 2*time.Second, 2500*time.Millisecond, true),
		Entry("a stream that may be resumed, late", mode.Resumable, 2*time.Second, 1500*time.Millisecond, false),
		Entry("a long stream that may be resumed, early", mode.Resumable, 12*time.Second, 7*time.Second, true),
		Entry("a long stream that may be resumed, later", mode.Resumable, 12*time.Second, 4*time.Second, false),
		Entry("a long stream that may be resumed, at the end", mode.Resumable, 12*time.Second, time.Second, false),
		Entry("a call that may be repeated, at the very end", mode.Idempotent, 2*time.Second, 200*time.Millisecond, false),
	)

	It("refuses early in a drain what must run at most once if it is expected to take longer than the time left", func() {
		f, s := newFixture(2), &fakeExchange{results: []result.Result{done}}
		f.proxy.Durations.(*timing.Durations).Observe("p", 8*time.Second)
		f.draining, f.left = true, 7*time.Second
		w := request(mode.Stream, 1)
		w.Deadline = w.Received.Add(12 * time.Second)
		Expect(fault.KindOf(run(f, w, s))).To(Equal(kind.Draining))
		Expect(s.to).To(BeEmpty())
	})

	// Guards against requests that are cut without an answer when the process exits, against a promise that one of them has
	// not run, and against their endpoint or its version being taken for broken.
	DescribeTable("ends a request with its final answer when the process is about to exit",
		func(m mode.Mode, r result.Result, want kind.Kind) {
			f, s := newFixture(3), &fakeExchange{results: []result.Result{r, done}}
			s.before = func(*target.Target) { f.exit() }
			Expect(fault.KindOf(run(f, request(m, 3), s))).To(Equal(want))
			Expect(s.to).To(HaveLen(1))
			n, _ := f.registry.Get(s.to[0]).Failures(time.Now())
			Expect(n).To(BeZero())
		},
		Entry("a call that may have run", mode.Once, unknown, kind.OutcomeUnknown),
		Entry("a call that may be repeated", mode.Idempotent, unknown, kind.OutcomeUnknown),
		Entry("a stream that has begun", mode.Resumable, result.Result{Ending: ending.Truncated, Sent: true, LastEventID: "7"}, kind.OutcomeUnknown),
		Entry("a call that an endpoint refused", mode.Once, full, kind.Draining),
	)

	It("delivers an answer that is ready when the process is about to exit, and promises that nothing has run if no byte was sent", func() {
		f, s := newFixture(3), &fakeExchange{results: []result.Result{done}}
		s.before = func(*target.Target) { f.exit() }
		Expect(run(f, request(mode.Once, 1), s)).To(Succeed())
		s = &fakeExchange{results: []result.Result{unsent}, before: s.before}
		Expect(fault.KindOf(run(f, request(mode.Once, 1), s))).To(Equal(kind.Draining))
	})

	It("sends nothing more to an endpoint whose address now belongs to another", func() {
		moved := result.Result{Ending: ending.AddressReused, Sent: true}
		f, s := newFixture(2), &fakeExchange{results: []result.Result{moved, done}}
		Expect(run(f, request(mode.Idempotent, 2), s)).To(Succeed())
		Expect(f.registry.Get(s.to[0]).Leaving()).To(BeTrue())
	})

	It("sends nothing to endpoints that asked for a pause, and returns the rest of the pause as Retry-After", func() {
		f := newFixture(2)
		for _, t := range f.registry.All() {
			t.PauseUntil(time.Now().Add(7 * time.Second))
		}
		s := &fakeExchange{}
		err := run(f, request(mode.Once, 2), s)
		Expect(s.to).To(BeEmpty())
		Expect(fault.KindOf(err)).To(Equal(kind.NotRun))
		Expect(fault.From(err).RetryAfter).To(BeNumerically("~", 7*time.Second, time.Second))
	})

	It("sends a request elsewhere when there is no permit for an endpoint that limits its requests", func() {
		f, s := newFixture(2), &fakeExchange{results: []result.Result{done}}
		f.permits.refused = map[endpt.ID]bool{"a": true}
		for range 20 {
			Expect(run(f, request(mode.Once, 1), s)).To(Succeed())
		}
		Expect(s.to).NotTo(ContainElement(endpt.ID("a")))
	})

	It("refuses a request as not run, with the time until a permit may be had, when there is none for any endpoint", func() {
		f, s := newFixture(2), &fakeExchange{}
		f.permits.refused = map[endpt.ID]bool{"a": true, "b": true}
		err := run(f, request(mode.Once, 1), s)
		Expect(s.to).To(BeEmpty())
		Expect(fault.KindOf(err)).To(Equal(kind.NotRun))
		Expect(fault.From(err).RetryAfter).To(BeNumerically("~", time.Second, 100*time.Millisecond))
	})

	It("does not let many endpoints without permits keep a request from one without a limit", func() {
		f, s := newFixture(9), &fakeExchange{results: []result.Result{done}}
		f.permits.refused = map[endpt.ID]bool{}
		for _, t := range f.registry.All()[:8] {
			t.Limit.Named(1, time.Now())
			f.permits.refused[t.Row().ID] = true
		}
		Expect(run(f, request(mode.Once, 1), s)).To(Succeed())
		Expect(s.to).To(Equal([]endpt.ID{"i"}))
	})

	It("tries an endpoint again at which a request was withheld, and does not count that as a failure", func() {
		withheld := result.Result{Ending: ending.NotRun, Withheld: true}
		f, s := newFixture(1), &fakeExchange{results: []result.Result{withheld, withheld, done}}
		Expect(run(f, request(mode.Once, 1), s)).To(Succeed())
		n, _ := f.registry.All()[0].Failures(time.Now())
		Expect(n).To(Equal(0))
	})

	It("doesn't count a refusal by an endpoint that asked for a pause as a failure", func() {
		f, s := newFixture(1), &fakeExchange{results: []result.Result{full}}
		t := f.registry.All()[0]
		t.PauseUntil(time.Now().Add(50 * time.Millisecond))
		time.Sleep(60 * time.Millisecond)
		s.before = func(t *target.Target) { t.PauseUntil(time.Now().Add(time.Minute)) }
		Expect(run(f, request(mode.Once, 2), s)).NotTo(Succeed())
		n, _ := t.Failures(time.Now())
		Expect(n).To(BeZero())
	})

	It("doesn't retry an idempotent request after the caller has got a part of the answer", func() {
		broken := result.Result{Ending: ending.Truncated, Sent: true}
		f, s := newFixture(3), &fakeExchange{results: []result.Result{broken, done}}
		Expect(fault.KindOf(run(f, request(mode.Idempotent, 3), s))).To(Equal(kind.OutcomeUnknown))
		Expect(s.to).To(HaveLen(1))
	})

	// Guards against a prompt that crashes endpoints being sent at all, or again after it has crashed one.
	It("refuses a request with a part that crashes endpoints at once, and does not retry it once that is known", func() {
		f, s := newFixture(2), &fakeExchange{results: []result.Result{done}}
		f.prompts.refuseFor(7 * time.Second)
		err := run(f, request(mode.Resumable, 3), s)
		Expect(fault.KindOf(err)).To(Equal(kind.NotRun))
		Expect(fault.From(err).RetryAfter).To(Equal(7 * time.Second))
		Expect(s.to).To(BeEmpty())

		f, s = newFixture(3), &fakeExchange{results: []result.Result{unknown, done}}
		s.before = func(*target.Target) { f.prompts.refuseFor(time.Second) }
		Expect(fault.KindOf(run(f, request(mode.Resumable, 3), s))).To(Equal(kind.OutcomeUnknown))
		Expect(s.to).To(HaveLen(1))
		Expect(f.prompts.results).To(Equal([]result.Result{unknown}))
	})
})

var _ = Describe("An endpoint of a back end whose cold endpoints are limited", func() {
	coldAfter := func(r result.Result) bool {
		f, s := newFixture(1), &fakeExchange{results: []result.Result{r}}
		t := f.registry.All()[0]
		t.Warmup.Time = func() time.Duration { return time.Minute }
		t.Warmup.Interval = func() (time.Duration, bool) { return 0, true }
		_ = f.proxy.Run(context.Background(), request(mode.Once, 1), s)
		return t.Warmup.Cold(time.Now())
	}

	// Guards against many hosts sending to an endpoint that comes back from a crash before its row says so.
	It("may be cold once it did not accept a connection, and only then", func() {
		Expect(coldAfter(unsent)).To(BeTrue())
		Expect(coldAfter(full)).To(BeFalse())
		Expect(coldAfter(unknown)).To(BeFalse())
		Expect(coldAfter(failed)).To(BeFalse())
		Expect(coldAfter(result.Result{Ending: ending.NotRun, Withheld: true})).To(BeFalse())
	})

	// Guards against an endpoint that all hosts spare because a request was too late for it to accept a connection.
	It("is not suspected because a request's deadline passed at once", func() {
		f, s := newFixture(1), &fakeExchange{results: []result.Result{unsent}}
		t := f.registry.All()[0]
		t.Warmup.Time = func() time.Duration { return time.Minute }
		t.Warmup.Interval = func() (time.Duration, bool) { return 0, true }
		ctx, cancel := context.WithCancel(context.Background())
		s.before = func(*target.Target) { cancel() }
		_ = f.proxy.Run(ctx, request(mode.Once, 1), s)
		Expect(s.to).To(HaveLen(1))
		Expect(t.Warmup.Cold(time.Now())).To(BeFalse())
	})
})
