package orders_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/assign"
	"github.com/dragonflyroute/dragonflyroute/coordination/orders"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/duty"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/guard"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

func TestOrders(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "orders")
}

// fakes is everything that Orders meets; its lease can be lost between a step and an order.
type fakes struct {
	catalogue     catlog.Catalogue
	fence         int64
	held          bool
	lostAfterStep bool
	failing       bool
	sent          []int64
}

func (w *fakes) Current() *catlog.Catalogue { return &w.catalogue }

func (w *fakes) Step(context.Context, string) (int64, bool) { return w.fence, w.held }

func (w *fakes) Held(string) (int64, bool) { return w.fence, w.held && !w.lostAfterStep }

func (w *fakes) Assign(_ context.Context, _ duty.Duty, fence int64) error {
	w.sent = append(w.sent, fence)
	if w.failing {
		return fault.New(kind.Unavailable, "", "broken")
	}
	return nil
}

var _ = Describe("Orders", func() {
	var w *fakes
	var now time.Time
	const flight = time.Second
	steps := func(g guard.Guard) func() {
		w = &fakes{fence: 3, held: true}
		w.catalogue.Entries = []entry.Entry{{Name: "e", Backend: "b", Version: "v2", EngineOrders: g}}
		now = time.Unix(1000, 0)
		o := &orders.Orders{
			Catalogue: w, Leases: w, Engines: w, Assign: assign.Assign{MaxLoading: 1}, Flight: flight, Log: hclog.NewNullLogger(),
			Now:   func() time.Time { return now },
			Hosts: func() []roster.Row { return []roster.Row{{ID: "x", Backend: "b", Version: "v1", State: roster.Live}} },
		}
		return func() { o.Step(context.Background()) }
	}

	It("orders at once under its number an engine that checks it, again until it is carried out", func() {
		step := steps(guard.Fenced)
		w.failing = true
		step()
		step()
		Expect(w.sent).To(Equal([]int64{3, 3}))
	})

	It("orders nothing without the lease, nor when it is lost after the step", func() {
		step := steps(guard.Fenced)
		w.held = false
		step()
		w.held, w.lostAfterStep = true, true
		step()
		Expect(w.sent).To(BeEmpty())
	})

	It("waits out orders in flight before it orders an engine that ignores the number, anew after each loss", func() {
		step := steps(guard.Unfenced)
		step()
		now = now.Add(flight / 2)
		step()
		Expect(w.sent).To(BeEmpty())
		now = now.Add(flight)
		step()
		Expect(w.sent).To(Equal([]int64{3}))
		w.fence = 5
		step()
		Expect(w.sent).To(Equal([]int64{3}))
		now = now.Add(flight)
		step()
		Expect(w.sent).To(Equal([]int64{3, 5}))
	})
})
