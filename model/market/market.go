// Package market simulates the provisioning of hosts under waves of reclaims and refused starts.
package market

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/elect"
	"github.com/dragonflyroute/dragonflyroute/coordination/leases"
	"github.com/dragonflyroute/dragonflyroute/coordination/plan"
	"github.com/dragonflyroute/dragonflyroute/coordination/provis"
	"github.com/dragonflyroute/dragonflyroute/model/sched"
	"github.com/dragonflyroute/dragonflyroute/model/store"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/offer"
	"github.com/dragonflyroute/dragonflyroute/protocol/scale"
)

// The provisioning strategies.
const (
	// Product uses the project's provisioner, on several processes that are killed and paused.
	Product = "product"
	// OnDemand uses on-demand hosts only.
	OnDemand = "on-demand-only"
	// Reclaimable uses reclaimable hosts of the cheapest data centre only.
	Reclaimable = "reclaimable-only"
)

const (
	provisioners = 3
	tick         = 5 * time.Second
	runTime      = 6 * time.Hour
	leaseTerm    = 15 * time.Second
	storeLatency = 4 * time.Millisecond
	// startTime is the time from a host's start until it is live, when its weights load at full speed.
	startTime = 45 * time.Second
	// weightStoreCapacity is the number of hosts that can load weights at full speed at the same time.
	weightStoreCapacity = 4
	// notice is the time between a host's reclaim notice and its termination.
	notice = 30 * time.Second
	// refusalTime is the time for which a data centre refuses reclaimable starts after it reclaimed all hosts.
	refusalTime = 10 * time.Minute
	// wavePeriod is the mean time between two reclaims of a whole data centre.
	wavePeriod = 40 * time.Minute
	// reclaimsPerHour is the rate at which single hosts are reclaimed.
	reclaimsPerHour   = 0.05
	scaleDownDelay    = 5 * time.Minute
	targetUtilisation = 0.7
	spareHosts        = 1
	// baseDemand is the mean demand, in hosts' worth of busy slots.
	baseDemand = 7.0
)

// prices holds the prices of a host in each data centre, in micro-euros per hour.
var prices = []offer.Offer{
	{DataCentre: "dc-a", ReclaimablePrice: 500_000, OnDemandPrice: 1_800_000},
	{DataCentre: "dc-b", ReclaimablePrice: 600_000, OnDemandPrice: 1_900_000},
	{DataCentre: "dc-c", ReclaimablePrice: 700_000, OnDemandPrice: 1_800_000},
}

const backend label.Name = "plume"

// Simulation is one run of a cloud with three data centres and of the provisioners of a back end.
type Simulation struct {
	// Seed determines the whole run.
	Seed uint64
	// Strategy is how hosts are provisioned: Product, OnDemand or Reclaimable.
	Strategy string

	// CostEuros is the price of all hosts, in euros.
	CostEuros float64
	// Shortfall is the fraction of the demand that exceeded the live hosts.
	Shortfall float64
	// Starts counts the hosts that were started.
	Starts int
	// MaxStarting is the highest number of hosts that were starting at the same time.
	MaxStarting int
	// MaxHeldRatio is the highest number of hosts paid for, as a multiple of the number required at the time.
	MaxHeldRatio float64
	// StaleOrders counts the orders refused for an old fencing number.
	StaleOrders int

	sched          *sched.Sched
	store          *store.Store
	dataCentres    []*dataCentre
	demand         float64
	totalDemand    float64
	totalShortfall float64
}

// Run runs the simulation and sets its results.
func (m *Simulation) Run() {
	m.sched = sched.New(m.Seed)
	m.store = &store.Store{Sched: m.sched, Latency: storeLatency, ResponseLoss: 0.02, RequestLoss: 0.02}
	for _, o := range prices {
		o.Backend = backend
		m.dataCentres = append(m.dataCentres, &dataCentre{offer: o})
	}
	m.demand = baseDemand
	if m.Strategy == Product {
		for i := range provisioners {
			m.startProvisioner(i, 1)
		}
		m.sched.Go("nemesis", m.injectFaults)
	}
	m.sched.Go("cloud", m.runCloud)
	m.sched.Run(runTime)
	m.Shortfall = m.totalShortfall / m.totalDemand
}

