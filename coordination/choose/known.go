package choose

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

// PickKnown returns the endpoint of least cost among candidates whose load is known exactly, so that all of them are
// compared. KnownLoad returns an endpoint's running requests, the prompt tokens that it has yet to prefill, and its slowdown.
// Donor is an endpoint that is no candidate and has all but donorUncached tokens of the prompt cached, nil for none.
//
// Cold endpoints are left out: only some hosts may use them.
func (b *Balancer) PickKnown(candidates []*target.Target, donor *target.Target, donorUncached int64, w *work.Request, knownLoad func(t *target.Target) (running int, prefill int64, slowdown float64), now time.Time) pick {
	var best, fallback pick
	if donor != nil && !canDonate(donor, now) {
		donor = nil
	}
	if own, uncached := mostCached(candidates, w, now); own != nil && (donor == nil || uncached < donorUncached) {
		donor, donorUncached = own, uncached
	}
	for _, t := range candidates {
		if !accepts(t, now) || t.Warmup.Cold(now) {
			continue
		}
		running, prefill, slowdown := knownLoad(t)
		p := b.estimate(t, w, homes{}, donor, donorUncached, load{running, prefill, slowdown}, now)
		if backingOff(t, now) {
			fallback = cheaper(fallback, p)
		} else {
			best = cheaper(best, p)
		}
	}
	if best.Target == nil {
		return fallback
	}
	return best
}

// Waiting returns the time that a prompt would wait at an endpoint with a load before its prefill, and the prompt tokens that
// the endpoint prefills in a second.
func (b *Balancer) Waiting(t *target.Target, backend label.Name, running int, prefill int64, slowdown float64) (wait time.Duration, tokensPerSecond float64) {
	none := b.Speed.TimeToFirstToken(backend, 0)
	wait = multiply(slowdown, b.Speed.TimeToFirstToken(backend, prefill)-none) + queuedTime(t, running)
	if took := multiply(slowdown, b.Speed.TimeToFirstToken(backend, speedTokens)-none); took > 0 {
		tokensPerSecond = speedTokens / took.Seconds()
	}
	return wait, tokensPerSecond
}

// speedTokens is the length of the prompt by which an endpoint's speed is told.
const speedTokens = 1_000
