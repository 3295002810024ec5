package pass_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/again"
	"github.com/dragonflyroute/dragonflyroute/coordination/choose"
	"github.com/dragonflyroute/dragonflyroute/coordination/pass"
	"github.com/dragonflyroute/dragonflyroute/coordination/pilot"
	"github.com/dragonflyroute/dragonflyroute/protocol/ending"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/mode"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/tried"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/depot"
	"github.com/dragonflyroute/dragonflyroute/state/flow"
	"github.com/dragonflyroute/dragonflyroute/state/pace"
	"github.com/dragonflyroute/dragonflyroute/state/speed"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

func TestPass(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pass")
}

// script plays one result for each attempt and notes what it was asked.
type script struct {
	results []tried.Tried
	held    bool
	to      []endpt.ID
	resumes []string
	// before is called before each result, nil for nothing.
	before func(t *target.Target)
}

func (s *script) Attempt(_ context.Context, t, _ *target.Target, resume string, begun func()) tried.Tried {
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

func (s *script) Deliver() bool { return s.held }

// began counts the requests that began to run.
type began struct{ n int }

func (b *began) Began(*work.Work, time.Time) { b.n++ }

type bench struct {
	pass    *pass.Pass
	depot   *depot.Depot
	usage   *began
	leaving bool
	left    time.Duration
}

func newBench(endpoints int) *bench {
	b := &bench{depot: &depot.Depot{}, usage: &began{}}
	for i := range endpoints {
		b.depot.Put(roster.Row{ID: endpt.ID(rune('a' + i)), Address: "x", Backend: "plume", State: roster.Live, Slots: 8})
	}
	known := &speed.Speed{}
	b.pass = &pass.Pass{
		Endpoints: b.depot,
		Pilot:     &pilot.Pilot{},
		Choice:    &choose.Choice{Rand: func() float64 { return 0 }, Speed: known},
		Retries:   &again.Again{Ratio: 0.2, Extra: 50, Hosts: func() int { return 1 }},
		Usage:     b.usage,
		Speed:     known,
		Flow:      &flow.Flow{},
		Pace:      &pace.Pace{},
		Leaving:   func() (bool, time.Duration) { return b.leaving, b.left },
		Now:       time.Now,
		Log:       hclog.NewNullLogger(),
	}
	return b
}

func request(m mode.Mode, attempts int) *work.Work {
	return &work.Work{
		ID:      "r",
		Backend: "plume",
		Path:    &path.Path{Name: "p", Mode: m, Attempts: attempts, Target: time.Second},
		Came:    time.Now(),
		Until:   time.Now().Add(5 * time.Second),
	}
}

var (
	unknown = tried.Tried{Ending: ending.Unknown, Sent: true, Reason: "reset"}
	done    = tried.Tried{Ending: ending.Delivered, Sent: true, Status: 200}
	full    = tried.Tried{Ending: ending.NotRun, Sent: true, Reason: "full"}
	unsent  = tried.Tried{Ending: ending.NotRun, Reason: "refused"}
	failed  = tried.Tried{Ending: ending.Failed, Sent: true, Status: 500}
)

var _ = Describe("Pass", func() {
	run := func(b *bench, w *work.Work, s *script) error { return b.pass.Run(context.Background(), w, s) }

	DescribeTable("sends what may run once again only when it is proved not to have run",
		func(m mode.Mode, attempts int, results []tried.Tried, sends int, told kind.Kind, ok bool) {
			b, s := newBench(4), &script{results: results}
			err := run(b, request(m, attempts), s)
			Expect(s.to).To(HaveLen(sends))
			if ok {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(fault.KindOf(err)).To(Equal(told))
		},
		Entry("may have run", mode.Once, 2, []tried.Tried{unknown, done}, 1, kind.OutcomeUnknown, false),
		Entry("never opened", mode.Once, 1, []tried.Tried{unsent, done}, 2, kind.Internal, true),
		Entry("refused by its only endpoint", mode.Once, 1, []tried.Tried{full, done}, 1, kind.NotRun, false),
		Entry("a stream that may not be resumed", mode.Stream, 2, []tried.Tried{unknown, done}, 1, kind.OutcomeUnknown, false),
		Entry("an idempotent call", mode.Idempotent, 2, []tried.Tried{unknown, done}, 2, kind.Internal, true),
		Entry("an idempotent call that failed twice", mode.Idempotent, 2, []tried.Tried{failed, failed}, 2, kind.Internal, true),
		Entry("run, then refused", mode.Idempotent, 2, []tried.Tried{unknown, full}, 2, kind.OutcomeUnknown, false),
		Entry("refused everywhere", mode.Idempotent, 2, []tried.Tried{full, full}, 2, kind.NotRun, false),
	)

	It("goes on with a resumable stream after the last event, at another endpoint", func() {
		broken := tried.Tried{Ending: ending.Broken, Sent: true, Last: "7"}
		b, s := newBench(3), &script{results: []tried.Tried{broken, done}}
		Expect(run(b, request(mode.Resumable, 2), s)).To(Succeed())
		Expect(s.resumes).To(Equal([]string{"", "7"}))
		Expect(s.to[0]).NotTo(Equal(s.to[1]))
	})

	It("counts a request once, however often it ran", func() {
		b, s := newBench(3), &script{results: []tried.Tried{unknown, done}}
		Expect(run(b, request(mode.Idempotent, 2), s)).To(Succeed())
		Expect(b.usage.n).To(Equal(1))
	})

	It("rejects at once, with a time to come back, what no endpoint can serve", func() {
		b, s := newBench(0), &script{}
		err := run(b, request(mode.Once, 1), s)
		Expect(fault.KindOf(err)).To(Equal(kind.NotRun))
		Expect(fault.From(err).RetryAfter).To(BeNumerically(">", 0))
	})

	It("refuses at a stopping host what would not end in time, and takes what would", func() {
		b, s := newBench(2), &script{results: []tried.Tried{done}}
		b.pass.Pace.(*pace.Pace).Observe("p", 3*time.Second)
		b.leaving, b.left = true, 2*time.Second
		Expect(fault.KindOf(run(b, request(mode.Resumable, 2), s))).To(Equal(kind.Draining))
		Expect(s.to).To(BeEmpty())
		b.left = 4 * time.Second
		Expect(run(b, request(mode.Resumable, 2), s)).To(Succeed())
	})

	It("refuses at a stopping host a stream that may generate more than there is time for, though only short ones were seen", func() {
		b, s := newBench(2), &script{results: []tried.Tried{done}}
		b.pass.Pace.(*pace.Pace).ObserveStream("plume", 400*time.Millisecond, 100)
		b.leaving, b.left = true, 2700*time.Millisecond
		long := request(mode.Resumable, 2)
		long.OutTokens = 800
		Expect(fault.KindOf(run(b, long, s))).To(Equal(kind.Draining))
		short := request(mode.Resumable, 2)
		short.OutTokens = 100
		Expect(run(b, short, s)).To(Succeed())
	})

	It("sends nothing more to an endpoint that turned out to be another", func() {
		moved := tried.Tried{Ending: ending.Moved, Sent: true}
		b, s := newBench(2), &script{results: []tried.Tried{moved, done}}
		Expect(run(b, request(mode.Idempotent, 2), s)).To(Succeed())
		Expect(b.depot.Get(s.to[0]).Leaving()).To(BeTrue())
	})

	It("sends an endpoint that asked for a pause nothing more, and tells callers when to come back", func() {
		b := newBench(2)
		for _, t := range b.depot.All() {
			t.Rest(time.Now().Add(7 * time.Second))
		}
		s := &script{}
		err := run(b, request(mode.Once, 2), s)
		Expect(s.to).To(BeEmpty())
		Expect(fault.KindOf(err)).To(Equal(kind.NotRun))
		Expect(fault.From(err).RetryAfter).To(BeNumerically("~", 7*time.Second, time.Second))
	})

	It("takes a pause that an endpoint asked for as no failure", func() {
		b, s := newBench(1), &script{results: []tried.Tried{full}}
		t := b.depot.All()[0]
		t.Rest(time.Now().Add(50 * time.Millisecond))
		time.Sleep(60 * time.Millisecond)
		s.before = func(t *target.Target) { t.Rest(time.Now().Add(time.Minute)) }
		Expect(run(b, request(mode.Once, 2), s)).NotTo(Succeed())
		n, _ := t.Failures(time.Now())
		Expect(n).To(BeZero())
	})

	It("makes no other attempt of a plain answer of which the caller has got a part", func() {
		broken := tried.Tried{Ending: ending.Broken, Sent: true}
		b, s := newBench(3), &script{results: []tried.Tried{broken, done}}
		Expect(fault.KindOf(run(b, request(mode.Idempotent, 3), s))).To(Equal(kind.OutcomeUnknown))
		Expect(s.to).To(HaveLen(1))
	})
})
