package ledger

import (
	"cmp"
	"time"

	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	// learnTime is how long after a host began to keep an endpoint's book the load reports of others count as well.
	learnTime = time.Second
	// slowdownWeight is the weight of a new sample in the moving average of the slowdown.
	slowdownWeight = 0.1
	// slownessTime is how long an endpoint's report of its momentary slowness counts.
	slownessTime = 400 * time.Millisecond
	// minSlowdown and maxSlowdown bound a sample of the slowdown; 1 is as fast as expected.
	minSlowdown = 0.4
	maxSlowdown = 8.0
)

// book is what is outstanding at one endpoint.
type book struct {
	// startMillis is the start of the endpoint's process, in Unix milliseconds.
	startMillis int64
	// since is when this host began to keep the book.
	since time.Time
	// running counts the requests that have not ended, and prefill the prompt tokens of those that have not begun.
	running int
	prefill int64
	// slowdown is the moving average of the time to first token as a multiple of the expected one, less what is momentary.
	slowdown float64
	// slowness is how slow the endpoint said it was at slownessAt, as a multiple of the usual time.
	slowness   float64
	slownessAt time.Time
	// usedAt is when a request was last placed at the endpoint.
	usedAt time.Time
}

// add counts a request that was placed at the endpoint.
func (b *book) add(tokens int64, now time.Time) {
	b.running++
	b.prefill += tokens
	b.usedAt = now
}

// observe records the time to first token of a request, and how slow the endpoint says it was then, 0 if it does not.
func (b *book) observe(first, expected time.Duration, slowness float64, now time.Time) {
	if first <= 0 || expected <= 0 {
		return
	}
	if slowness > 0 {
		b.slowness, b.slownessAt = slowness, now
	}
	sample := float64(first) / float64(expected) / cmp.Or(slowness, 1)
	b.slowdown += slowdownWeight * (min(maxSlowdown, max(minSlowdown, sample)) - b.slowdown)
}

// load returns what is outstanding at the endpoint and its slowdown. A book that is new knows only a part, so the load
// reports count as well.
func (b *book) load(t *target.Target, now time.Time) (running int, prefill int64, slowdown float64) {
	running, prefill = b.running, b.prefill
	if now.Sub(b.since) < learnTime {
		reportedRunning, reportedPrefill := t.Outstanding(now)
		running, prefill = max(running, reportedRunning), max(prefill, reportedPrefill)
	}
	if now.Sub(b.slownessAt) < slownessTime {
		return running, prefill, b.slowdown * b.slowness
	}
	return running, prefill, b.slowdown
}
