package rates

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/client"
)

const (
	// blindTrust is the part of a rate that hosts give out together while they know little of each other.
	blindTrust = 0.9
	// floorPart is the part of an even share that a host keeps without demand, so that it can begin at once.
	floorPart = 0.3
	// slackPart is the part of the tolerated excess that the hosts share for requests larger than what they have saved.
	slackPart = 0.5
	// nearlyFull is the part of the units that may be saved up from which a request of any size is admitted.
	nearlyFull = 0.9
	// debtTime bounds what was admitted beyond the process's own part while the others were known, as the time in which
	// the part makes up for it: a host that is cut off then has spent its part.
	debtTime = 4 * time.Second
)

// bucket holds a process's own part of an account's rate.
type bucket struct {
	balance, rate, most float64
	filled              time.Time
}

// part returns the process's part of an account's rate, above 0 and at most 1: by the demand that is known of the other
// hosts, an even one without.
func (r *Rates) part(c *client.Client, l *line, now time.Time) float64 {
	n := float64(max(1, r.Hosts()))
	if !r.young(now) {
		return blindTrust / n
	}
	own, floor := l.demand.at(now), floorPart*c.Rate/n
	all := own + r.scale()*r.sums.Demand[c.Name]
	return blindTrust * min(1/n, (own+floor)/(all+n*floor))
}

// fill adds what the time since the last call has brought.
func (b *bucket) fill(c *client.Client, part float64, now time.Time) {
	b.rate, b.most = part*c.Rate, part*c.Burst
	b.balance = min(b.most, max(b.balance, -debtTime.Seconds()*b.rate)+b.rate*now.Sub(b.filled).Seconds())
	b.filled = now
}

// begin fills a part that is smaller than the first request: most hosts of a large fleet get one at the most before they know
// each other, and would all refuse it.
func (b *bucket) begin(cost float64) {
	if cost > b.most {
		b.balance = b.most
	}
}

// admit reports whether the part has room for a request; slack is the process's part of the tolerated excess.
func (b *bucket) admit(cost, slack float64) (wait time.Duration, ok bool) {
	least := min(cost-slackPart*slack, nearlyFull*b.most)
	if b.balance >= least {
		return 0, true
	}
	return time.Duration((least - b.balance + 1) / b.rate * float64(time.Second)), false
}

func (b *bucket) take(cost float64) { b.balance -= cost }
