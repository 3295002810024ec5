// Package route chooses the endpoint for one attempt of a model request or an application call by expected cost.
package route

import (
	"math"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/need"
	"github.com/dragonflyroute/dragonflyroute/state/server"
)

const (
	// latenessSlope is the steepness of the logistic curve that gives the probability of lateness around the limit.
	latenessSlope = 8.0
	// failureHalfTime is the time after which the penalty of a failed endpoint has halved.
	failureHalfTime = 2 * time.Second
	// failurePenalty is the multiple of its cost that is added for an endpoint that has just failed.
	failurePenalty = 8.0
	// callTime is the service time assumed for an application call.
	callTime = 20 * time.Millisecond
	// defaultTokenTime is the assumed time per output token of an endpoint without a load report.
	defaultTokenTime = 30 * time.Millisecond
	// defaultPrefillRate is the assumed prompt tokens per second of an endpoint without a load report.
	defaultPrefillRate = 4000.0
	// defaultSlots is the assumed batch size of an endpoint without a load report.
	defaultSlots = 4
	// longReserve is the part of the first-token limit that must be expected to remain when a long request is admitted.
	longReserve = 0.4
	// maxCompared bounds the usable candidates that one decision compares.
	maxCompared = 16
	// tieMargin is the relative cost difference below which the choice is random.
	tieMargin = 0.02
)

// Picker chooses the candidate of the lowest expected cost: the price of the work, plus the refund times the probability
// of a late answer.
//
// It is stateless and does not allocate.
type Picker struct {
	// Rand returns a number in [0, 1).
	Rand func() float64
}

// Pick returns the candidate of the lowest cost and its slack, the time that its answer is expected to leave of the
// request's limits; the slack is negative when the answer is expected to be late. It returns nil when none is usable.
//
// At most maxCompared usable candidates are compared. They start at an index that the prompt's prefix gives, so that
// prompts with the same prefix are compared on the same endpoints, or at a random index without a prefix. Leaving
// endpoints, those above the price ceiling and avoid are never chosen.
func (p *Picker) Pick(candidates []*server.Server, n *need.Requirements, avoid *server.Server, now time.Time) (*server.Server, time.Duration) {
	var best *server.Server
	var bestSlack time.Duration
	lowest := math.Inf(1)
	start, compared := p.startIndex(len(candidates), n), 0
	for i := range candidates {
		s := candidates[(start+i)%len(candidates)]
		if s == avoid || !usable(s, n) {
			continue
		}
		if compared++; compared > maxCompared {
			break
		}
		slack, cost := Estimate(s, n, now)
		cost *= 1 + tieMargin*p.Rand()
		if cost < lowest {
			best, bestSlack, lowest = s, slack, cost
		}
	}
	return best, bestSlack
}

// InTime reports whether a request with the given expected slack may be admitted.
//
// A long request needs a reserve, because quick requests that arrive later are served before it.
func InTime(n *need.Requirements, slack time.Duration) bool {
	if n.Class == class.Long {
		return slack >= time.Duration(longReserve*float64(n.FirstToken))
	}
	return slack >= 0
}

// startIndex returns the index of the first candidate to compare.
func (p *Picker) startIndex(size int, n *need.Requirements) int {
	switch {
	case size <= maxCompared:
		return 0
	case n.Prefix != 0:
		return int(n.Prefix % uint64(size))
	default:
		return int(p.Rand() * float64(size))
	}
}

func usable(s *server.Server, n *need.Requirements) bool {
	return !s.Leaving() && s.Row().Price <= n.PriceCeiling
}

// Estimate returns the time that an endpoint's answer is expected to leave of the request's limits, negative for a late
// one, and its expected cost in micro-euros.
func Estimate(s *server.Server, n *need.Requirements, now time.Time) (time.Duration, float64) {
	if n.Class == class.Call {
		return estimateCall(s, n, now)
	}
	slots, tokenTime, prefillRate := defaultSlots, defaultTokenTime, defaultPrefillRate
	if l := s.Load(); l != nil {
		slots, tokenTime, prefillRate = l.Slots, l.TokenTime, l.PrefillRate
	}
	generate := time.Duration(n.OutTokens) * tokenTime
	cached := s.Cached().Probability(n.Prefix, now)
	prefill := time.Duration(float64(n.PromptTokens) * (1 - cached) / prefillRate * float64(time.Second))
	wait := waitTime(s, n.Class, slots, generate+prefill)
	first := wait + prefill
	total := first + generate
	if n.Class == class.Long {
		slower := quickSlowdown(s, slots)
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

// quickSlowdown returns the factor by which a long answer takes longer because quick requests occupy slots before it.
func quickSlowdown(s *server.Server, slots int) float64 {
	free := max(1, slots-s.Backlog(class.Quick))
	return float64(slots) / float64(free)
}

func estimateCall(s *server.Server, n *need.Requirements, now time.Time) (time.Duration, float64) {
	slots := defaultSlots
	if l := s.Load(); l != nil {
		slots = l.Slots
	}
	total := callTime + waitTime(s, n.Class, slots, callTime)
	return n.Answer - total, cost(s, n, callTime, lateChance(total, n.Answer), now)
}

// waitTime returns the expected time in the endpoint's queue; quick requests wait behind quick requests only.
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
	return 1 / (1 + math.Exp(-latenessSlope*(x-1)))
}

func cost(s *server.Server, n *need.Requirements, busy time.Duration, late float64, now time.Time) float64 {
	price := float64(s.Row().Price) * busy.Hours()
	recency := float64(failureHalfTime) / float64(failureHalfTime+s.SinceFailure(now))
	return (price + float64(n.Refund)*late + 1) * (1 + failurePenalty*recency)
}
