package gate

import "time"

// bucket is a token bucket whose rate, burst and tokens may be below one request's, as shares of limits are.
type bucket struct {
	tokens, rate, burst float64
	refilledAt          time.Time
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.tokens += b.rate * elapsed
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, b.burst)
}

// setLimits changes rate and burst from now on; tokens beyond the new burst are lost.
func (b *bucket) setLimits(rate, burst float64, now time.Time) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// wait returns the time until a token is available; ever is false if the burst is below one token or the rate is 0.
func (b *bucket) wait() (d time.Duration, ever bool) {
	switch {
	case b.tokens >= minToken:
		return 0, true
	case b.burst < minToken || b.rate <= 0:
		return 0, false
	default:
		return time.Duration((1 - b.tokens) / b.rate * float64(time.Second)), true
	}
}

// minToken is one token less the rounding error of added shares.
const minToken = 1 - 1e-9
