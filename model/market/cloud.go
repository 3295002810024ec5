package market

import (
	"context"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/offer"
	"github.com/dragonflyroute/dragonflyroute/protocol/scale"
)

type machine struct {
	onDemand bool
	liveAt   time.Time
	deadAt   time.Time
}

type dataCentre struct {
	offer    offer.Offer
	wish     scale.Desired
	machines []*machine
	refused  time.Time
	reclaims float64
}

// Offers returns what the cloud offers.
func (m *Market) Offers(context.Context) ([]offer.Offer, error) {
	var out []offer.Offer
	for _, c := range m.centres {
		out = append(out, c.look(m.sched.Now()))
	}
	m.sched.Jitter(storeLatency)
	return out, nil
}

// SetDesired takes an order, and refuses one with an old fencing number.
func (m *Market) SetDesired(_ context.Context, w scale.Desired) error {
	m.sched.Jitter(storeLatency)
	for _, c := range m.centres {
		if c.offer.DataCentre != w.DataCentre {
			continue
		}
		if w.Fence < c.wish.Fence {
			m.OldOrders++
			return fault.New(kind.Conflict, "fence", "old")
		}
		c.wish = w
	}
	return nil
}

func (c *dataCentre) look(now time.Time) offer.Offer {
	o := c.offer
	o.ReclaimableRefused = now.Before(c.refused)
	o.ReclaimRate = c.reclaims
	for _, h := range c.machines {
		switch {
		case h.onDemand:
			o.OnDemandHosts++
			if now.Before(h.liveAt) {
				o.OnDemandStarting++
			}
		case !h.deadAt.IsZero():
		case now.Before(h.liveAt):
			o.Starting++
		default:
			o.Live++
		}
	}
	return o
}

func (c *dataCentre) reclaim(now time.Time, chosen func() bool) {
	for _, h := range c.machines {
		if !h.onDemand && h.deadAt.IsZero() && chosen() {
			h.deadAt = now.Add(notice)
		}
	}
}

// carryOut brings a data centre's machines towards the wish.
func (m *Market) carryOut(c *dataCentre, now time.Time) {
	var kept []*machine
	held := map[bool]int{}
	for _, h := range c.machines {
		if !h.deadAt.IsZero() {
			if now.Before(h.deadAt) {
				kept = append(kept, h)
			}
			continue
		}
		want := c.wish.Reclaimable
		if h.onDemand {
			want = c.wish.OnDemand
		}
		if held[h.onDemand] < want {
			held[h.onDemand]++
			kept = append(kept, h)
		}
	}
	c.machines = kept
	for held[false] < c.wish.Reclaimable && !now.Before(c.refused) {
		held[false]++
		c.machines = append(c.machines, m.boot(false, now))
	}
	for held[true] < c.wish.OnDemand {
		held[true]++
		c.machines = append(c.machines, m.boot(true, now))
	}
}

// boot starts a machine; the weight store slows down when too many load at one time.
func (m *Market) boot(onDemand bool, now time.Time) *machine {
	m.Starts++
	starting := 1 + m.starting(now)
	slow := max(1, float64(starting)/weightStarts)
	return &machine{onDemand: onDemand, liveAt: now.Add(time.Duration(slow * float64(startTime)))}
}

func (m *Market) starting(now time.Time) int {
	n := 0
	for _, c := range m.centres {
		for _, h := range c.machines {
			if now.Before(h.liveAt) {
				n++
			}
		}
	}
	return n
}
