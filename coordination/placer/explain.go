package placer

import (
	"context"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/dryrun"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

type explainer interface {
	// Explain returns where a host, which may be this one, would place a request at present.
	Explain(ctx context.Context, h beat.Heartbeat, t task.Task) (dryrun.Result, error)
}

// Explain returns the place that Place would return for a request, and why; ok is false if no keeper would place it. Nothing
// is placed, and a keeper that does not answer is not suspended for it.
//
// A request without a session goes to a shard that is drawn anew each time.
func (p *Placer) Explain(ctx context.Context, hosts explainer, w *work.Request, all []*target.Target) (r dryrun.Result, ok bool) {
	if w.PromptTokens == 0 || len(all) < shardEndpoints || !p.Enabled() {
		return dryrun.Result{}, false
	}
	t := p.task(w, all, nil)
	h, ok := p.keeper(shard{t.Backend, t.Shard, t.Shards}, p.Now())
	if !ok {
		return dryrun.Result{}, false
	}
	// A caller that disconnects must not break the connection between the hosts.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	r, err := hosts.Explain(ctx, h, t)
	if err != nil {
		return dryrun.Result{}, false
	}
	r.Host = h.Host
	r.Spills = r.Endpoint != "" && t.Shards > 1 && r.TimeToFirst.Duration() > time.Duration(spillFraction*float64(t.TargetLatency))
	return r, r.Endpoint != ""
}
