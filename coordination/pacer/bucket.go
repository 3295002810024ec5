package pacer

import "time"

const (
	// minPerSecond is the least rate of permits, whatever the limit, since only an answer shows that the limit has ended.
	minPerSecond = 0.1
	// burstTime is the time for which permits may be saved up, beyond one permit.
	burstTime = 250 * time.Millisecond
	// maxWait is the longest time after which a host asks again.
	maxWait = 10 * time.Second
)

// bucket is the token bucket of one endpoint's permits. It starts empty, as another host may have granted permits just
// before.
type bucket struct {
	// startMillis is the start of the endpoint's process, in Unix milliseconds.
	startMillis int64
	permits     float64
	// filledAt is when permits was last updated.
	filledAt time.Time
}

// take takes a permit if there is one, and returns the time until there will be one otherwise.
func (b *bucket) take(perSecond float64, now time.Time) (ok bool, wait time.Duration) {
	perSecond = max(perSecond, minPerSecond)
	b.permits = min(b.permits+perSecond*max(0, now.Sub(b.filledAt)).Seconds(), 1+perSecond*burstTime.Seconds())
	b.filledAt = now
	if b.permits >= 1 {
		b.permits--
		return true, 0
	}
	return false, min(maxWait, time.Duration((1-b.permits)/perSecond*float64(time.Second)))
}
