package choose

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/avail"
	"github.com/dragonflyroute/dragonflyroute/protocol/dryrun"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/method"
	"github.com/dragonflyroute/dragonflyroute/protocol/option"
	"github.com/dragonflyroute/dragonflyroute/protocol/period"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

// chanceDraws is the number of evenly spaced draws from which the chances of endpoints are counted.
const chanceDraws = 1000

// The reasons of choices.
const (
	reasonCheapest   = "it has the least cost of those compared"
	reasonFallback   = "all of those compared failed a moment ago; it has the least cost of them"
	reasonUsable     = "none of those compared may get the request; it is the first that may"
	reasonLikeliest  = "endpoints are drawn by their free slots; it is the likeliest"
	reasonColdFaster = "it is cold, but costs less than the time to the first part at the endpoint that the keeper chose"
	reasonNone       = "no endpoint may get the request"
)

type explainer interface {
	// Explain returns the keeper's choice for a request at one of a back end's endpoints; ok is false if there is none.
	Explain(ctx context.Context, w *work.Request, all []*target.Target) (r dryrun.Result, ok bool)
}

// Explain returns the endpoint that Place would choose, and why. It places nothing and changes no counts.
//
// Costs lack the random addition that Place makes to them, and the endpoints that are compared are drawn anew each time.
func (b *Balancer) Explain(ctx context.Context, keepers explainer, all []*target.Target, w *work.Request, alone bool, now time.Time) dryrun.Result {
	if alone || keepers == nil {
		return b.explainPick(all, w, now)
	}
	r, ok := keepers.Explain(ctx, w, all)
	if !ok {
		return b.explainPick(all, w, now)
	}
	t := ByID(all, r.Endpoint)
	if t == nil || !accepts(t, now) {
		return b.explainPick(all, w, now)
	}
	exact := b.withoutJitter()
	cold := exact.coldPick(all, w, unused, now)
	if cold.Target == nil || cold.cost >= r.TimeToFirst.Duration() {
		return r
	}
	o := exact.option(cold.Target, w, homes{}, nil, 0, b.reported(cold.Target, now), now)
	o.Compared = true
	r.Options = slices.DeleteFunc(r.Options, func(other option.Option) bool { return other.Endpoint == o.Endpoint })
	r.Options = append(r.Options, o)
	choose(&r, &o, reasonColdFaster)
	r.Sort()
	return r
}

// ExplainKnown returns the candidates as PickKnown sees them, and the one that it would choose.
func (b *Balancer) ExplainKnown(candidates []*target.Target, donor *target.Target, donorUncached int64, w *work.Request, knownLoad func(t *target.Target) (running int, prefill int64, slowdown float64), now time.Time) dryrun.Result {
	r := dryrun.Result{Backend: w.Backend, Priority: w.Priority, Method: method.Keeper}
	exact := b.withoutJitter()
	if own, uncached := mostCached(candidates, w, now); own != nil && (donor == nil || uncached < donorUncached) {
		donor, donorUncached = own, uncached
	}
	for _, t := range candidates {
		running, prefill, slowdown := knownLoad(t)
		o := exact.option(t, w, homes{}, donor, donorUncached, load{running, prefill, slowdown}, now)
		if o.State <= avail.BackingOff && t.Warmup.Cold(now) {
			o.State = avail.Cold
		}
		o.Compared = o.State <= avail.BackingOff
		r.Options = append(r.Options, o)
	}
	chooseCheapest(&r)
	return r
}

// explainPick is Explain for a request for which this process chooses alone.
func (b *Balancer) explainPick(all []*target.Target, w *work.Request, now time.Time) dryrun.Result {
	r := dryrun.Result{Backend: w.Backend, Priority: w.Priority, Method: method.Sample}
	if w.PromptTokens == 0 {
		b.explainSpread(&r, all, w, now)
	} else {
		b.explainSample(&r, all, w, now)
	}
	if r.Endpoint == "" {
		r.RetryAfter = period.Period(untilAccepting(all, now))
	}
	return r
}

// explainSample is explainPick for a prompt.
func (b *Balancer) explainSample(r *dryrun.Result, all []*target.Target, w *work.Request, now time.Time) {
	exact := b.withoutJitter()
	homes := homesOf(all, w.SessionHash(), now)
	sample := b.sample(all)
	donor, donorUncached := mostCached(all, w, now)
	for _, t := range all {
		o := exact.option(t, w, homes, donor, donorUncached, b.reported(t, now), now)
		inSample := sample == nil || homes.has(t) || t == donor || sample[t] || t.Warmup.Cold(now)
		o.Compared = inSample && o.State <= avail.BackingOff
		r.Options = append(r.Options, o)
	}
	chooseCheapest(r)
	if r.Endpoint != "" {
		return
	}
	usable := exact.firstUsable(all, w, unused, now)
	if usable.Target == nil {
		return
	}
	id := usable.Target.Row().ID
	i := slices.IndexFunc(r.Options, func(o option.Option) bool { return o.Endpoint == id })
	choose(r, &r.Options[i], reasonUsable)
}

