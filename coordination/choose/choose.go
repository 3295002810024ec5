// Package choose balances the attempts of opaque requests over the endpoints of a back end.
package choose

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	// runningCost is what each running request adds to an endpoint's cost, because it delays the first token.
	runningCost = 3 * time.Millisecond
	// queuedCost is what each request ahead in an endpoint's queue adds to the time to the first token.
	queuedCost = 60 * time.Millisecond
	// crossCentreCost is the cost of an endpoint in another data centre, on top of the network latency: traffic between
	// data centres is billed.
	crossCentreCost = 8 * time.Millisecond
	// homeCachedShare is the part of a prompt's shared tokens that the two homes of a session are assumed to have cached
	// between them, and otherCachedShare the part that another endpoint can fetch from the first home.
	homeCachedShare  = 0.85
	otherCachedShare = 0.6
	// recomputeFactor weighs the prefill of shared tokens that another endpoint has cached: that multiple of its time is
	// added to the cost, because the repeated work is billed.
	recomputeFactor = 2.0
	// defaultSlots is the assumed number of concurrent requests of an endpoint that has not reported it.
	defaultSlots = 4
	// minBackoff and maxBackoff bound the time for which an endpoint that failed is avoided; it doubles with each failure.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// minFetchTokens is the smallest part of a prompt that is fetched from another endpoint's KV cache, and fetchCost the
	// cost of a fetch on top of its time: it is cheaper than prefill, but not free.
	minFetchTokens = 64
	fetchCost      = 5 * time.Millisecond
	// sampleSize is the number of random endpoints compared, besides the session's homes and the endpoint that has most of
	// the prompt cached.
	sampleSize = 3
	// jitter is the largest random addition to a cost; it keeps hosts with the same view from choosing the same endpoint.
	jitter = 2 * time.Millisecond
)

type speed interface {
	// TimeToFirstToken returns the expected time to the first token after prefill of the given number of tokens.
	TimeToFirstToken(backend label.Name, tokens int64) time.Duration
}

// Balancer selects the endpoint of least cost: the expected time to the first part of the answer, with additions for
// load, repeated prefill and traffic between data centres.
type Balancer struct {
	// Rand returns a number in [0, 1).
	Rand func() float64
	// Speed estimates the prefill time of prompts.
	Speed speed
	// DataCentre is the data centre of this process.
	DataCentre centre.ID
	// Placer has requests placed by the host that knows the endpoints' load; nil means that this process chooses alone.
	Placer placer
	// HostCount returns the number of entry hosts, this one included; nil means one.
	HostCount func() int

	arrivals arrivals
}

// pick is the endpoint selected for one attempt.
type pick struct {
	// Target is the endpoint, nil when none is usable.
	Target *target.Target
	// Donor is an endpoint that has more of the prompt cached, from which Target fetches KV cache; nil for none.
	Donor *target.Target
	// PrefillTokens is the number of prompt tokens that the endpoint is expected to prefill.
	PrefillTokens int64
	// AheadTokens is the number of prompt tokens that the endpoint is expected to prefill before those.
	AheadTokens int64
	// TimeToFirst is the expected time to the first part of the answer.
	TimeToFirst time.Duration
	// RetryAfter is the time until the first endpoint accepts requests again; it is set only without a Target, when all
	// endpoints have asked for a pause or are at their request limits.
	RetryAfter time.Duration
	// Grant is the place that another host gave the request, zero if this process chose alone.
	Grant grant.Grant

	cost time.Duration
}

// Pick returns the usable endpoint of least cost among those compared.
//
// Those compared are a random sample, the session's homes, the endpoint that has most of the prompt cached, and the cold
// endpoints to which only this process and a few others may send. Endpoints that are leaving, in an evacuated data centre, have
// asked for a pause, are at their request limit or too cold are never chosen; those in backoff after a failure only when no other
// is compared.
func (b *Balancer) Pick(all []*target.Target, w *work.Request, used func(*target.Target) bool, now time.Time) pick {
	if w.PromptTokens == 0 {
		return b.spread(all, w, used, now)
	}
	var best, fallback pick
	homes := homesOf(all, w.SessionHash(), now)
	sample := b.sample(all)
	donor, donorUncached := mostCached(all, w, now)
	for _, t := range all {
		if !accepts(t, now) || used(t) {
			continue
		}
		if sample != nil && !homes.has(t) && t != donor && !sample[t] && !t.Warmup.Cold(now) {
			continue
		}
		p := b.estimate(t, w, homes, donor, donorUncached, b.reported(t, now), now)
		switch {
		case backingOff(t, now):
			fallback = cheaper(fallback, p)
		default:
			best = cheaper(best, p)
		}
	}
	if best.Target == nil {
		best = fallback
	}
	if best.Target == nil && sample != nil {
		best = b.firstUsable(all, w, used, now)
	}
	if best.Target == nil {
		best.RetryAfter = untilAccepting(all, now)
	}
	return best
}

