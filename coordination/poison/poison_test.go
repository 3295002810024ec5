package poison_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/coordination/poison"
	"github.com/dragonflyroute/dragonflyroute/protocol/ending"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/result"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/ruling"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/blame"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

func TestPoison(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "poison")
}

const (
	bad   = 0xbad
	sound = 0x50
	// apart is the time between crashes, settle that in which other hosts could report an answer, and checkTime that in which
	// the guard has checked endpoints and decided.
	apart     = 300 * time.Millisecond
	settle    = time.Second
	checkTime = 500 * time.Millisecond
)

// headOnly is an answer of which only the head came, waiting one of which nothing came.
var (
	headOnly = result.Result{Ending: ending.Unknown, Sent: true, Status: 200, Broken: true}
	waiting  = result.Result{Ending: ending.Unknown, Sent: true, Broken: true}
	// streaming is an answer that broke off after some events.
	streaming = result.Result{Ending: ending.Truncated, Sent: true, Status: 200, LastEventID: "7", Broken: true}
	lost      = result.Result{Ending: ending.Unknown, Sent: true, Status: 200}
	answered  = result.Result{Ending: ending.Delivered, Sent: true, Status: 200}
)

// request returns a request with the given shared parts and one of its own.
func request(shared ...uint64) *work.Request {
	return &work.Request{ID: "r", Shared: shared}
}

// fixture is a guard whose endpoints are down unless they are in alive, on a clock of its own.
type fixture struct {
	guard *poison.Guard
	mu    sync.Mutex
	now   time.Time
	// alive must be set before the first crash.
	alive bool
	known bool
	// refuse makes the store refuse decisions, saved holds those that it took.
	refuse bool
	saved  map[uint64]ruling.Ruling
	n      int
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0), known: true, saved: map[uint64]ruling.Ruling{}}
	f.guard = &poison.Guard{
		Blame:    &blame.Blame{Settle: func() time.Duration { return settle }},
		Alive:    func(context.Context, string) bool { return f.alive },
		Known:    func() bool { return f.get(&f.known) },
		MayProbe: func(uint64, time.Duration) bool { return true },
		Save:     f.save,
		Now:      f.time,
		Count:    func(string, int64) {},
		Log:      hclog.NewNullLogger(),
	}
	f.guard.Prepare()
	ctx, stop := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return f.guard.Run(ctx) })
	DeferCleanup(func() {
		stop()
		Expect(g.Wait()).To(Succeed())
	})
	return f
}

func (f *fixture) get(b *bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *b
}

func (f *fixture) set(b *bool, value bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*b = value
}

func (f *fixture) time() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fixture) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

func (f *fixture) save(_ context.Context, hash uint64, r ruling.Ruling) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse {
		return fault.New(kind.Unavailable, "", "the store is down")
	}
	f.saved[hash] = r
	return nil
}

// stored reports whether the store holds the decision on the bad part.
func (f *fixture) stored() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.saved[bad].InForce()
}

// endpoint returns another endpoint.
func (f *fixture) endpoint() *target.Target {
	f.n++
	return target.New(roster.Row{ID: endpt.ID(fmt.Sprint("e-", f.n)), Address: "x", State: roster.Live})
}

// crash ends requests with the parts at n endpoints, one after the other, and lets the time pass in which other hosts
// could report an answer.
func (f *fixture) crash(n int, r result.Result, shared ...uint64) {
	for range n {
		f.guard.Ended(request(shared...), f.endpoint(), r, time.Time{})
		f.advance(apart)
	}
	// The endpoints are checked and decided on in the background.
	time.Sleep(checkTime)
	f.advance(settle)
}

func (f *fixture) admits(shared ...uint64) func() bool {
	return func() bool {
		_, reason := f.guard.Admit(request(shared...))
		return reason == ""
	}
}

