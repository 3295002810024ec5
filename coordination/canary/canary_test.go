package canary_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/canary"
	"github.com/dragonflyroute/dragonflyroute/coordination/judge"
	"github.com/dragonflyroute/dragonflyroute/protocol/ending"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/result"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/share"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
)

func TestCanary(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "canary")
}

var _ = Describe("Canary", func() {
	requested := move.Move{ID: "plume@7", Entry: "plume", To: "v2"}
	request := &work.Request{Backend: "plume", Route: &path.Route{Name: "q", TargetLatency: time.Second}}
	endpoint := func(v label.Name) *target.Target {
		return target.New(roster.Row{ID: "i", Backend: "plume", Version: v, State: roster.Live})
	}
	both := []*target.Target{endpoint("v1"), endpoint("v2")}
	var c *canary.Canary
	BeforeEach(func() {
		c = &canary.Canary{Trials: &trials.Trials{}, Judge: judge.Judge{Alpha: 0.001, Margin: 0.02}, Rand: func() float64 { return 0.5 }}
	})
	served := func() []label.Name {
		var out []label.Name
		for _, t := range c.Choose(request).Filter(both) {
			out = append(out, t.Row().Version)
		}
		return out
	}
	ramping := requested
	ramping.State = move.Ramping
	ramping.Routes = []share.Share{{Name: "q", Fraction: 0.6}}

	It("uses all versions while no move is requested", func() {
		Expect(served()).To(Equal([]label.Name{"v1", "v2"}))
	})

	It("stays on the old version until the state of the requested move is known", func() {
		c.SetRequested(requested)
		Expect(served()).To(Equal([]label.Name{"v1"}))
		earlier := ramping
		earlier.ID, earlier.State = "plume@3", move.Done
		c.SetState(earlier)
		Expect(served()).To(Equal([]label.Name{"v1"}))
	})

	It("splits by the route's share, and uses the new version when the move is done", func() {
		c.SetRequested(requested)
		c.SetState(ramping)
		Expect(served()).To(Equal([]label.Name{"v2"}))
		done := ramping
		done.State = move.Done
		c.SetState(done)
		Expect(served()).To(Equal([]label.Name{"v2"}))
	})

	It("withdraws the move permanently on its own evidence", func() {
		c.SetRequested(requested)
		c.SetState(ramping)
		chosen := c.Choose(request)
		for range 40 {
			c.Record(chosen, both[1], request, result.Result{Ending: ending.Failed, Sent: true})
			c.Record(chosen, both[0], request, result.Result{Ending: ending.Delivered, Sent: true})
		}
		Expect(served()).To(Equal([]label.Name{"v1"}))
		c.SetState(ramping)
		Expect(served()).To(Equal([]label.Name{"v1"}))
	})

	It("counts neither disconnected callers nor attempts that did not run", func() {
		c.SetRequested(requested)
		c.SetState(ramping)
		chosen := c.Choose(request)
		for range 40 {
			c.Record(chosen, both[1], request, result.Result{Ending: ending.CallerGone})
			c.Record(chosen, both[1], request, result.Result{Ending: ending.NotRun})
		}
		Expect(served()).To(Equal([]label.Name{"v2"}))
	})
})

