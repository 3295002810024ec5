// Package choose picks the endpoint for one attempt of an opaque request.
package choose

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	// runTime is what one more running request adds to the time to the first token.
	runTime = 3 * time.Millisecond
	// queueTime is what one request ahead in an endpoint's queue adds.
	queueTime = 60 * time.Millisecond
	// awayTime is what another data centre counts for, beside the time on the wire: bytes between them are priced.
	awayTime = 8 * time.Millisecond
	// hashPart is the part of the unread prompt that the endpoint which a session's hash prefers is spared.
	hashPart = 0.6
	// defaultSlots stands in until an endpoint has said how many requests it runs at one time.
	defaultSlots = 4
	// firstPause and mostPause bound the time for which an endpoint that failed is left alone; it doubles each time.
	firstPause = 500 * time.Millisecond
	mostPause  = 4 * time.Second
	// compared is the number of random endpoints compared, beside those that have read a part of the prompt.
	compared = 3
	// jitter is the largest random addition, so that hosts with the same view do not all choose the same endpoint.
	jitter = 2 * time.Millisecond
)

type speed interface {
	// First returns the expected time to the first token when the given number of tokens must be read before it.
	First(backend label.Name, tokens int64) time.Duration
}

// Choice compares endpoints by the time until the first part of an answer is expected.
type Choice struct {
	// Rand returns a number in [0, 1).
	Rand func() float64
	// Speed knows how fast engines read prompts.
	Speed speed
	// Home is the process's own data centre.
	Home centre.ID
}

// Pick returns the best endpoint that may be used and the expected time to its first answer, or nil.
//
// Endpoints that leave are never chosen, those that failed a moment ago only when there is no other.
func (c *Choice) Pick(all []*target.Target, w *work.Work, used func(*target.Target) bool, now time.Time) (*target.Target, time.Duration) {
	var best, second *target.Target
	var bestCost, bestTime, secondCost, secondTime time.Duration
	preferred := prefer(all, w.Session())
	sample := c.sample(all)
	for _, t := range all {
		if t.Leaving() || used(t) {
			continue
		}
		if sample != nil && t != preferred && !sample[t] && t.Uncached(w, now) == w.PromptTokens {
			continue
		}
		first, cost := c.estimate(t, w, t == preferred, now)
		if paused(t, now) {
			if second == nil || cost < secondCost {
				second, secondCost, secondTime = t, cost, first
			}
			continue
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestTime = t, cost, first
		}
	}
	if best == nil && second == nil && sample != nil {
		return c.first(all, w, used, now)
	}
	if best == nil {
		return second, secondTime
	}
	return best, bestTime
}

// first returns any endpoint that may be used, when the sample held none.
func (c *Choice) first(all []*target.Target, w *work.Work, used func(*target.Target) bool, now time.Time) (*target.Target, time.Duration) {
	for _, t := range all {
		if !t.Leaving() && !used(t) {
			first, _ := c.estimate(t, w, false, now)
			return t, first
		}
	}
	return nil, 0
}

// sample draws a few endpoints to compare, nil for all: with counts that are a moment old, hosts that all take the
// least busy of many would take the same one.
func (c *Choice) sample(all []*target.Target) map[*target.Target]bool {
	if len(all) <= compared {
		return nil
	}
	out := map[*target.Target]bool{}
	for range compared {
		out[all[int(c.Rand()*float64(len(all)))]] = true
	}
	return out
}

// Backend chooses one of a route's back ends by their parts of the traffic; a route without any has an empty name.
func (c *Choice) Backend(p *path.Path) label.Name {
	left := c.Rand()
	for _, b := range p.Backends {
		if left -= b.Share; left < 0 {
			return label.Name(b.Name)
		}
	}
	if n := len(p.Backends); n > 0 {
		return label.Name(p.Backends[n-1].Name)
	}
	return ""
}

// prefer returns the endpoint that ranks highest for a session by rendezvous hash, nil without a session.
func prefer(all []*target.Target, session uint64) *target.Target {
	if session == 0 {
		return nil
	}
	var best *target.Target
	highest := uint64(0)
	for _, t := range all {
		if t.Leaving() {
			continue
		}
		if rank := xxhash.Sum64String(string(t.Row().ID)) ^ session; best == nil || mix(rank) > highest {
			best, highest = t, mix(rank)
		}
	}
	return best
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func paused(t *target.Target, now time.Time) bool {
	n, since := t.Failures(now)
	if n == 0 {
		return false
	}
	return since < min(mostPause, firstPause<<min(n-1, 4))
}

// estimate returns the expected time to the first answer and the cost to compare.
func (c *Choice) estimate(t *target.Target, w *work.Work, preferred bool, now time.Time) (first, cost time.Duration) {
	running, prefill := t.Busy(now)
	slots := t.Slots()
	if slots <= 0 {
		slots = defaultSlots
	}
	unread := t.Uncached(w, now)
	if w.PromptTokens > 0 {
		first = times(t.Slow(), c.Speed.First(w.Backend, prefill+unread))
	}
	if over := running - slots + 1; over > 0 {
		first += time.Duration(over) * queueTime
	}
	cost = first + time.Duration(running)*runTime + time.Duration(c.Rand()*float64(jitter))
	if preferred {
		spared := c.Speed.First(w.Backend, unread) - c.Speed.First(w.Backend, 0)
		cost -= times(hashPart, spared)
	}
	if t.Row().DataCentre != c.Home {
		cost += awayTime
	}
	return first, cost
}

func times(x float64, d time.Duration) time.Duration { return time.Duration(x * float64(d)) }
