package scaler_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/scaler"
	"github.com/dragonflyroute/dragonflyroute/protocol/back"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/endreg"
)

func TestScaler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scaler")
}

type placed struct {
	dataCentre  centre.ID
	n           int
	reclaimable bool
}

// cloud records orders, and refuses reclaimable ones while it is out of them.
type cloud struct {
	mu               sync.Mutex
	orders           []placed
	outOfReclaimable bool
	// unresponsive is a data centre whose orders get no answer.
	unresponsive centre.ID
}

func (c *cloud) Scale(ctx context.Context, _ int64, _ label.Name, in centre.ID, n int, reclaimable bool) error {
	if in == c.unresponsive {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return fault.New(kind.OutcomeUnknown, "", "no answer")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, placed{in, n, reclaimable})
	if c.outOfReclaimable && reclaimable {
		return fault.New(kind.Conflict, "", "no capacity left")
	}
	return nil
}

func (c *cloud) orderedOnDemand() int {
	last := map[centre.ID]int{}
	for _, o := range c.orders {
		if !o.reclaimable {
			last[o.dataCentre] = o.n
		}
	}
	sum := 0
	for _, n := range last {
		sum += n
	}
	return sum
}

// coldMinute limits the requests to endpoints that are cold, for a minute.
type coldMinute struct{}

func (coldMinute) Time(label.Name) time.Duration { return time.Minute }

func (coldMinute) Interval(*roster.Row) (time.Duration, bool) { return time.Second, true }

type fixture struct {
	scaler    *scaler.Scaler
	cloud     *cloud
	registry  *endreg.Registry
	now       time.Time
	demand    float64
	estimated bool
	held      bool
}

var backs = []back.Backend{{
	Name: "plume", Autoscaled: true, MinEndpoints: 1, MaxEndpoints: 6, ReclaimablePriceRatio: 0.2, BootTime: 4 * time.Second,
	OnDemandPrices: map[centre.ID]float64{"a": 1, "b": 1, "c": 1},
}}

func newFixture() *fixture {
	b := &fixture{cloud: &cloud{}, registry: &endreg.Registry{}, now: time.Unix(1000, 0), demand: 2, held: true}
	b.scaler = &scaler.Scaler{
		Endpoints:    b.registry,
		Demand:       func(label.Name, time.Time) (float64, bool) { return b.demand, !b.estimated },
		Platform:     b.cloud,
		Held:         func() (int64, bool) { return 1, b.held },
		OnStaleFence: func() { b.held = false },
		SettleTime:   2 * time.Second,
		Now:          func() time.Time { return b.now },
		Log:          hclog.NewNullLogger(),
	}
	return b
}

func (b *fixture) add(in string, n int, reclaimable bool) {
	for i := range n {
		id := endpt.ID(in + string(rune('0'+i)) + map[bool]string{true: "r", false: "o"}[reclaimable])
		b.registry.Put(roster.Row{ID: id, Address: string(id), Backend: "plume", DataCentre: centre.ID(in), State: roster.Live, Reclaimable: reclaimable})
	}
}

func (b *fixture) step(after time.Duration) {
	b.now = b.now.Add(after)
	b.scaler.Step(context.Background(), backs)
}

var _ = Describe("Scaler", func() {
	It("orders nothing before the endpoints have been known for the settling time", func() {
		b := newFixture()
		b.step(0)
		b.add("a", 3, false)
		b.step(time.Second)
		b.step(time.Second)
		Expect(b.cloud.orders).To(BeEmpty())
		b.step(2 * time.Second)
		Expect(b.cloud.orders).NotTo(BeEmpty())
	})

	It("orders at once when it takes over from another lease holder", func() {
		b := newFixture()
		b.add("a", 3, false)
		b.scaler.Standby(backs)
		b.now = b.now.Add(5 * time.Second)
		b.scaler.Standby(backs)
		b.step(0)
		Expect(b.cloud.orders).NotTo(BeEmpty())
	})

	It("covers a reclaim with on-demand endpoints although a scale-down was pending", func() {
		b := newFixture()
		b.demand = 3
		for _, in := range []string{"a", "b", "c"} {
			b.add(in, 4, true)
		}
		b.step(0)
		b.step(3 * time.Second)
		b.step(20 * time.Second)
		b.demand, b.cloud.outOfReclaimable, b.cloud.orders = 2, true, nil
		for _, t := range b.registry.ByBackend("plume") {
			if t.Row().DataCentre == "c" {
				t.MarkLeaving()
			}
		}
		b.step(time.Second)
		Expect(b.cloud.orderedOnDemand()).To(BeNumerically(">=", 3))
	})

	It("does not limit an estimated demand to the few endpoints that a reclaim has left", func() {
		b := newFixture()
		b.estimated, b.demand, b.cloud.outOfReclaimable = true, 6, true
		b.add("a", 2, false)
		b.step(0)
		b.step(3 * time.Second)
		Expect(b.cloud.orderedOnDemand()).To(BeNumerically(">=", 6))
	})

	It("orders in the other data centres while an order gets no answer", func() {
		b := newFixture()
		b.cloud.unresponsive = "a"
		b.add("c", 1, true)
		b.step(0)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		b.now = b.now.Add(3 * time.Second)
		b.scaler.Step(ctx, backs)
		ordered := map[centre.ID]bool{}
		for _, o := range b.cloud.orders {
			ordered[o.dataCentre] = true
		}
		Expect(ordered).To(HaveKey(centre.ID("b")))
		Expect(ordered).To(HaveKey(centre.ID("c")))
	})

	// Guards against orders in a data centre that is evacuated, and against the others being left with too few.
	It("orders nothing in an evacuated data centre, and what it bore in the others", func() {
		b := newFixture()
		b.scaler.Evacuated = func(in centre.ID) bool { return in == "b" }
		for _, in := range []string{"a", "b", "c"} {
			b.add(in, 2, true)
		}
		b.step(0)
		b.step(3 * time.Second)
		ordered := map[centre.ID]int{}
		for _, o := range b.cloud.orders {
			ordered[o.dataCentre] += o.n
		}
		Expect(ordered).NotTo(HaveKey(centre.ID("b")))
		Expect(ordered).To(HaveKeyWithValue(centre.ID("a"), BeNumerically(">=", 4)))
		Expect(ordered).To(HaveKeyWithValue(centre.ID("c"), BeNumerically(">=", 4)))
	})

	// Guards against on-demand endpoints being let go for reclaimable ones that bear little yet.
	It("keeps on-demand endpoints until the reclaimable ones in their place are warm", func() {
		b := newFixture()
		b.registry.Warmer = coldMinute{}
		b.demand = 3
		for _, in := range []string{"a", "b", "c"} {
			b.add(in, 3, true)
			b.add(in, 2, false)
		}
		for _, t := range b.registry.All() {
			if t.Row().Reclaimable {
				t.Warmup.Announced(time.Minute, b.now)
			}
		}
		b.step(0)
		b.step(3 * time.Second)
		b.step(5 * time.Second)
		for _, o := range b.cloud.orders {
			Expect(o.reclaimable || o.n >= 1).To(BeTrue(), "%+v", o)
		}
	})

	It("orders nothing without the lease", func() {
		b := newFixture()
		b.add("a", 3, false)
		b.step(0)
		b.held = false
		b.step(3 * time.Second)
		Expect(b.cloud.orders).To(BeEmpty())
	})
})
