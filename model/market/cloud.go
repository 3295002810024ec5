package market

import (
	"context"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/offer"
	"github.com/dragonflyroute/dragonflyroute/protocol/scale"
)

// instance is a host bought from the cloud.
type instance struct {
	onDemand     bool
	liveAt       time.Time
	terminatesAt time.Time
}

// dataCentre is the cloud's state of one data centre.
type dataCentre struct {
	offer        offer.Offer
	desired      scale.Desired
	instances    []*instance
	refusedUntil time.Time
	reclaimRate  float64
}

// Offers returns the current offer of every data centre; the error is always nil.
func (m *Simulation) Offers(context.Context) ([]offer.Offer, error) {
	var out []offer.Offer
	for _, c := range m.dataCentres {
		out = append(out, c.currentOffer(m.sched.Now()))
	}
	m.sched.Jitter(storeLatency)
	return out, nil
}

// SetDesired sets a data centre's desired capacity. An order with an old fencing number is refused with kind.Conflict.
func (m *Simulation) SetDesired(_ context.Context, d scale.Desired) error {
	m.sched.Jitter(storeLatency)
	for _, c := range m.dataCentres {
		if c.offer.DataCentre != d.DataCentre {
			continue
		}
		if d.Fence < c.desired.Fence {
			m.StaleOrders++
			return fault.New(kind.Conflict, "fence", "fencing number is older than that of the last order")
		}
		c.desired = d
	}
	return nil
}

// currentOffer returns the data centre's offer with the numbers of its hosts.
func (c *dataCentre) currentOffer(now time.Time) offer.Offer {
	o := c.offer
	o.ReclaimableRefused = now.Before(c.refusedUntil)
	o.ReclaimRate = c.reclaimRate
	for _, h := range c.instances {
		switch {
		case h.onDemand:
			o.OnDemandHosts++
			if now.Before(h.liveAt) {
				o.OnDemandStarting++
			}
		case !h.terminatesAt.IsZero():
		case now.Before(h.liveAt):
			o.Starting++
		default:
			o.Live++
		}
	}
	return o
}

// reclaimIf gives reclaim notice to the reclaimable hosts for which chosen returns true.
func (c *dataCentre) reclaimIf(now time.Time, chosen func() bool) {
	for _, h := range c.instances {
		if !h.onDemand && h.terminatesAt.IsZero() && chosen() {
			h.terminatesAt = now.Add(notice)
		}
	}
}

// reconcile starts and stops a data centre's hosts to match its desired capacity, and removes reclaimed hosts.
func (m *Simulation) reconcile(c *dataCentre, now time.Time) {
	var kept []*instance
	// held counts the kept hosts that aren't reclaimed, with key true for on-demand ones.
	held := map[bool]int{}
	for _, h := range c.instances {
		if !h.terminatesAt.IsZero() {
			if now.Before(h.terminatesAt) {
				kept = append(kept, h)
			}
			continue
		}
		want := c.desired.Reclaimable
		if h.onDemand {
			want = c.desired.OnDemand
		}
		if held[h.onDemand] < want {
			held[h.onDemand]++
			kept = append(kept, h)
		}
	}
	c.instances = kept
	for held[false] < c.desired.Reclaimable && !now.Before(c.refusedUntil) {
		held[false]++
		c.instances = append(c.instances, m.startInstance(false, now))
	}
	for held[true] < c.desired.OnDemand {
		held[true]++
		c.instances = append(c.instances, m.startInstance(true, now))
	}
}

// startInstance starts a host. It takes longer if more than weightStoreCapacity hosts load their weights at the same
// time.
func (m *Simulation) startInstance(onDemand bool, now time.Time) *instance {
	m.Starts++
	starting := 1 + m.starting(now)
	slow := max(1, float64(starting)/weightStoreCapacity)
	return &instance{onDemand: onDemand, liveAt: now.Add(time.Duration(slow * float64(startTime)))}
}

// starting returns the number of hosts that aren't live yet.
func (m *Simulation) starting(now time.Time) int {
	n := 0
	for _, c := range m.dataCentres {
		for _, h := range c.instances {
			if now.Before(h.liveAt) {
				n++
			}
		}
	}
	return n
}
