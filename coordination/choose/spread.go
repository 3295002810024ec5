package choose

import (
	"math"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	// arrivalWindow is the time constant of the moving average of the process's request rate.
	arrivalWindow = 2 * time.Second
	// countsAge is the approximate age of other hosts' load counts when they are received.
	countsAge = 300 * time.Millisecond
	// minFreeShare is the least part of its slots that an endpoint is weighted with, however busy it seems: its counts are
	// stale.
	minFreeShare = 0.05
)

// spread draws a random endpoint for a request without a prompt.
//
// Other hosts' load counts are older than most such requests last. The requests that arrive while the counts are that
// old are estimated from the arrival rate, and each endpoint is drawn with the probability that evens out utilisation
// once they have arrived (Dahlin, Interpreting Stale Load Information).
func (b *Balancer) spread(all []*target.Target, w *work.Request, used func(*target.Target) bool, now time.Time) pick {
	healthy, failed := candidates(all, used, now)
	if len(healthy) == 0 {
		healthy = failed
	}
	if len(healthy) == 0 {
		return pick{RetryAfter: untilAccepting(all, now)}
	}
	return pick{Target: b.draw(healthy, b.expectedArrivals(w.Backend, now), now), TimeToFirst: b.Speed.TimeToFirstToken(w.Backend, 0)}
}

// candidates returns the usable endpoints, those in backoff after a failure separately.
func candidates(all []*target.Target, used func(*target.Target) bool, now time.Time) (healthy, failed []*target.Target) {
	for _, t := range all {
		switch {
		case !accepts(t, now) || used(t):
		case backingOff(t, now):
			failed = append(failed, t)
		default:
			healthy = append(healthy, t)
		}
	}
	return healthy, failed
}

// draw draws an endpoint with the weights that even out utilisation once the given number of requests has arrived.
func (b *Balancer) draw(from []*target.Target, arriving float64, now time.Time) *target.Target {
	busy := make([]float64, len(from))
	slots := make([]float64, len(from))
	sum, totalSlots := arriving, 0.0
	for i, t := range from {
		running, _ := t.Outstanding(now)
		busy[i], slots[i] = float64(running), float64(slotsOf(t))
		sum += busy[i]
		totalSlots += slots[i]
	}
	left := 0.0
	for i := range from {
		busy[i] = max(minFreeShare*slots[i], slots[i]*sum/totalSlots-busy[i])
		left += busy[i]
	}
	left *= b.Rand()
	for i, t := range from {
		if left -= busy[i]; left < 0 {
			return t
		}
	}
	return from[len(from)-1]
}

// expectedArrivals returns the requests that all hosts together, this one included, send to a back end within countsAge.
func (b *Balancer) expectedArrivals(backend label.Name, now time.Time) float64 {
	hosts := 1.0
	if b.HostCount != nil {
		hosts = float64(b.HostCount())
	}
	return b.arrivals.add(backend, now) * hosts * countsAge.Seconds()
}

// arrivals keeps a moving average of the process's request rate by back end. Its methods may be called concurrently.
type arrivals struct {
	mu    sync.Mutex
	rates map[label.Name]arrivalRate
}

type arrivalRate struct {
	perSecond float64
	at        time.Time
}

// add counts a request and returns the back end's requests per second.
func (a *arrivals) add(backend label.Name, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rates == nil {
		a.rates = map[label.Name]arrivalRate{}
	}
	m := a.rates[backend]
	decay := math.Exp(-max(0, now.Sub(m.at)).Seconds() / arrivalWindow.Seconds())
	m = arrivalRate{perSecond: m.perSecond*decay + 1/arrivalWindow.Seconds(), at: now}
	a.rates[backend] = m
	return m.perSecond
}
