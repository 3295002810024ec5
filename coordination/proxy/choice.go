package proxy

import (
	"context"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/result"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

// choice is the endpoint of an attempt, with all that the attempt needs taken.
type choice struct {
	target *target.Target
	// donor is the endpoint from which target fetches KV cache, nil for none.
	donor *target.Target
	// prefillTokens is the number of prompt tokens that target is expected to prefill.
	prefillTokens int64
	// grant is the place that another host gave the request, zero if this process chose alone, and aheadTokens the prompt
	// tokens before it.
	grant       grant.Grant
	aheadTokens int64
	// recordTrial counts the result of the attempt for the move of a version.
	recordTrial func(w *work.Request, r result.Result)
}

// refusal is why no attempt can be made.
type refusal struct {
	reason string
	// wait is the time until a retry may be worth it.
	wait time.Duration
	// again is set if another endpoint may be chosen at once.
	again bool
}

// choose chooses the endpoint of the next attempt of a request that has arrived at some endpoints. With elsewhere, the last of
// these may still answer, so that only an endpoint is chosen that is expected to.
func (p *Proxy) choose(ctx context.Context, j *job, arrivals int, elsewhere bool) (*choice, *refusal) {
	if wait, reason := p.Prompts.Admit(j.work); reason != "" {
		return nil, &refusal{reason: reason, wait: wait}
	}
	now := p.Now()
	version := p.Canary.Choose(j.work)
	excluded := func(t *target.Target) bool { return j.excluded(t) || elsewhere && !isSound(t, now) }
	all := p.Endpoints.ByBackend(j.work.Backend)
	usable := version.Filter(all)
	alone := elsewhere || len(usable) < len(all)
	to := p.Balancer.Place(ctx, usable, j.work, excluded, alone, now)
	t := to.Target
	if t == nil && to.Grant.RetryAfter > 0 {
		return nil, &refusal{reason: "the endpoints of the back end are short of room", wait: to.Grant.RetryAfter}
	}
	if t == nil && to.RetryAfter > 0 {
		return nil, &refusal{reason: "all endpoints of the back end asked for a pause or are at their request limits", wait: to.RetryAfter}
	}
	if t == nil {
		return nil, &refusal{reason: "the back end has no usable endpoint", wait: noEndpointRetryAfter}
	}
	if elsewhere && now.Add(to.TimeToFirst).After(p.answerBy(j, now)) {
		return nil, &refusal{reason: "no endpoint is expected to go on with the answer in time", wait: refusedRetryAfter}
	}
	if !j.mayHaveRun && now.Add(to.TimeToFirst).After(j.work.Deadline) {
		p.Balancer.Release(to.Grant)
		return nil, &refusal{reason: "no endpoint is expected to start the answer before the request's deadline", wait: refusedRetryAfter}
	}
	if refused := p.take(ctx, j, t, arrivals); refused != nil {
		p.Balancer.Release(to.Grant)
		return nil, refused
	}
	record := func(w *work.Request, r result.Result) { p.Canary.Record(version, t, w, r) }
	return &choice{target: t, donor: to.Donor, prefillTokens: to.PrefillTokens, grant: to.Grant, aheadTokens: to.AheadTokens, recordTrial: record}, nil
}

// take takes what an attempt at an endpoint needs: a permit, a debit of the retry budget if the request has arrived before, and
// the leave to send its prompt.
func (p *Proxy) take(ctx context.Context, j *job, t *target.Target, arrivals int) *refusal {
	if !p.Permits.Take(ctx, t) {
		j.refusedPermits++
		return &refusal{reason: "the request ended while it waited for a permit", again: ctx.Err() == nil}
	}
	if arrivals > 0 && !j.paid && !p.Retries.Take(j.work.Backend) {
		return &refusal{reason: "the back end's retry budget is exhausted", wait: refusedRetryAfter}
	}
	j.paid = arrivals > 0
	if wait, reason := p.Prompts.Begin(j.work); reason != "" {
		return &refusal{reason: reason, wait: wait}
	}
	return nil
}

// refuse reports whether another endpoint may be chosen after a refusal, and otherwise returns the error to answer with.
func (p *Proxy) refuse(ctx context.Context, j *job, x exchange, refused *refusal) (again bool, err error) {
	if refused.again {
		return true, nil
	}
	return false, p.finalError(ctx, j, x, refused.reason, refused.wait)
}
