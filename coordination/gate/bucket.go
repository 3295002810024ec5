package gate

import "time"

// bucket is a token bucket whose rate, burst and tokens may be parts of one request's, as the parts of limits are.
type bucket struct {
	tokens, rate, burst float64
	at                  time.Time
}

func (b *bucket) refill(now time.Time) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.tokens += b.rate * passed
		b.at = now
	}
	b.tokens = min(b.tokens, b.burst)
}

// set changes rate and burst from now on; tokens beyond the new burst are lost.
func (b *bucket) set(rate, burst float64, now time.Time) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// wait returns the time until a token is there; ever is false when the burst is below one.
func (b *bucket) wait() (d time.Duration, ever bool) {
	switch {
	case b.tokens >= wholeToken:
		return 0, true
	case b.burst < wholeToken || b.rate <= 0:
		return 0, false
	default:
		return time.Duration((1 - b.tokens) / b.rate * float64(time.Second)), true
	}
}

// wholeToken is one token, less the rounding of sums of parts.
const wholeToken = 1 - 1e-9