var _ = Describe("Guard", func() {
	It("refuses requests with the part that crashed endpoints, with the time of the next test, and stores that", func() {
		f := newFixture()
		f.crash(5, headOnly, bad)
		Eventually(f.admits(bad)).Should(BeFalse())
		wait, _ := f.guard.Admit(request(sound, bad))
		Expect(wait).To(BeNumerically("~", 30*time.Second, 2*time.Second))
		Expect(f.admits(sound)()).To(BeTrue())
		Eventually(f.stored).Should(BeTrue())
	})

	// Guards against refusing prompts whose answers are lost on the way.
	It("does not blame a part for lost answers, and for endpoints that still accept connections only if their answers had begun", func() {
		f := newFixture()
		f.alive = true
		f.crash(9, waiting, bad)
		Consistently(f.admits(bad), "600ms").Should(BeTrue())
		f = newFixture()
		f.crash(9, lost, bad)
		Consistently(f.admits(bad), "600ms").Should(BeTrue())
		f = newFixture()
		f.alive = true
		f.crash(4, headOnly, bad)
		Consistently(f.admits(bad), "600ms").Should(BeTrue())
		f.crash(2, headOnly, bad)
		Eventually(f.admits(bad)).Should(BeFalse())
	})

	// Guards against refusing the prompts of requests that ended with an endpoint that had announced that it leaves.
	It("does not blame a part for endpoints that leave", func() {
		f := newFixture()
		for range 9 {
			t := f.endpoint()
			t.MarkLeaving()
			f.guard.Ended(request(bad), t, headOnly, time.Time{})
			f.advance(apart)
		}
		Consistently(f.admits(bad), "600ms").Should(BeTrue())
	})

	It("does not blame a part whose answer had been arriving for some time", func() {
		f := newFixture()
		for range 9 {
			f.advance(2 * time.Second)
			f.guard.Ended(request(bad), f.endpoint(), streaming, f.time().Add(-1500*time.Millisecond))
		}
		Consistently(f.admits(bad), "600ms").Should(BeTrue())
	})

	It("never blames the last part of a prompt, nor a prompt of one part", func() {
		f := newFixture()
		f.crash(9, headOnly)
		f.crash(9, headOnly, bad)
		Eventually(f.admits(bad)).Should(BeFalse())
		Expect(f.admits()()).To(BeTrue())
		Expect(f.admits(sound)()).To(BeTrue())
	})

	It("needs twice as many crashes of requests that had not begun to be answered", func() {
		f := newFixture()
		f.crash(5, waiting, bad)
		Consistently(f.admits(bad), "500ms").Should(BeTrue())
		f.crash(1, waiting, bad)
		Eventually(f.admits(bad)).Should(BeFalse())
	})

	It("sends a test when it is due, and all requests once the test was answered", func() {
		f := newFixture()
		f.crash(5, headOnly, bad)
		Eventually(f.admits(bad)).Should(BeFalse())
		f.advance(31 * time.Second)
		Expect(f.admits(bad)()).To(BeTrue())
		_, reason := f.guard.Begin(request(bad))
		Expect(reason).To(BeEmpty(), "the test")
		_, reason = f.guard.Begin(request(bad))
		Expect(reason).NotTo(BeEmpty(), "a second one")
		f.advance(time.Second)
		f.guard.Ended(request(bad), f.endpoint(), answered, f.time())
		Expect(f.admits(bad)()).To(BeTrue())
		Eventually(f.stored).Should(BeFalse())
	})

	// Guards against a part that hosts which start refuse, since the store has carried out late the write of a decision that an
	// answer has ended.
	It("removes a decision from the store that comes back after it has ended", func() {
		f := newFixture()
		f.crash(5, headOnly, bad)
		Eventually(f.stored).Should(BeTrue())
		late := f.guard.Blame.Ruling(bad)
		f.advance(time.Second)
		f.guard.Ended(request(bad), f.endpoint(), answered, f.time())
		Eventually(f.stored).Should(BeFalse())
		f.mu.Lock()
		f.saved[bad] = late
		f.mu.Unlock()
		Expect(f.guard.Restore(bad, late)).To(BeFalse())
		Eventually(f.stored).Should(BeFalse())
		Expect(f.admits(bad)()).To(BeTrue())
	})

	// Guards against tests that follow each other without bound, as none of them shows anything.
	It("waits for the next test after one that shows nothing", func() {
		f := newFixture()
		f.crash(5, headOnly, bad)
		Eventually(f.admits(bad)).Should(BeFalse())
		f.advance(31 * time.Second)
		_, reason := f.guard.Begin(request(bad))
		Expect(reason).To(BeEmpty())
		f.guard.Ended(request(bad), f.endpoint(), result.Result{Ending: ending.CallerGone, Sent: true}, time.Time{})
		f.advance(31 * time.Second)
		Expect(f.admits(bad)()).To(BeFalse())
	})

	// Guards against a response head that counts as an answer.
	It("does not take a whole answer that never came for one", func() {
		f := newFixture()
		f.crash(5, headOnly, bad)
		Eventually(f.admits(bad)).Should(BeFalse())
		f.guard.Ended(request(bad), f.endpoint(), result.Result{Ending: ending.Unknown, Sent: true, Status: 200}, f.time().Add(-2*time.Second))
		Expect(f.admits(bad)()).To(BeFalse())
	})

	// Guards against a crash after the head that looks like an empty answer.
	It("does not take an empty answer that ends with its connection for one", func() {
		f := newFixture()
		f.crash(5, result.Result{Ending: ending.Delivered, Sent: true, Status: 200, Broken: true}, bad)
		Eventually(f.admits(bad)).Should(BeFalse())
	})

	It("stores a decision once the store takes it", func() {
		f := newFixture()
		f.refuse = true
		f.crash(5, headOnly, bad)
		Eventually(f.admits(bad)).Should(BeFalse())
		Consistently(f.stored, "400ms").Should(BeFalse())
		f.set(&f.refuse, false)
		Eventually(f.stored).Should(BeTrue())
	})

	// Guards against a host that has just started and sends what the others refuse.
	It("refuses prompts with shared parts until it has read the decisions, for some seconds at most", func() {
		f := newFixture()
		f.known = false
		f.guard.Started = f.now
		_, reason := f.guard.Admit(request(sound))
		Expect(reason).To(ContainSubstring("not known yet"))
		Expect(f.admits()()).To(BeTrue(), "without shared parts")
		f.advance(4 * time.Second)
		Expect(f.admits(sound)()).To(BeTrue())
		f.guard.Started = f.time()
		f.set(&f.known, true)
		Expect(f.admits(sound)()).To(BeTrue())
	})
})

// Guards against a restart that nothing tells of: processes back off from an endpoint that broke off their requests, and none
// tries it while it is down.
var _ = Describe("An endpoint that is limited while cold and breaks off a request without a prompt", func() {
	const coldTime = 3 * time.Second
	crashed := func(f *fixture) *target.Target {
		t := f.endpoint()
		t.Warmup.Time = func() time.Duration { return coldTime }
		t.Warmup.Interval = func() (time.Duration, bool) { return time.Second, true }
		f.guard.Ended(request(), t, waiting, time.Time{})
		return t
	}

	It("counts as cold if it accepts no connections", func() {
		f := newFixture()
		t := crashed(f)
		Eventually(func() bool { return t.Warmup.Cold(f.time()) }).Should(BeTrue())
		Expect(f.admits(bad)()).To(BeTrue())
	})

	It("does not if it accepts them", func() {
		f := newFixture()
		f.alive = true
		t := crashed(f)
		Consistently(func() bool { return t.Warmup.Cold(f.time()) }, checkTime).Should(BeFalse())
	})
})