var _ = Describe("A version whose callers leave", func() {
	const aim, gap = 500 * time.Millisecond, 300 * time.Millisecond
	request := &work.Request{Backend: "plume", Route: &path.Route{Name: "q", TargetLatency: aim, TargetGap: gap}}
	old := target.New(roster.Row{ID: "i", Backend: "plume", Version: "v1", State: roster.Live, Slots: 8})
	fresh := target.New(roster.Row{ID: "j", Backend: "plume", Version: "v2", State: roster.Live, Slots: 8})
	answered := result.Result{Ending: ending.Delivered, Sent: true, Status: 200, TimeToFirst: 100 * time.Millisecond}
	// gone returns the result of an attempt whose caller left after a wait.
	gone := func(waited time.Duration) result.Result {
		return result.Result{Ending: ending.CallerGone, Sent: true, Waited: waited}
	}
	var c *canary.Canary
	BeforeEach(func() {
		c = &canary.Canary{Trials: &trials.Trials{}, Judge: judge.Judge{Alpha: 0.001, Margin: 0.02}, Rand: func() float64 { return 0.5 }, Now: time.Now}
		requested := move.Move{ID: "plume@7", Entry: "plume", To: "v2"}
		c.SetRequested(requested)
		requested.State, requested.Routes = move.Ramping, []share.Share{{Name: "q", Fraction: 0.6}}
		c.SetState(requested)
	})
	// play counts attempts at both versions: of five, some end in a way of their own on each one.
	play := func(onOld, onNew int, r result.Result) (withdrawn bool) {
		chosen := c.Choose(request)
		for i := range 1000 {
			for _, v := range []struct {
				at  *target.Target
				own int
			}{{old, onOld}, {fresh, onNew}} {
				if i%5 < v.own {
					c.Record(chosen, v.at, request, r)
				} else {
					c.Record(chosen, v.at, request, answered)
				}
			}
		}
		return c.Trials.Withdrawn("plume@7")
	}

	// Guards against a version that is completed though many of its callers leave as their answers do not come.
	It("later than the answer is due is withdrawn", func() {
		Expect(play(0, 2, gone(2400*time.Millisecond))).To(BeTrue())
	})

	It("after a pause longer than the route allows is withdrawn", func() {
		r := gone(2400 * time.Millisecond)
		r.TimeToFirst, r.LastEventID = answered.TimeToFirst, "3"
		Expect(play(0, 2, r)).To(BeTrue())
	})

	It("after an answer that began too late is withdrawn", func() {
		r := gone(0)
		r.TimeToFirst, r.LastEventID = 2*aim, "3"
		Expect(play(0, 2, r)).To(BeTrue())
	})

	// Guards against callers who leave sooner than the route's aim, so that a version that is silent loses them uncounted.
	It("long after answers of the old one begin is withdrawn, though before the route's aim", func() {
		Expect(play(0, 2, gone(400*time.Millisecond))).To(BeTrue())
	})

	// Guards against a good version that is withdrawn because callers are impatient.
	DescribeTable("like those of the old one, or for reasons of their own, stays",
		func(onOld, onNew int, r result.Result) { Expect(play(onOld, onNew, r)).To(BeFalse()) },
		Entry("before an answer is due", 0, 2, gone(90*time.Millisecond)),
		Entry("late on both versions", 2, 2, gone(2400*time.Millisecond)),
		Entry("late, more often on the old one", 3, 2, gone(2400*time.Millisecond)),
		Entry("in the middle of a stream that goes on", 0, 2, result.Result{Ending: ending.CallerGone, Sent: true, TimeToFirst: 100 * time.Millisecond, Waited: 20 * time.Millisecond}),
		Entry("before the request was sent", 0, 2, result.Result{Ending: ending.CallerGone, Waited: 2400 * time.Millisecond}),
	)

	It("is not judged by their leaving before some answers of the old one are known", func() {
		request := &work.Request{Backend: "plume", Route: &path.Route{Name: "q"}}
		chosen := c.Choose(request)
		for range 1000 {
			c.Record(chosen, fresh, request, gone(time.Second))
		}
		Expect(c.Trials.Withdrawn("plume@7")).To(BeFalse())
	})

	// Guards against a version that is completed though it turns many of its requests away.
	It("as it rejects requests with room for them is withdrawn", func() {
		Expect(play(0, 2, result.Result{Ending: ending.NotRun, Sent: true, Status: 503})).To(BeTrue())
	})

	DescribeTable("as it rejects requests stays, if",
		func(onOld, onNew int, r result.Result) { Expect(play(onOld, onNew, r)).To(BeFalse()) },
		Entry("the old one does too", 2, 2, result.Result{Ending: ending.NotRun, Sent: true, Status: 503}),
		Entry("it is full", 0, 2, result.Result{Ending: ending.NotRun, Sent: true, Status: 503, LoadKnown: true, Running: 8, Slots: 8}),
		Entry("requests wait there", 0, 2, result.Result{Ending: ending.NotRun, Sent: true, Status: 503, LoadKnown: true, Running: 7, Waiting: 1, Slots: 8}),
		Entry("no endpoint answered", 0, 2, result.Result{Ending: ending.NotRun}),
		Entry("another endpoint uses its address", 0, 2, result.Result{Ending: ending.AddressReused, Sent: true, Status: 421}),
	)
})

