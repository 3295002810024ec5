// Package weight computes an entry host's own weight for the placement of accounts.
package weight

import (
	"math"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
)

const (
	// smoothingTime is the time constant of the moving averages of the loads.
	smoothingTime = 10 * time.Second
	// adjustTime is the time in which the weight of a host at e times the mean load falls by a factor e. It is several
	// times as long as callers cache the addresses, so that the effect of a change shows in the loads before the next.
	adjustTime = 60 * time.Second
	// deadBand is the ratio to the mean load within which a weight does not change.
	deadBand = 1.15
	// minWeight is the smallest weight.
	minWeight = 0.1
	// minMeanLoad is the mean load, in requests, below which weights only rise.
	minMeanLoad = 4.0
)

// Weight is the fraction of an even share of the accounts that one host accepts.
//
// The weight falls slowly while the host has more than the mean load, and recovers while it has less. Every host
// computes only its own weight and publishes it in its heartbeat, so that all hosts place accounts with the same
// weights.
type Weight struct {
	value    float64
	ownLoad  float64
	meanLoad float64
	last     time.Time
}

// Next returns the host's weight, above 0 and at most 1, updated by its own load and by the loads in the last heartbeats
// of its live peers.
func (w *Weight) Next(load int, peers []beat.Heartbeat, now time.Time) float64 {
	if w.last.IsZero() {
		w.value, w.ownLoad, w.meanLoad, w.last = 1, float64(load), mean(load, peers), now
		return 1
	}
	elapsed := max(0, now.Sub(w.last))
	w.last = now
	alpha := 1 - math.Exp(-elapsed.Seconds()/smoothingTime.Seconds())
	w.ownLoad += alpha * (float64(load) - w.ownLoad)
	w.meanLoad += alpha * (mean(load, peers) - w.meanLoad)
	w.adjust(elapsed)
	return w.value
}

func (w *Weight) adjust(elapsed time.Duration) {
	excess := math.Log(max(w.ownLoad, 1) / max(w.meanLoad, 1))
	if w.meanLoad < minMeanLoad {
		excess = min(excess, -math.Log(deadBand))
	}
	if math.Abs(excess) < math.Log(deadBand) {
		return
	}
	step := excess * elapsed.Seconds() / adjustTime.Seconds()
	w.value = min(1, max(minWeight, w.value*math.Exp(-step)))
}

func mean(load int, peers []beat.Heartbeat) float64 {
	sum, n := float64(load), 1.0
	for _, p := range peers {
		if p.State == beat.Live {
			sum += float64(p.InFlight)
			n++
		}
	}
	return sum / n
}
