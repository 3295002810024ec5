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

func (c *fakeCloud) Offers(context.Context) ([]offer.Offer, error) {
	c.reads++
	return []offer.Offer{{DataCentre: "dc", Backend: "b", ReclaimablePrice: 5, OnDemandPrice: 18, Live: 1}}, nil
}

func (c *fakeCloud) SetDesired(_ context.Context, order scale.Desired) error {
	c.orders = append(c.orders, order)
	return nil
}

func (c *fakeCloud) Demand(label.Name) float64 { return c.demand }

func (c *fakeCloud) Step(context.Context, string) (int64, bool) { return 1, c.eligible }

func (c *fakeCloud) Held(string) (int64, bool) { return 1, c.eligible }

func (c *fakeCloud) Eligible(string) bool { return c.eligible }

var _ = Describe("Provisioner", func() {
	It("reads offers rarely while other processes order, and applies the peak demand of that time after a takeover", func() {
		cloud, now := &fakeCloud{demand: 4}, time.Unix(1000, 0)
		p := &provis.Provisioner{
			Cloud: cloud, Demand: cloud, Leases: cloud, Plan: plan.Plan{TargetUtilisation: 0.5, MaxStarting: 20},
			ScaleDownDelay: time.Hour, Now: func() time.Time { return now }, Log: hclog.NewNullLogger(),
		}
		for range 100 {
			p.Step(context.Background())
			now = now.Add(time.Second)
		}
		Expect(cloud.reads).To(BeNumerically("<", 10))
		Expect(cloud.orders).To(BeEmpty())
		cloud.eligible, cloud.demand = true, 1
		p.Step(context.Background())
		p.Step(context.Background())
		Expect(cloud.orders).NotTo(BeEmpty())
		Expect(cloud.orders[0].Reclaimable + cloud.orders[0].OnDemand).To(BeNumerically(">=", 8))
	})
})