var _ = Describe("A version that answers with a status other than success", func() {
	request := &work.Request{Backend: "plume", Route: &path.Route{Name: "q", TargetLatency: time.Second}}
	old := target.New(roster.Row{ID: "i", Backend: "plume", Version: "v1", State: roster.Live, Slots: 8})
	fresh := target.New(roster.Row{ID: "j", Backend: "plume", Version: "v2", State: roster.Live, Slots: 8})
	answer := func(status int) result.Result {
		return result.Result{Ending: ending.Delivered, Sent: true, Status: status, TimeToFirst: time.Millisecond}
	}
	// play counts attempts at both versions: of ten, some are answered with a status on each one, and the others with success.
	play := func(onOld, onNew, status int) (withdrawn bool) {
		c := &canary.Canary{Trials: &trials.Trials{}, Judge: judge.Judge{Alpha: 0.001, Margin: 0.02}, Rand: func() float64 { return 0.5 }, Now: time.Now}
		requested := move.Move{ID: "plume@7", Entry: "plume", To: "v2"}
		c.SetRequested(requested)
		requested.State, requested.Routes = move.Ramping, []share.Share{{Name: "q", Fraction: 0.6}}
		c.SetState(requested)
		chosen := c.Choose(request)
		for i := range 1000 {
			for at, own := range map[*target.Target]int{old: onOld, fresh: onNew} {
				if i%10 < own {
					c.Record(chosen, at, request, answer(status))
				} else {
					c.Record(chosen, at, request, answer(200))
				}
			}
		}
		return c.Trials.Withdrawn("plume@7")
	}

	// Guards against a version that is completed though it answers many requests with a status of the caller's fault, which the
	// old version served.
	DescribeTable("more often than the old one is withdrawn",
		func(onOld, onNew, status int) { Expect(play(onOld, onNew, status)).To(BeTrue()) },
		Entry("not found, where the old one has none", 0, 4, 404),
		Entry("not found, where callers ask for what does not exist", 3, 6, 404),
		Entry("bad request", 0, 4, 400),
		Entry("unauthorized", 0, 4, 401),
		Entry("conflict", 1, 4, 409),
		Entry("a redirection", 0, 4, 302),
	)

	// Guards against a good version that is withdrawn because of its callers' requests.
	DescribeTable("as often as the old one stays",
		func(onOld, onNew, status int) { Expect(play(onOld, onNew, status)).To(BeFalse()) },
		Entry("not found", 3, 3, 404),
		Entry("not modified", 5, 5, 304),
		Entry("nearly always bad request", 9, 9, 400),
		Entry("less often", 5, 2, 404),
		Entry("no content", 0, 9, 204),
	)
})

var _ = Describe("A version with all of the traffic", func() {
	request := &work.Request{Backend: "plume", Route: &path.Route{Name: "q", TargetLatency: time.Second}}
	endpoints := []*target.Target{
		target.New(roster.Row{ID: "i", Backend: "plume", Version: "v1", State: roster.Live, Slots: 8}),
		target.New(roster.Row{ID: "j", Backend: "plume", Version: "v2", State: roster.Live, Slots: 8}),
	}
	// play plays a move at the full share, in which some seconds are disturbed: half of the requests on the given versions are bad
	// then. It reports whether the move was withdrawn.
	play := func(disturbed func(second int) bool, versions ...label.Name) bool {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		draws := rand.New(rand.NewPCG(1, 1))
		c := &canary.Canary{Trials: &trials.Trials{Now: clock}, Judge: judge.Judge{Alpha: 0.001, Margin: 0.02}, Rand: draws.Float64, Now: clock}
		m := move.Move{ID: "plume@7", Entry: "plume", To: "v2"}
		c.SetRequested(m)
		m.State = move.Ramping
		for second := range 40 {
			m.Routes = []share.Share{{Name: "q", Fraction: 0.1}}
			if second >= 20 {
				m.Routes = []share.Share{{Name: "q", Fraction: 1}}
			}
			c.SetState(m)
			for range 100 {
				chosen := c.Choose(request)
				t := chosen.Filter(endpoints)[0]
				status := 200
				if disturbed(second) && slices.Contains(versions, t.Row().Version) && draws.IntN(2) == 0 {
					status = 404
				}
				c.Record(chosen, t, request, result.Result{Ending: ending.Delivered, Sent: true, Status: status, TimeToFirst: time.Millisecond})
			}
			now = now.Add(time.Second)
		}
		return c.Trials.Withdrawn("plume@7")
	}

	// Guards against a good version that is withdrawn as its callers err for some seconds, while the old one has no requests to
	// compare with.
	It("stays when callers of both versions err for some seconds", func() {
		Expect(play(func(second int) bool { return second >= 25 && second < 29 }, "v1", "v2")).To(BeFalse())
	})

	It("is withdrawn when that does not end, or comes before it has all of the traffic", func() {
		Expect(play(func(second int) bool { return second >= 25 }, "v2")).To(BeTrue())
		Expect(play(func(second int) bool { return second < 20 }, "v2")).To(BeTrue())
	})
})
