package rates

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/client"
)

const (
	// unsyncedFraction is the fraction of an account's rate that all hosts together admit from their local buckets.
	unsyncedFraction = 0.9
	// idleShareFraction is the fraction of an even share that a host without demand keeps, so that it can admit at
	// once.
	idleShareFraction = 0.3
	// sharedSlackFraction is the fraction of the tolerated excess that the hosts split for requests larger than their
	// balance.
	sharedSlackFraction = 0.5
	// nearFullFraction is the fraction of the bucket's capacity from which a request of any size is admitted.
	nearFullFraction = 0.9
	// maxDebtTime bounds the debt from admissions beyond the process's own share while the other hosts' figures were
	// known, as the time in which the share pays it off: a host that is then cut off has already used its share.
	maxDebtTime = 4 * time.Second
)

// bucket is the token bucket of the process's own share of an account's rate. The balance may be negative (debt).
type bucket struct {
	balance, rate, capacity float64
	refilledAt              time.Time
}

// localFraction returns the process's share of an account's rate, above 0 and at most 1: in proportion to the demand
// on all hosts if the other hosts' demand is known, otherwise an even share.
func (r *Rates) localFraction(c *client.Account, a *accountState, now time.Time) float64 {
	n := float64(max(1, r.Hosts()))
	if !r.figuresFresh(now) {
		return unsyncedFraction / n
	}
	own, floor := a.demand.rate(now), idleShareFraction*c.Rate/n
	all := own + r.scale()*r.sums.Demand[c.Name]
	return unsyncedFraction * min(1/n, (own+floor)/(all+n*floor))
}

// refill adds the units accrued since the last call and applies the current share.
func (b *bucket) refill(c *client.Account, fraction float64, now time.Time) {
	b.rate, b.capacity = fraction*c.Rate, fraction*c.Burst
	b.balance = min(b.capacity, max(b.balance, -maxDebtTime.Seconds()*b.rate)+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// fillForFirst fills a bucket whose capacity is below the cost of an account's first request: right after a start, a
// host of a large fleet gets at most one such request before it knows the others' figures, and all hosts would refuse
// it.
func (b *bucket) fillForFirst(cost float64) {
	if cost > b.capacity {
		b.balance = b.capacity
	}
}

// admit reports whether the balance covers a request, or the time until it does; slack is the process's share of the
// tolerated excess.
func (b *bucket) admit(cost, slack float64) (wait time.Duration, ok bool) {
	required := min(cost-sharedSlackFraction*slack, nearFullFraction*b.capacity)
	if b.balance >= required {
		return 0, true
	}
	return time.Duration((required - b.balance + 1) / b.rate * float64(time.Second)), false
}

func (b *bucket) take(cost float64) { b.balance -= cost }