// explainSpread is explainPick for a request without a prompt.
func (b *Balancer) explainSpread(r *dryrun.Result, all []*target.Target, w *work.Request, now time.Time) {
	r.Method = method.Random
	healthy, failed := candidates(all, unused, now)
	if len(healthy) == 0 {
		healthy = failed
	}
	chances := b.chances(healthy, w.Backend, now)
	for _, t := range all {
		state, left := stateOf(t, now)
		running, _ := t.Outstanding(now)
		chance, drawn := chances[t]
		r.Options = append(r.Options, option.Option{
			Endpoint: t.Row().ID, DataCentre: t.Row().DataCentre, State: state, Until: period.Period(left),
			Compared: drawn, Chance: chance, Running: running, Slots: slotsOf(t), Slowdown: t.Slowdown(),
			TimeToFirst: period.Period(b.Speed.TimeToFirstToken(w.Backend, 0)),
		})
	}
	r.Sort()
	if len(healthy) == 0 {
		r.Reason = reasonNone
		return
	}
	choose(r, &r.Options[0], reasonLikeliest)
}

// chances returns the probability with which each endpoint is drawn.
func (b *Balancer) chances(from []*target.Target, backend label.Name, now time.Time) map[*target.Target]float64 {
	out := map[*target.Target]float64{}
	if len(from) == 0 {
		return out
	}
	for _, t := range from {
		out[t] = 0
	}
	hosts := 1.0
	if b.HostCount != nil {
		hosts = float64(b.HostCount())
	}
	arriving := b.arrivals.rate(backend, now) * hosts * countsAge.Seconds()
	for i := range chanceDraws {
		even := &Balancer{Rand: func() float64 { return (float64(i) + 0.5) / chanceDraws }}
		out[even.draw(from, arriving, now)] += 1.0 / chanceDraws
	}
	return out
}

// rate returns a back end's requests per second without counting one.
func (a *arrivals) rate(backend label.Name, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.rates[backend]
	return r.perSecond * math.Exp(-max(0, now.Sub(r.at)).Seconds()/arrivalWindow.Seconds())
}

// withoutJitter returns a balancer whose costs have no random addition.
func (b *Balancer) withoutJitter() *Balancer {
	return &Balancer{Rand: func() float64 { return 0 }, Speed: b.Speed, DataCentre: b.DataCentre}
}

// chooseCheapest sorts the options and chooses the first of those compared, if any.
func chooseCheapest(r *dryrun.Result) {
	r.Sort()
	r.Reason = reasonNone
	if len(r.Options) == 0 || !r.Options[0].Compared {
		return
	}
	reason := reasonCheapest
	if r.Options[0].State == avail.BackingOff {
		reason = reasonFallback
	}
	choose(r, &r.Options[0], reason)
}

func choose(r *dryrun.Result, o *option.Option, reason string) {
	r.Endpoint, r.TimeToFirst, r.Reason = o.Endpoint, o.TimeToFirst, reason
}

// option returns an endpoint with the parts of its cost.
func (b *Balancer) option(t *target.Target, w *work.Request, home homes, donor *target.Target, donorUncached int64, l load, now time.Time) option.Option {
	p := b.estimate(t, w, home, donor, donorUncached, l, now)
	row := t.Row()
	state, left := stateOf(t, now)
	o := option.Option{
		Endpoint: row.ID, DataCentre: row.DataCentre, State: state, Until: period.Period(left),
		Running: l.running, Slots: slotsOf(t), Slowdown: l.slowdown,
		AheadTokens: p.AheadTokens, PrefillTokens: p.PrefillTokens, CachedTokens: w.PromptTokens - t.Uncached(w, now),
		TimeToFirst: period.Period(p.TimeToFirst), Cost: period.Period(p.cost),
	}
	if p.Donor != nil {
		o.Donor = p.Donor.Row().ID
		o.FetchedTokens = t.Uncached(w, now) - p.PrefillTokens
	}
	unread := b.Speed.TimeToFirstToken(w.Backend, p.AheadTokens) - b.Speed.TimeToFirstToken(w.Backend, 0)
	prefill := b.Speed.TimeToFirstToken(w.Backend, p.AheadTokens+p.PrefillTokens)
	o.AheadCost = period.Period(multiply(l.slowdown, unread))
	o.PrefillCost = period.Period(multiply(l.slowdown, prefill)) - o.AheadCost
	o.QueueCost = o.TimeToFirst - o.AheadCost - o.PrefillCost
	o.RunningCost = period.Period(time.Duration(l.running) * runningCost)
	if row.DataCentre != b.DataCentre {
		o.CentreCost = period.Period(crossCentreCost)
	}
	o.RepeatCost = o.Cost - o.TimeToFirst - o.RunningCost - o.CentreCost
	return o
}

// stateOf returns whether an endpoint may get requests of this process, and the time until that may change.
func stateOf(t *target.Target, now time.Time) (s avail.State, left time.Duration) {
	switch {
	case t.Leaving():
		return avail.Leaving, 0
	case t.Evacuated():
		return avail.Evacuated, 0
	case now.Before(t.Warmup.HeldUntil(now)):
		return avail.Cold, t.Warmup.HeldUntil(now).Sub(now)
	case now.Before(t.Limit.HeldUntil()):
		return avail.Limited, t.Limit.HeldUntil().Sub(now)
	case now.Before(t.PausedUntil()):
		return avail.Paused, t.PausedUntil().Sub(now)
	case backingOff(t, now):
		return avail.BackingOff, 0
	default:
		return avail.Available, 0
	}
}

// unused reports that a request has not been sent to an endpoint.
func unused(*target.Target) bool { return false }
