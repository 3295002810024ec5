package rates

import (
	"math"
	"time"
)

// demandTime is the time over which demand is averaged.
const demandTime = 600 * time.Millisecond

// average is a fading mean of units per second, and of the requests behind it.
type average struct {
	units, requests float64
	updated         time.Time
}

func (a *average) add(units float64, now time.Time) {
	left := a.left(now)
	a.units = a.units*left + units/demandTime.Seconds()
	a.requests = a.requests*left + 1
	a.updated = now
}

// at returns the units per second.
func (a *average) at(now time.Time) float64 { return a.units * a.left(now) }

// many returns the number of requests on which the mean rests.
func (a *average) many(now time.Time) float64 { return a.requests * a.left(now) }

// mean returns the units of one request.
func (a *average) mean() float64 { return a.units * demandTime.Seconds() / max(a.requests, 1) }

// left returns what is left of the mean since it was updated.
func (a *average) left(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(a.updated)).Seconds() / demandTime.Seconds())
}

// share is a part of the units, averaged over the time by which other hosts' figures are late.
type share struct {
	value   float64
	updated time.Time
}

func (s *share) add(part float64, lag time.Duration, now time.Time) {
	age := max(0, now.Sub(s.updated))
	s.updated = now
	s.value += (1 - math.Exp(-age.Seconds()/lag.Seconds())) * (min(1, part) - s.value)
}
