package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/dryrun"
	"github.com/dragonflyroute/dragonflyroute/protocol/period"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

type keepers interface {
	// Explain returns the keeper's choice for a request at one of a back end's endpoints; ok is false if there is none.
	Explain(ctx context.Context, w *work.Request, all []*target.Target) (r dryrun.Result, ok bool)
}

// Explain returns the endpoint to which Run would send a request at present, and why, or what it would answer if there is
// none. It sends nothing and counts nothing. The rate limit of the request's account is not looked at.
func (p *Proxy) Explain(ctx context.Context, from keepers, w *work.Request) dryrun.Result {
	now := p.Now()
	refused := dryrun.Result{Backend: w.Backend, Priority: w.Priority}
	if draining, left := p.Draining(); draining && !p.fitsDrain(w, left, now.Add(left)) {
		return refuse(refused, "the host stops before the request is expected to end", drainRetryAfter)
	}
	if wait, reason := p.Prompts.Admit(w); reason != "" {
		return refuse(refused, reason, wait)
	}
	all := p.Endpoints.ByBackend(w.Backend)
	usable := p.Canary.Choose(w).Filter(all)
	r := p.Balancer.Explain(ctx, from, usable, w, len(usable) < len(all), now)
	switch {
	case r.Endpoint == "" && r.RetryAfter > 0:
		return refuse(r, "all endpoints that are not leaving or evacuated are paused, cold or at their request limits", r.RetryAfter.Duration())
	case r.Endpoint == "":
		return refuse(r, r.Reason, noEndpointRetryAfter)
	case now.Add(r.TimeToFirst.Duration()).After(w.Deadline):
		return refuse(r, "no endpoint is expected to start the answer before the request's deadline", refusedRetryAfter)
	default:
		return r
	}
}

// refuse returns a result without an endpoint.
func refuse(r dryrun.Result, reason string, wait time.Duration) dryrun.Result {
	r.Endpoint, r.TimeToFirst, r.Spills = "", 0, false
	r.Status, r.RetryAfter, r.Reason = http.StatusServiceUnavailable, period.Period(wait), reason
	return r
}
