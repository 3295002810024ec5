package choose

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

// book knows what is outstanding at endpoints.
type book interface {
	// Load returns an endpoint's running requests, the prompt tokens that it has yet to prefill, and its slowdown.
	Load(t *target.Target) (running int, prefill int64, slowdown float64)
	// Uncached returns the tokens of a prompt that an endpoint would prefill after the requests that are placed there.
	Uncached(t *target.Target, w *work.Request) int64
}

// PickKnown returns the endpoint of least cost among candidates whose load is known exactly, so that all of them are
// compared. Donor is an endpoint that is no candidate and has all but donorUncached tokens of the prompt cached, nil for none.
//
// Cold endpoints are left out: only some hosts may use them.
func (b *Balancer) PickKnown(candidates []*target.Target, donor *target.Target, donorUncached int64, w *work.Request, known book, now time.Time) pick {
	var best, fallback pick
	if own, uncached := mostCached(candidates, w, now); own != nil && (donor == nil || uncached < donorUncached) {
		donor, donorUncached = own, uncached
	}
	least := w.PromptTokens
	for _, t := range candidates {
		least = min(least, known.Uncached(t, w))
	}
	for _, t := range candidates {
		if !accepts(t, now) || t.Warmup.Cold(now) {
			continue
		}
		p := b.estimateKnown(t, w, donor, donorUncached, least, known, now)
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

// estimateKnown is estimate for an endpoint whose load is known. Least is the fewest tokens that any candidate would prefill: what
// this one prefills beyond that is prefilled again.
func (b *Balancer) estimateKnown(t *target.Target, w *work.Request, donor *target.Target, donorUncached, least int64, known book, now time.Time) pick {
	running, prefill, slowdown := known.Load(t)
	p := b.estimate(t, w, homes{}, donor, donorUncached, load{running, prefill, slowdown, known.Uncached(t, w)}, now)
	if again := p.PrefillTokens - least; again >= minFetchTokens {
		p.cost += multiply(recomputeFactor, b.Speed.TimeToFirstToken(w.Backend, again)-b.Speed.TimeToFirstToken(w.Backend, 0))
	}
	return p
}

// Accepts reports whether an endpoint accepts requests from this process.
func (b *Balancer) Accepts(t *target.Target, now time.Time) bool { return accepts(t, now) }
