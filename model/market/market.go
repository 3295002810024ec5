// Package market plays the buying of hosts over reclaim waves and refused starts.
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

// The ways to buy.
const (
	// Product uses the product's buyers, on several processes that are killed and paused.
	Product = "product"
	// OnDemand holds on-demand hosts only.
	OnDemand = "on-demand-only"
	// Reclaimable holds reclaimable hosts of the cheapest data centre only.
	Reclaimable = "reclaimable-only"
)

const (
	buyers       = 3
	tick         = 5 * time.Second
	playTime     = 6 * time.Hour
	leaseTerm    = 15 * time.Second
	storeLatency = 4 * time.Millisecond
	startTime    = 45 * time.Second
	// weightStarts is the number of hosts that the weight store serves at full speed.
	weightStarts = 4
	notice       = 30 * time.Second
	refusedTime  = 10 * time.Minute
	waveEvery    = 40 * time.Minute
	singleRate   = 0.05
	idleTime     = 5 * time.Minute
	busy         = 0.7
	spare        = 1
	baseDemand   = 7.0
)

var prices = []offer.Offer{
	{DataCentre: "dc-a", ReclaimablePrice: 500_000, OnDemandPrice: 1_800_000},
	{DataCentre: "dc-b", ReclaimablePrice: 600_000, OnDemandPrice: 1_900_000},
	{DataCentre: "dc-c", ReclaimablePrice: 700_000, OnDemandPrice: 1_800_000},
}

const backend label.Name = "plume"

// Market is one run.
type Market struct {
	// Seed decides everything.
	Seed uint64
	// Way is how hosts are bought.
	Way string

	// Euros is the price paid.
	Euros float64
	// Shortfall is the part of the demand for which no host was live.
	Shortfall float64
	// Starts counts hosts started.
	Starts int
	// MostStarting is the highest number of hosts that loaded weights at one time.
	MostStarting int
	// MostHeld is the highest number of hosts held, as a multiple of the number needed at the time.
	MostHeld float64
	// OldOrders counts orders refused for an old fencing number.
	OldOrders int

	sched   *sched.Sched
	store   *store.Store
	centres []*dataCentre
	demand  float64
	wanted  float64
	missing float64
}

// Run plays the run.
func (m *Market) Run() {
	m.sched = sched.New(m.Seed)
	m.store = &store.Store{Sched: m.sched, Latency: storeLatency, LoseAfter: 0.02, LoseBefore: 0.02}
	for _, o := range prices {
		o.Backend = backend
		m.centres = append(m.centres, &dataCentre{offer: o})
	}
	m.demand = baseDemand
	if m.Way == Product {
		for i := range buyers {
			m.startBuyer(i, 1)
		}
		m.sched.Go("nemesis", m.nemesis)
	}
	m.sched.Go("cloud", m.play)
	m.sched.Run(playTime)
	m.Shortfall = m.missing / m.wanted
}

func (m *Market) startBuyer(i int, incarnation int64) {
	id := host.ID(fmt.Sprintf("entry-%d", i))
	n := 0
	b := &provis.Provisioner{
		Cloud:          m,
		Demand:         m,
		Plan:           plan.Plan{TargetUtilisation: busy, SpareHosts: spare, MaxStarting: weightStarts},
		ScaleDownDelay: idleTime,
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
			b.Step(context.Background())
			m.sched.Jitter(2 * tick)
		}
	})
}

func (m *Market) nemesis() {
	for incarnation := int64(2); ; incarnation++ {
		m.sched.Jitter(4 * time.Minute)
		i := m.sched.Rand.IntN(buyers)
		group := fmt.Sprintf("entry-%d", i)
		if m.sched.Chance(0.5) {
			m.sched.Kill(group)
			m.startBuyer(i, incarnation)
			continue
		}
		m.sched.Pause(group, time.Duration(m.sched.Rand.Int64N(int64(4*leaseTerm))))
	}
}

// Demand returns the hosts' worth of busy slots.
func (m *Market) Demand(label.Name) float64 { return m.demand }

func (m *Market) play() {
	for {
		now := m.sched.Now()
		m.change(now)
		if m.Way != Product {
			m.naive()
		}
		for _, c := range m.centres {
			m.carryOut(c, now)
		}
		m.account(now)
		m.sched.Sleep(tick)
	}
}

// change moves the demand and reclaims hosts.
func (m *Market) change(now time.Time) {
	hours := now.Sub(time.Unix(1_000_000, 0)).Hours()
	m.demand = baseDemand * (1 + 0.4*math.Sin(hours*math.Pi/3) + 0.05*m.sched.Rand.NormFloat64())
	if burst := math.Mod(hours, 2); burst > 1.5 && burst < 1.6 {
		m.demand *= 1.5
	}
	for _, c := range m.centres {
		c.reclaims *= 1 - tick.Hours()
		if m.sched.Chance(tick.Seconds() / waveEvery.Seconds() / float64(len(m.centres))) {
			c.refused = now.Add(refusedTime)
			c.reclaims = 1
			c.reclaim(now, func() bool { return true })
		}
		c.reclaim(now, func() bool { return m.sched.Chance(singleRate * tick.Hours()) })
	}
}

func (m *Market) naive() {
	p := plan.Plan{TargetUtilisation: busy, SpareHosts: spare}
	n := p.RequiredHosts(m.demand)
	if m.Way == OnDemand {
		m.centres[0].wish = scale.Desired{OnDemand: n}
		return
	}
	m.centres[0].wish = scale.Desired{Reclaimable: n}
}

func (m *Market) account(now time.Time) {
	live, held := 0, 0
	for _, c := range m.centres {
		for _, h := range c.machines {
			held++
			price := c.offer.ReclaimablePrice
			if h.onDemand {
				price = c.offer.OnDemandPrice
			}
			m.Euros += float64(price) / 1e6 * tick.Hours()
			if !now.Before(h.liveAt) {
				live++
			}
		}
	}
	m.MostStarting = max(m.MostStarting, m.starting(now))
	needed := (&plan.Plan{TargetUtilisation: busy, SpareHosts: spare}).RequiredHosts(m.demand)
	m.MostHeld = max(m.MostHeld, float64(held)/float64(needed))
	m.wanted += m.demand
	m.missing += max(0, m.demand-float64(live))
}