// startProvisioner starts an incarnation of an entry host that provisions hosts when it holds the lease.
func (m *Simulation) startProvisioner(i int, incarnation int64) {
	id := host.ID(fmt.Sprintf("entry-%d", i))
	n := 0
	p := &provis.Provisioner{
		Cloud:          m,
		Demand:         m,
		Plan:           plan.Plan{TargetUtilisation: targetUtilisation, SpareHosts: spareHosts, MaxStarting: weightStoreCapacity},
		ScaleDownDelay: scaleDownDelay,
		Now:            m.sched.Now,
		Log:            hclog.NewNullLogger(),
		Leases: &leases.Leases{Log: hclog.NewNullLogger(), New: func(key string) *elect.Elector {
			return &elect.Elector{Store: m.store, Key: key, Self: id, Incarnation: incarnation, Term: leaseTerm, Now: m.sched.Now, NewID: func() string {
				n++
				return fmt.Sprintf("%s/%d/%d", id, incarnation, n)
			}}
		}},
	}
	m.sched.Go(string(id), func() {
		for {
			p.Step(context.Background())
			m.sched.Jitter(2 * tick)
		}
	})
}

// injectFaults kills and pauses provisioners.
func (m *Simulation) injectFaults() {
	for incarnation := int64(2); ; incarnation++ {
		m.sched.Jitter(4 * time.Minute)
		i := m.sched.Rand.IntN(provisioners)
		group := fmt.Sprintf("entry-%d", i)
		if m.sched.Chance(0.5) {
			m.sched.Kill(group)
			m.startProvisioner(i, incarnation)
			continue
		}
		m.sched.Pause(group, time.Duration(m.sched.Rand.Int64N(int64(4*leaseTerm))))
	}
}

// Demand returns the busy slots of the back end, in hosts.
func (m *Simulation) Demand(label.Name) float64 { return m.demand }

// runCloud updates demand, offers and hosts at every tick.
func (m *Simulation) runCloud() {
	for {
		now := m.sched.Now()
		m.updateMarket(now)
		if m.Strategy != Product {
			m.setBaselineCapacity()
		}
		for _, c := range m.dataCentres {
			m.reconcile(c, now)
		}
		m.recordUsage(now)
		m.sched.Sleep(tick)
	}
}

// updateMarket varies the demand, with bursts, and reclaims hosts, single ones and whole data centres. After the
// reclaim of a data centre, it refuses starts for refusalTime.
func (m *Simulation) updateMarket(now time.Time) {
	hours := now.Sub(time.Unix(1_000_000, 0)).Hours()
	m.demand = baseDemand * (1 + 0.4*math.Sin(hours*math.Pi/3) + 0.05*m.sched.Rand.NormFloat64())
	if burst := math.Mod(hours, 2); burst > 1.5 && burst < 1.6 {
		m.demand *= 1.5
	}
	for _, c := range m.dataCentres {
		c.reclaimRate *= 1 - tick.Hours()
		if m.sched.Chance(tick.Seconds() / wavePeriod.Seconds() / float64(len(m.dataCentres))) {
			c.refusedUntil = now.Add(refusalTime)
			c.reclaimRate = 1
			c.reclaimIf(now, func() bool { return true })
		}
		c.reclaimIf(now, func() bool { return m.sched.Chance(reclaimsPerHour * tick.Hours()) })
	}
}

// setBaselineCapacity sets the desired capacity of the baseline strategies, all in the first data centre.
func (m *Simulation) setBaselineCapacity() {
	p := plan.Plan{TargetUtilisation: targetUtilisation, SpareHosts: spareHosts}
	n := p.RequiredHosts(m.demand)
	if m.Strategy == OnDemand {
		m.dataCentres[0].desired = scale.Desired{OnDemand: n}
		return
	}
	m.dataCentres[0].desired = scale.Desired{Reclaimable: n}
}

// recordUsage adds the cost and shortfall of one tick.
func (m *Simulation) recordUsage(now time.Time) {
	live, held := 0, 0
	for _, c := range m.dataCentres {
		for _, h := range c.instances {
			held++
			price := c.offer.ReclaimablePrice
			if h.onDemand {
				price = c.offer.OnDemandPrice
			}
			m.CostEuros += float64(price) / 1e6 * tick.Hours()
			if !now.Before(h.liveAt) {
				live++
			}
		}
	}
	m.MaxStarting = max(m.MaxStarting, m.starting(now))
	required := (&plan.Plan{TargetUtilisation: targetUtilisation, SpareHosts: spareHosts}).RequiredHosts(m.demand)
	m.MaxHeldRatio = max(m.MaxHeldRatio, float64(held)/float64(required))
	m.totalDemand += m.demand
	m.totalShortfall += max(0, m.demand-float64(live))
}
