// Package pacer keeps the request limits of endpoints, over all entry hosts together.
package pacer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/place"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/permit"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	// askTimeout bounds one request for a permit.
	askTimeout = 250 * time.Millisecond
	// permitLifetime is the time within which a permitted request must be sent; it bounds how far permits of different
	// times bunch up at the endpoint.
	permitLifetime = 500 * time.Millisecond
	// retryWait is the time after which a host that got no answer, or one from a host that does not grant the endpoint's
	// permits, tries again.
	retryWait = 200 * time.Millisecond
	// granterTTL is how long the selection of a granter is cached.
	granterTTL = 100 * time.Millisecond
	// maxEndpoints bounds the endpoints of which state is kept; it is far above those with a limit at a time.
	maxEndpoints = 4_096
	// minWait is the shortest time after a refusal for which a host does not ask again.
	minWait = 20 * time.Millisecond
)

type peers interface {
	// Permit requests a permit from another host.
	Permit(ctx context.Context, h beat.Heartbeat, p permit.Permit) (permit.Permit, error)
}

type endpoints interface {
	// Get returns an endpoint, nil when it is not listed.
	Get(id endpt.ID) *target.Target
}

// Pacer grants and obtains permits for requests to endpoints that limit their requests.
//
// The permits of an endpoint are granted by one host, selected by rendezvous hashing, so that the limit holds however
// many hosts send requests. Hosts may disagree on the membership: of the limit, a host grants the fraction of the listed
// hosts that it takes for live, so that one that is cut off does not grant the limit a second time.
//
// All methods may be called concurrently.
type Pacer struct {
	// Self names this host.
	Self host.ID
	// Live returns the hosts that accept requests, this one included unless it is draining.
	Live func(now time.Time) []beat.Heartbeat
	// Known returns the number of hosts that are listed, whether they answer or not, this one included.
	Known func() int
	// Endpoints holds the endpoints.
	Endpoints endpoints
	// Peers reaches the other hosts.
	Peers peers
	// Now returns the time.
	Now func() time.Time
	// Log gets a line when this host begins to grant an endpoint's permits, and when another host does not answer.
	Log hclog.Logger

	mu      sync.Mutex
	buckets map[endpt.ID]*bucket
	// granters caches the selected granters for granterTTL, as a selection ranks all hosts.
	granters map[endpt.ID]granter
}

// Take obtains a permit for one request to an endpoint and reports whether it got one; none is needed while the endpoint
// names no limit. After a refusal the endpoint is held for this process, for as long as no permit is to be had.
func (p *Pacer) Take(ctx context.Context, t *target.Target) bool {
	if !t.Limit.InForce() {
		return true
	}
	answer := p.ask(ctx, t)
	now := p.Now()
	t.Limit.Merge(answer.Notice, now)
	if !answer.Granted {
		t.Limit.HoldUntil(now.Add(max(minWait, answer.Wait)))
		return false
	}
	t.Limit.AddPermit(now.Add(permitLifetime))
	return true
}

// ask requests a permit from the host that grants the endpoint's permits, which may be this one.
func (p *Pacer) ask(ctx context.Context, t *target.Target) permit.Permit {
	row := t.Row()
	now := p.Now()
	q := permit.Permit{Endpoint: row.ID}
	q.Notice, _, _ = t.LimitNotice(now)
	granter := p.granter(row.ID, now).host
	if granter.Host == p.Self {
		return p.Grant(q)
	}
	// A caller that disconnects must not break the connection between the hosts.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	answer, err := p.Peers.Permit(ctx, granter, q)
	if err != nil {
		p.Log.Info("no answer to a request for a permit", "endpoint", row.ID, "peer", granter.Host, "error", err)
		return permit.Permit{Notice: q.Notice, Wait: retryWait}
	}
	return answer
}

// granter is the host that grants an endpoint's permits.
type granter struct {
	host beat.Heartbeat
	// live is the number of live hosts.
	live int
	// at is when the granter was selected.
	at time.Time
}

// granter returns the host that grants an endpoint's permits: this one if no host is live.
func (p *Pacer) granter(id endpt.ID, now time.Time) granter {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.granters[id]; ok && now.Sub(g.at) < granterTTL {
		return g
	}
	hosts := p.Live(now)
	g := granter{host: beat.Heartbeat{Host: p.Self}, live: max(1, len(hosts)), at: now}
	highest := 0.0
	for _, h := range hosts {
		if score := place.Score(string(id), h); score > highest {
			g.host, highest = h, score
		}
	}
	if p.granters == nil || len(p.granters) >= maxEndpoints {
		p.granters = map[endpt.ID]granter{}
	}
	p.granters[id] = g
	return g
}

// Grant answers a request for a permit, of this host or of another one.
func (p *Pacer) Grant(q permit.Permit) permit.Permit {
	now := p.Now()
	t := p.Endpoints.Get(q.Endpoint)
	if t == nil || t.Row().StartMillis != q.Notice.StartMillis {
		return permit.Permit{Endpoint: q.Endpoint, Notice: q.Notice, Wait: retryWait}
	}
	t.Limit.Merge(q.Notice, now)
	answer := permit.Permit{Endpoint: q.Endpoint}
	answer.Notice, _, _ = t.LimitNotice(now)
	if !answer.Notice.InForce {
		answer.Granted = true
		return answer
	}
	g := p.granter(q.Endpoint, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.host.Host != p.Self {
		delete(p.buckets, q.Endpoint)
		answer.Wait = retryWait
		return answer
	}
	part := float64(g.live) / float64(max(g.live, p.Known()))
	answer.Granted, answer.Wait = p.bucket(q.Endpoint, q.Notice.StartMillis, now).take(part*float64(answer.Notice.PerSecond), now)
	return answer
}

// bucket returns the bucket of an endpoint's process. The caller holds p.mu.
func (p *Pacer) bucket(id endpt.ID, startMillis int64, now time.Time) *bucket {
	if b := p.buckets[id]; b != nil && b.startMillis == startMillis {
		return b
	}
	if p.buckets == nil || len(p.buckets) >= maxEndpoints {
		p.buckets = map[endpt.ID]*bucket{}
	}
	b := &bucket{startMillis: startMillis, filledAt: now}
	p.buckets[id] = b
	p.Log.Info("granting permits of an endpoint that limits its requests", "endpoint", id)
	return b
}
