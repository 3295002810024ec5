package provis_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/plan"
	"github.com/dragonflyroute/dragonflyroute/coordination/provis"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/offer"
	"github.com/dragonflyroute/dragonflyroute/protocol/scale"
)

func TestProvisioner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "provis")
}

// fakeCloud is a cloud with one offer, the demand for it, and the lease of its data centre.
type fakeCloud struct {
	eligible bool
	demand   float64
	reads    int
	orders   []scale.Desired
}

func (w *fakeCloud) Offers(context.Context) ([]offer.Offer, error) {
	w.reads++
	return []offer.Offer{{DataCentre: "dc", Backend: "b", ReclaimablePrice: 5, OnDemandPrice: 18, Live: 1}}, nil
}

func (w *fakeCloud) SetDesired(_ context.Context, order scale.Desired) error {
	w.orders = append(w.orders, order)
	return nil
}

func (w *fakeCloud) Demand(label.Name) float64 { return w.demand }

func (w *fakeCloud) Step(context.Context, string) (int64, bool) { return 1, w.eligible }

func (w *fakeCloud) Held(string) (int64, bool) { return 1, w.eligible }

func (w *fakeCloud) Eligible(string) bool { return w.eligible }

var _ = Describe("Provisioner", func() {
	It("reads offers rarely while other processes order, and applies the peak demand of that time after a takeover", func() {
		w, now := &fakeCloud{demand: 4}, time.Unix(1000, 0)
		b := &provis.Provisioner{
			Cloud: w, Demand: w, Leases: w, Plan: plan.Plan{TargetUtilisation: 0.5, MaxStarting: 20},
			ScaleDownDelay: time.Hour, Now: func() time.Time { return now }, Log: hclog.NewNullLogger(),
		}
		for range 100 {
			b.Step(context.Background())
			now = now.Add(time.Second)
		}
		Expect(w.reads).To(BeNumerically("<", 10))
		Expect(w.orders).To(BeEmpty())
		w.eligible, w.demand = true, 1
		b.Step(context.Background())
		b.Step(context.Background())
		Expect(w.orders).NotTo(BeEmpty())
		Expect(w.orders[0].Reclaimable + w.orders[0].OnDemand).To(BeNumerically(">=", 8))
	})
})
