// Package weight decides an entry host's own weight in address answers.
package weight

import (
	"math"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/pulse"
)

const (
	// smoothTime is the time over which loads are averaged.
	smoothTime = 10 * time.Second
	// turnTime is the time in which a host at e times the mean load gives up a factor e of its weight; it is several
	// times as long as callers keep an address answer, so that weights follow what they caused.
	turnTime = 60 * time.Second
	// deadBand is the factor from the mean within which a weight stays.
	deadBand = 1.15
	// least is the smallest weight.
	least = 0.1
	// fewRequests is the mean load below which weights only recover.
	fewRequests = 4.0
)

// Weight is the part that one host takes of what it would get if all took the same.
//
// A host that has more than the mean load gives weight up, slowly, and takes it back when it has less. Every host
// decides only its own weight and tells it in its heartbeat, so that all answer with the same weights.
type Weight struct {
	value float64
	own   float64
	mean  float64
	last  time.Time
}

// Next returns the host's weight, above 0 and at most 1, after its own load and the last heartbeats of its live peers.
func (w *Weight) Next(load int, peers []pulse.Pulse, now time.Time) float64 {
	if w.last.IsZero() {
		w.value, w.own, w.mean, w.last = 1, float64(load), mean(load, peers), now
		return 1
	}
	passed := max(0, now.Sub(w.last))
	w.last = now
	part := 1 - math.Exp(-passed.Seconds()/smoothTime.Seconds())
	w.own += part * (float64(load) - w.own)
	w.mean += part * (mean(load, peers) - w.mean)
	w.turn(passed)
	return w.value
}

func (w *Weight) turn(passed time.Duration) {
	excess := math.Log(max(w.own, 1) / max(w.mean, 1))
	if w.mean < fewRequests {
		excess = min(excess, -math.Log(deadBand))
	}
	if math.Abs(excess) < math.Log(deadBand) {
		return
	}
	step := excess * passed.Seconds() / turnTime.Seconds()
	w.value = min(1, max(least, w.value*math.Exp(-step)))
}

func mean(load int, peers []pulse.Pulse) float64 {
	sum, n := float64(load), 1.0
	for _, p := range peers {
		if p.State == pulse.Live {
			sum += float64(p.Load)
			n++
		}
	}
	return sum / n
}
