// Package route chooses the endpoint for one attempt of a request.
package route

import (
	"math"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/need"
	"github.com/dragonflyroute/dragonflyroute/state/server"
)

const (
	// lateSlope is the steepness of the chance to be late around the limit.
	lateSlope = 8.0
	// failureMemory is the time after which half of the caution about a failed endpoint is gone.
	failureMemory = 2 * time.Second
	// failureCost multiplies the cost of an endpoint that failed just now.
	failureCost = 8.0
	// callTime is the service time assumed for an application call.
	callTime = 20 * time.Millisecond
	// defaultTokenTime stands in until an endpoint has reported.
	defaultTokenTime = 30 * time.Millisecond
	// defaultPrefillRate is prompt tokens per second until an endpoint has reported.
	defaultPrefillRate = 4000.0
	// defaultSlots is the batch size until an endpoint has reported.
	defaultSlots = 4
	// longMargin is the part of the first-token limit that a long answer must be expected to leave.
	longMargin = 0.4
	// maxLook bounds the candidates that one decision compares.
	maxLook = 16
	// tieShare is the cost difference below which the choice is random.
	tieShare = 0.02
)

// Picker chooses the candidate of the lowest expected cost: price of the work, plus the refund times the chance to be late.
//
// It holds no state and allocates nothing.
type Picker struct {
	// Rand returns a number in [0, 1).
	Rand func() float64
}

// Pick returns the best candidate and how much time its answer is expected to leave of the request's limits, which is
// negative when it is expected to be late; it returns nil when none may be used.
//
// At most maxLook usable candidates are compared: those after a place that the prompt's prefix decides, so that prompts
// with one prefix see the same endpoints, or a random place without one. Leaving endpoints, those above the price ceiling and avoid are never chosen.
func (p *Picker) Pick(candidates []*server.Server, n *need.Need, avoid *server.Server, now time.Time) (*server.Server, time.Duration) {
	var best *server.Server
	var bestSlack time.Duration
	lowest := math.Inf(1)
	place, looked := p.place(len(candidates), n), 0
	for i := range candidates {
		s := candidates[(place+i)%len(candidates)]
		if s == avoid || !usable(s, n) {
			continue
		}
		if looked++; looked > maxLook {
			break
		}
		slack, cost := Estimate(s, n, now)
		cost *= 1 + tieShare*p.Rand()
		if cost < lowest {
			best, bestSlack, lowest = s, slack, cost
		}
	}
	return best, bestSlack
}

// InTime reports whether a request may be accepted that is expected to leave slack of its limits.
//
// A long answer needs some of it, because quick work that comes later takes its slot.
func InTime(n *need.Need, slack time.Duration) bool {
	if n.Class == class.Long {
		return slack >= time.Duration(longMargin*float64(n.FirstToken))
	}
	return slack >= 0
}

// place returns the index of the first candidate to look at.
func (p *Picker) place(size int, n *need.Need) int {
	switch {
	case size <= maxLook:
		return 0
	case n.Prefix != 0:
		return int(n.Prefix % uint64(size))
	default:
		return int(p.Rand() * float64(size))
	}
}

func usable(s *server.Server, n *need.Need) bool {
	return !s.Leaving() && s.Row().Price <= n.PriceCeiling
}

// Estimate returns the time that an answer of one endpoint is expected to leave of the limits, and its expected cost in
// micro-euros.
func Estimate(s *server.Server, n *need.Need, now time.Time) (time.Duration, float64) {
	if n.Class == class.Call {
		return estimateCall(s, n, now)
	}
	slots, tokenTime, prefillRate := defaultSlots, defaultTokenTime, defaultPrefillRate
	if l := s.Load(); l != nil {
		slots, tokenTime, prefillRate = l.Slots, l.TokenTime, l.PrefillRate
	}
	generate := time.Duration(n.OutTokens) * tokenTime
	cached := s.Cached().Chance(n.Prefix, now)
	prefill := time.Duration(float64(n.PromptTokens) * (1 - cached) / prefillRate * float64(time.Second))
	wait := waitTime(s, n.Class, slots, generate+prefill)
	first := wait + prefill
	total := first + generate
	if n.Class == class.Long {
		slower := parked(s, slots)
		first, total = time.Duration(float64(first)*slower), time.Duration(float64(total)*slower)
	}
	slack := n.Answer - total
	late := lateChance(total, n.Answer)
	if n.FirstToken > 0 {
		late = max(late, lateChance(first, n.FirstToken))
		slack = min(slack, n.FirstToken-first)
	}
	return slack, cost(s, n, (generate+prefill)/time.Duration(slots), late, now)
}

// parked is how much longer a long answer takes because quick ones take its slot.
func parked(s *server.Server, slots int) float64 {
	free := max(1, slots-s.Backlog(class.Quick))
	return float64(slots) / float64(free)
}

func estimateCall(s *server.Server, n *need.Need, now time.Time) (time.Duration, float64) {
	slots := defaultSlots
	if l := s.Load(); l != nil {
		slots = l.Slots
	}
	total := callTime + waitTime(s, n.Class, slots, callTime)
	return n.Answer - total, cost(s, n, callTime, lateChance(total, n.Answer), now)
}

// waitTime is the expected time in the endpoint's queue; quick work waits behind quick work only.
func waitTime(s *server.Server, c class.Class, slots int, service time.Duration) time.Duration {
	ahead := s.Backlog(c)
	if c == class.Long {
		ahead += s.Backlog(class.Quick)
	}
	if ahead < slots {
		return 0
	}
	return service * time.Duration(ahead-slots+1) / time.Duration(slots)
}

func lateChance(expected, limit time.Duration) float64 {
	if limit <= 0 {
		return 1
	}
	x := float64(expected) / float64(limit)
	return 1 / (1 + math.Exp(-lateSlope*(x-1)))
}

func cost(s *server.Server, n *need.Need, busy time.Duration, late float64, now time.Time) float64 {
	price := float64(s.Row().Price) * busy.Hours()
	caution := float64(failureMemory) / float64(failureMemory+s.SinceFailure(now))
	return (price + float64(n.Refund)*late + 1) * (1 + failureCost*caution)
}
