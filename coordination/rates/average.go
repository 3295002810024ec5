package rates

import (
	"math"
	"time"
)

// demandAveragingTime is the time constant of the moving average of demand.
const demandAveragingTime = 600 * time.Millisecond

// movingAverage is an exponentially decaying average of units per second, and of the number of requests behind it.
type movingAverage struct {
	units, requests float64
	updated         time.Time
}

func (a *movingAverage) add(units float64, now time.Time) {
	decay := a.decay(now)
	a.units = a.units*decay + units/demandAveragingTime.Seconds()
	a.requests = a.requests*decay + 1
	a.updated = now
}

// rate returns the average in units per second.
func (a *movingAverage) rate(now time.Time) float64 { return a.units * a.decay(now) }

// count returns the number of recent requests behind the average, decayed like it.
func (a *movingAverage) count(now time.Time) float64 { return a.requests * a.decay(now) }

// meanCost returns the average units of one request.
func (a *movingAverage) meanCost() float64 {
	return a.units * demandAveragingTime.Seconds() / max(a.requests, 1)
}

// decay returns the factor by which the average has decayed since its last update.
func (a *movingAverage) decay(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(a.updated)).Seconds() / demandAveragingTime.Seconds())
}

// smoothedFraction is the moving average of the admitted fraction of demand; its time constant is the lag of the
// other hosts' figures.
type smoothedFraction struct {
	value   float64
	updated time.Time
}

func (s *smoothedFraction) add(fraction float64, lag time.Duration, now time.Time) {
	age := max(0, now.Sub(s.updated))
	s.updated = now
	s.value += (1 - math.Exp(-age.Seconds()/lag.Seconds())) * (min(1, fraction) - s.value)
}