// accepts reports whether an endpoint accepts requests from this process.
func accepts(t *target.Target, now time.Time) bool {
	return !t.Leaving() && !t.Evacuated() && !now.Before(acceptsFrom(t, now))
}

// acceptsFrom returns the time from which an endpoint that is neither leaving nor evacuated accepts requests from this
// process.
func acceptsFrom(t *target.Target, now time.Time) time.Time {
	from := t.PausedUntil()
	for _, held := range []time.Time{t.Limit.HeldUntil(), t.Warmup.HeldUntil(now)} {
		if held.After(from) {
			from = held
		}
	}
	return from
}

// canDonate reports whether other endpoints may fetch KV cache from an endpoint: a fetch is work too, so not from one that
// limits its requests or is cold.
func canDonate(t *target.Target, now time.Time) bool {
	return !t.Limit.InForce() && !t.Warmup.Cold(now) && accepts(t, now)
}

// untilAccepting returns the time until the first endpoint accepts requests, zero when one of them does now.
func untilAccepting(all []*target.Target, now time.Time) time.Duration {
	var first time.Duration
	for _, t := range all {
		if t.Leaving() || t.Evacuated() {
			continue
		}
		left := acceptsFrom(t, now).Sub(now)
		if left <= 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}

func cheaper(a, b pick) pick {
	if a.Target == nil || b.cost < a.cost {
		return b
	}
	return a
}

// firstUsable returns the first usable endpoint; it is the fallback for a sample without one.
func (b *Balancer) firstUsable(all []*target.Target, w *work.Request, used func(*target.Target) bool, now time.Time) pick {
	for _, t := range all {
		if accepts(t, now) && !used(t) {
			return b.estimate(t, w, homes{}, nil, 0, b.reported(t, now), now)
		}
	}
	return pick{}
}

// mostCached returns the possible donor known to have most of the prompt cached, and the tokens that it would still prefill.
func mostCached(all []*target.Target, w *work.Request, now time.Time) (donor *target.Target, uncached int64) {
	uncached = w.PromptTokens
	for _, t := range all {
		if !canDonate(t, now) {
			continue
		}
		if n := t.Uncached(w, now); n < uncached {
			donor, uncached = t, n
		}
	}
	return donor, uncached
}

// sample draws a few endpoints to compare, nil for all. Load counts are slightly stale, so hosts that compared all
// endpoints would send their requests to the same least loaded one.
func (b *Balancer) sample(all []*target.Target) map[*target.Target]bool {
	if len(all) <= sampleSize {
		return nil
	}
	out := map[*target.Target]bool{}
	for range sampleSize {
		out[all[int(b.Rand()*float64(len(all)))]] = true
	}
	return out
}

// PickBackend draws one of a route's back ends by their traffic shares; it returns an empty name for a route without
// any.
func (b *Balancer) PickBackend(p *path.Route) label.Name {
	left := b.Rand()
	for _, part := range p.Backends {
		if left -= part.Fraction; left < 0 {
			return label.Name(part.Name)
		}
	}
	if n := len(p.Backends); n > 0 {
		return label.Name(p.Backends[n-1].Name)
	}
	return ""
}

// homes are the two endpoints that all hosts prefer for a session's shared prompt parts, nil where there is none.
//
// Rendezvous hashing gives all hosts the same homes without coordination.
type homes struct{ first, second *target.Target }

// homesOf returns the possible donors that rank highest for a session by rendezvous hashing, none without a session.
func homesOf(all []*target.Target, session uint64, now time.Time) homes {
	var h homes
	if session == 0 {
		return h
	}
	var highest, next uint64
	for _, t := range all {
		if !canDonate(t, now) {
			continue
		}
		rank := t.Rank(session)
		switch {
		case h.first == nil || rank > highest:
			h.first, h.second = t, h.first
			highest, next = rank, highest
		case h.second == nil || rank > next:
			h.second, next = t, rank
		}
	}
	return h
}

func (h homes) has(t *target.Target) bool { return t == h.first || t == h.second }

// other returns the home from which an endpoint fetches the KV cache that it lacks, nil for none.
func (h homes) other(t *target.Target) *target.Target {
	if t == h.first {
		return h.second
	}
	return h.first
}

func backingOff(t *target.Target, now time.Time) bool {
	n, since := t.Failures(now)
	if n == 0 {
		return false
	}
	return since < min(maxBackoff, minBackoff<<min(n-1, 4))
}

// load is what an endpoint has to do, and how fast it is.
type load struct {
	running  int
	prefill  int64
	slowdown float64
}

// reported returns an endpoint's load as this process and the reports of others know it.
func (b *Balancer) reported(t *target.Target, now time.Time) load {
	running, prefill := t.Outstanding(now)
	return load{running: running, prefill: prefill, slowdown: t.Slowdown()}
}

// estimate returns one endpoint as a candidate with its cost; donor is known to have all but donorUncached tokens of the
// prompt cached.
func (b *Balancer) estimate(t *target.Target, w *work.Request, home homes, donor *target.Target, donorUncached int64, l load, now time.Time) pick {
	running, prefill := l.running, l.prefill
	p := pick{Target: t, PrefillTokens: t.Uncached(w, now), AheadTokens: prefill}
	if w.PromptTokens > 0 {
		recomputed := b.planFetch(&p, w, home, donor, donorUncached)
		p.TimeToFirst = multiply(l.slowdown, b.Speed.TimeToFirstToken(w.Backend, prefill+p.PrefillTokens))
		p.cost = multiply(recomputeFactor, b.Speed.TimeToFirstToken(w.Backend, recomputed)-b.Speed.TimeToFirstToken(w.Backend, 0))
	}
	p.TimeToFirst += queuedTime(t, running)
	p.cost += p.TimeToFirst + time.Duration(running)*runningCost + time.Duration(b.Rand()*float64(jitter))
	if p.Donor != nil && !home.has(t) {
		p.cost += fetchCost
	}
	if t.Row().DataCentre != b.DataCentre {
		p.cost += crossCentreCost
	}
	return p
}

// queuedTime returns the time that a request waits for one of an endpoint's slots.
func queuedTime(t *target.Target, running int) time.Duration {
	return time.Duration(max(0, running-slotsOf(t)+1)) * queuedCost
}

// slotsOf returns the number of requests that an endpoint runs concurrently, defaultSlots while it is not known.
func slotsOf(t *target.Target) int {
	if slots := t.Slots(); slots > 0 {
		return slots
	}
	return defaultSlots
}

// planFetch decides from which endpoint KV cache is fetched, lowers the tokens to prefill accordingly, and returns the
// shared tokens that are likely to be prefilled again although another endpoint has them cached.
//
// Where no endpoint is known to have as much of the prompt cached, the session's homes are assumed to have it; each
// fetches from the other what it lacks. Nearly all endpoints have the first part of a prompt cached, which says nothing
// about the other parts.
func (b *Balancer) planFetch(p *pick, w *work.Request, home homes, donor *target.Target, donorUncached int64) (recomputed int64) {
	shared := w.SharedTokens()
	if p.PrefillTokens <= w.PromptTokens-shared {
		return 0
	}
	cachedShare := otherCachedShare
	if home.has(p.Target) {
		cachedShare = homeCachedShare
	}
	likelyCached := int64(cachedShare * float64(shared))
	if home.first == nil || shared < minFetchTokens {
		likelyCached = 0
	}
	if donor != nil && w.PromptTokens-donorUncached >= likelyCached {
		if donor != p.Target && p.PrefillTokens-donorUncached >= minFetchTokens {
			p.Donor, p.PrefillTokens = donor, donorUncached
		}
		return 0
	}
	if likelyCached == 0 {
		return 0
	}
	p.PrefillTokens = min(p.PrefillTokens, w.PromptTokens-likelyCached)
	p.Donor = home.other(p.Target)
	return shared - likelyCached
}

func multiply(x float64, d time.Duration) time.Duration { return time.Duration(x * float64(d)) }
