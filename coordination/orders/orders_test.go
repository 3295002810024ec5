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
	"github.com/dragonflyroute/dragonflyroute/protocol/deploy"
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

// fake stands in for the catalogue, the leases and the engines; its lease can be lost between a step and an order.
type fake struct {
	catalogue     catlog.Catalogue
	fence         int64
	held          bool
	lostAfterStep bool
	failing       bool
	sent          []int64
}

func (f *fake) Current() *catlog.Catalogue { return &f.catalogue }

func (f *fake) Step(context.Context, string) (int64, bool) { return f.fence, f.held }

func (f *fake) Held(string) (int64, bool) { return f.fence, f.held && !f.lostAfterStep }

func (f *fake) Assign(_ context.Context, _ deploy.Order, fence int64) error {
	f.sent = append(f.sent, fence)
	if f.failing {
		return fault.New(kind.Unavailable, "", "order failed")
	}
	return nil
}

var _ = Describe("Orders", func() {
	var f *fake
	var now time.Time
	const callTimeout = time.Second
	setup := func(g guard.Guard) func() {
		f = &fake{fence: 3, held: true}
		f.catalogue.Entries = []entry.Entry{{Name: "e", Backend: "b", Version: "v2", EngineOrders: g}}
		now = time.Unix(1000, 0)
		o := &orders.Orders{
			Catalogue: f, Leases: f, Engines: f, Assign: assign.Assign{MaxLoading: 1}, CallTimeout: callTimeout, Log: hclog.NewNullLogger(),
			Now:   func() time.Time { return now },
			Hosts: func() []roster.Row { return []roster.Row{{ID: "x", Backend: "b", Version: "v1", State: roster.Live}} },
		}
		return func() { o.Step(context.Background()) }
	}

	It("sends an engine that checks fencing numbers its order at once, and repeats it until it is carried out", func() {
		step := setup(guard.Fenced)
		f.failing = true
		step()
		step()
		Expect(f.sent).To(Equal([]int64{3, 3}))
	})

	It("sends nothing without the lease, nor when the lease is lost after the step", func() {
		step := setup(guard.Fenced)
		f.held = false
		step()
		f.held, f.lostAfterStep = true, true
		step()
		Expect(f.sent).To(BeEmpty())
	})

	It("waits for the previous holder's orders in flight to time out for an engine that ignores fencing numbers, anew for each number", func() {
		step := setup(guard.Unfenced)
		step()
		now = now.Add(callTimeout / 2)
		step()
		Expect(f.sent).To(BeEmpty())
		now = now.Add(callTimeout)
		step()
		Expect(f.sent).To(Equal([]int64{3}))
		f.fence = 5
		step()
		Expect(f.sent).To(Equal([]int64{3}))
		now = now.Add(callTimeout)
		step()
		Expect(f.sent).To(Equal([]int64{3, 5}))
	})
})
