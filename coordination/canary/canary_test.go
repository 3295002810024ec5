package canary_test

import (
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
