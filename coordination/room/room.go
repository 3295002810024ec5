// Package room decides which requests give way while the endpoints of a shard are short of room.
package room

import (
	"cmp"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/state/queue"
)

const (
	// queueFraction is the fraction of the smallest target latency that requests of one priority may queue at an endpoint.
	queueFraction = 0.4
	// yieldFraction is the same for less urgent requests; the rest is left to the more urgent ones.
	yieldFraction = 0.2
	// holdFraction is the fraction of its target latency for which a request is held.
	holdFraction = 0.3
	// floorFraction is the part of the work that less urgent requests get if they ask for it.
	floorFraction = 0.2
	// minWait and maxWait bound the time until a request that is held is asked for again. It is at least waitGrowth times what
	// the request has waited, so that a shortage does not multiply the messages between hosts.
	minWait    = 20 * time.Millisecond
	maxWait    = 100 * time.Millisecond
	waitGrowth = 0.5
	// spreadTime is the shortest time over which the returns of refused requests are spread.
	spreadTime = time.Second
	// maxReturn bounds the time until the first of them: a longer shortage can't be foreseen.
	maxReturn = 4 * time.Second
)

// Room decides which requests for the endpoints of one shard are admitted, held or refused.
//
// The shard is short of room for a request while the queue at its least busy endpoint is longer than requests of this
// priority, and the more urgent ones, can bear. Without a shortage all are admitted. It is not safe for concurrent use.
type Room struct {
	// Rand returns a number in [0, 1).
	Rand func() float64

	window window
	held   []hold
}

// hold is a request that waits at its host.
type hold struct {
	rank   rank
	tokens int64
	// until is when the host asks again.
	until time.Time
}

// rank is the order in which requests get room.
type rank struct {
	// priority is that of the request, or the highest one if its own is below the floor.
	priority int
	// over is set if the account was granted more than its fair part.
	over bool
	// due is when the request is no longer held.
	due time.Time
}

// before reports whether a request of rank r gets room before one of rank other.
func (r rank) before(other rank) bool {
	if r.priority != other.priority {
		return r.priority < other.priority
	}
	if r.over != other.over {
		return other.over
	}
	return r.due.Before(other.due)
}

// decision is what becomes of a request: it is admitted, held for Wait, or refused until RetryAfter has passed.
type decision struct {
	Wait, RetryAfter time.Duration
}

// Admitted reports whether the request may be sent to an endpoint now.
func (d decision) Admitted() bool { return d == decision{} }

// Decide decides on a task with the given tokens to prefill, which would get the first part of its answer after first.
//
// Further attempts are admitted: these requests had their turn.
func (r *Room) Decide(t *task.Task, tokens int64, first time.Duration, q queue.Queue, now time.Time) decision {
	r.window.see(t, now)
	if t.Waited == 0 && !t.Spilled {
		r.window.ask(t, tokens, now)
	}
	d := decision{}
	if limit, limited := r.limit(t.Priority, now); limited && q.Wait+r.backlog(q, now) > limit && len(t.Excluded) == 0 {
		d = r.arbitrate(t, tokens, first, q, now)
	}
	if d.Admitted() {
		r.window.grant(t, tokens, now)
	}
	return d
}

// limit returns the longest queue that a request of a priority may join; there is none if no target latency is known.
func (r *Room) limit(priority int, now time.Time) (limit time.Duration, limited bool) {
	above, through := r.window.targets(priority, now)
	limit = multiply(queueFraction, through)
	if above > 0 {
		limit = min(limit, multiply(yieldFraction, above))
	}
	return limit, through > 0
}

// backlog returns the time that the endpoints take for all that is held.
func (r *Room) backlog(q queue.Queue, now time.Time) time.Duration {
	r.expire(now)
	sum := int64(0)
	for _, h := range r.held {
		sum += h.tokens
	}
	return q.Prefill(sum)
}

// expire removes the requests whose hosts have asked again, or should have.
func (r *Room) expire(now time.Time) {
	kept := r.held[:0]
	for _, h := range r.held {
		if h.until.After(now) {
			kept = append(kept, h)
		}
	}
	r.held = kept
}

// arbitrate decides on a task in a shortage.
func (r *Room) arbitrate(t *task.Task, tokens int64, first time.Duration, q queue.Queue, now time.Time) decision {
	sums := r.window.sums(now)
	_, target := r.window.targets(t.Priority, now)
	left := multiply(holdFraction, cmp.Or(t.TargetLatency, target)) - t.Waited
	own := r.rank(t, sums, now.Add(left))
	limit, _ := r.limit(own.priority, now)
	wait := q.Wait + q.Prefill(r.ahead(own)) - limit
	if first+max(0, wait) > t.Left {
		return r.refuse(t, wait, q, sums)
	}
	if wait <= 0 {
		return decision{}
	}
	if t.Spilled {
		return decision{Wait: minWait}
	}
	if wait > left || left < minWait {
		return r.refuse(t, wait, q, sums)
	}
	wait = min(max(wait, minWait, multiply(waitGrowth, t.Waited)), maxWait, left)
	r.held = append(r.held, hold{rank: own, tokens: tokens, until: now.Add(wait)})
	return decision{Wait: wait}
}

// rank returns the rank of a task that is held until due at the latest.
func (r *Room) rank(t *task.Task, sums map[class]count, due time.Time) rank {
	out := rank{priority: t.Priority, over: exceeds(class{t.Priority, t.Account}, sums), due: due}
	if all, own := grantedThrough(t.Priority, sums); float64(own) < floorFraction*float64(all) {
		out.priority = highest(sums, t.Priority)
	}
	return out
}

// highest returns the highest priority that was asked for, priority itself if none was.
func highest(sums map[class]count, priority int) int {
	for key := range sums {
		priority = min(priority, key.priority)
	}
	return priority
}

// ahead returns the tokens of the requests that are held and get room before one of a rank.
func (r *Room) ahead(of rank) int64 {
	sum := int64(0)
	for _, h := range r.held {
		if h.rank.before(of) {
			sum += h.tokens
		}
	}
	return sum
}

// refuse returns a refusal with the time until the work that was not granted is likely done. The returns are spread over as
// long again.
func (r *Room) refuse(t *task.Task, wait time.Duration, q queue.Queue, sums map[class]count) decision {
	until := min(maxReturn, max(minWait, wait)+q.Prefill(unmet(t.Priority, sums)))
	return decision{RetryAfter: until + multiply(r.Rand(), max(until, spreadTime))}
}

func multiply(x float64, d time.Duration) time.Duration { return time.Duration(x * float64(d)) }
