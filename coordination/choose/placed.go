package choose

import (
	"context"
	"slices"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

type placer interface {
	// Place returns the place of a request at one of a back end's endpoints; ok is false if it was not placed.
	Place(ctx context.Context, w *work.Request, all []*target.Target, excluded []endpt.ID) (g grant.Grant, ok bool)
	// Begun reports that the answer to a placed request began, first after it was sent, and how slow its endpoint was then.
	Begun(g grant.Grant, first time.Duration, slowness float64)
	// Ended reports that an endpoint no longer works on a placed request, or never got it.
	Ended(g grant.Grant, failed bool)
}

// Place has a request placed by the host that knows the endpoints' load. It is Pick if there is none, if this process may not
// use the endpoint, or if it is to choose alone. Without a Target, a Grant with RetryAfter says that there is no room.
func (b *Balancer) Place(ctx context.Context, all []*target.Target, w *work.Request, used func(*target.Target) bool, alone bool, now time.Time) pick {
	if alone || b.Placer == nil {
		return b.Pick(all, w, used, now)
	}
	excluded := func(t *target.Target) bool { return used(t) || heldHere(t, now) }
	g, ok := b.Placer.Place(ctx, w, all, idsOf(all, excluded))
	if !ok {
		return b.Pick(all, w, used, now)
	}
	if g.RetryAfter > 0 {
		return pick{RetryAfter: g.RetryAfter, Grant: g}
	}
	t := ByID(all, g.Endpoint)
	if t == nil || used(t) || !accepts(t, now) {
		b.Placer.Ended(g, false)
		return b.Pick(all, w, used, now)
	}
	if c := b.coldPick(all, w, used, now); c.Target != nil && c.cost < g.TimeToFirst {
		b.Placer.Ended(g, false)
		return c
	}
	p := pick{Target: t, PrefillTokens: g.PrefillTokens, AheadTokens: g.AheadTokens, TimeToFirst: g.TimeToFirst, Grant: g}
	if g.Donor == "" {
		return p
	}
	if donor := ByID(all, g.Donor); donor != nil && donor != t && canDonate(donor, now) {
		p.Donor = donor
	} else {
		p.PrefillTokens = t.Uncached(w, now)
	}
	return p
}

// heldHere reports whether an endpoint accepts no requests from this process at present, which other hosts do not know.
func heldHere(t *target.Target, now time.Time) bool {
	return t.Paused(now) || now.Before(t.Limit.HeldUntil())
}

// coldPick returns the best of the cold endpoints to which this process may send; the others' keepers leave them out.
func (b *Balancer) coldPick(all []*target.Target, w *work.Request, used func(*target.Target) bool, now time.Time) pick {
	var best pick
	for _, t := range all {
		if t.Warmup.Cold(now) && accepts(t, now) && !used(t) && !backingOff(t, now) {
			best = cheaper(best, b.estimate(t, w, homes{}, nil, 0, b.reported(t, now), now))
		}
	}
	return best
}

// Release gives back a place that the request did not use.
func (b *Balancer) Release(g grant.Grant) { b.Ended(g, false) }

// Begun reports that the answer to a placed request began, first after it was sent, and how slow its endpoint was then: a
// multiple of the usual time, 0 when it is not known.
func (b *Balancer) Begun(g grant.Grant, first time.Duration, slowness float64) {
	if g.ID != 0 {
		b.Placer.Begun(g, first, slowness)
	}
}

// Ended reports that an endpoint no longer works on a placed request.
func (b *Balancer) Ended(g grant.Grant, failed bool) {
	if g.ID != 0 {
		b.Placer.Ended(g, failed)
	}
}

// idsOf returns the ids of the endpoints that match.
func idsOf(all []*target.Target, match func(*target.Target) bool) (ids []endpt.ID) {
	for _, t := range all {
		if match(t) {
			ids = append(ids, t.Row().ID)
		}
	}
	return ids
}

// ByID returns the endpoint with an id, nil if there is none.
func ByID(all []*target.Target, id endpt.ID) *target.Target {
	i := slices.IndexFunc(all, func(t *target.Target) bool { return t.Row().ID == id })
	if i < 0 {
		return nil
	}
	return all[i]
}
