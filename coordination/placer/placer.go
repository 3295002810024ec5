// Package placer asks the host that keeps the ledger of a shard of endpoints to place a request.
package placer

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/ledger"
	"github.com/dragonflyroute/dragonflyroute/coordination/place"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/back"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/event"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	// shardEndpoints is the least number of endpoints that are divided into shards, and shardCapacity the least number that
	// each shard has on average if a back end has as many as it may: about twice as many as it has usually.
	shardEndpoints = 10
	shardCapacity  = 24
	// askTimeout bounds one request to a keeper. A request that is not placed by then goes where this host alone thinks best.
	askTimeout = 60 * time.Millisecond
	// suspendTime is how long a keeper that did not answer is not asked again.
	suspendTime = 500 * time.Millisecond
	// keeperTTL is how long the selection of keepers is cached.
	keeperTTL = 200 * time.Millisecond
	// maxSuspended bounds the keepers that are remembered for not answering, as hosts come and go.
	maxSuspended = 4_096
	// maxID bounds the ids of tasks; a float64 holds all integers up to it.
	maxID = 1 << 53
	// spillFraction is the fraction of the route's target latency above which the expected time to the first part of the
	// answer makes this host ask the keeper of another shard as well, and spillGain the least part of the time that the other
	// one must save.
	spillFraction = 0.5
	spillGain     = 0.25
)

type policy interface {
	// Backend returns a back end, nil when it is not known.
	Backend(name label.Name) *back.Backend
}

type peers interface {
	// Place asks another host to place a request.
	Place(ctx context.Context, h beat.Heartbeat, t task.Task) (grant.Grant, error)
	// Report tells another host what became of the requests that it placed.
	Report(ctx context.Context, h beat.Heartbeat, events []event.Event) error
}

type localLedger interface {
	Place(t task.Task) grant.Grant
	Record(events []event.Event)
}

// Placer places requests with prompts in a large fleet, in which a host sends too few requests to know the endpoints' load.
//
// The endpoints of a back end are divided into shards by hash. The keeper of a shard is the live host that ranks highest by
// rendezvous hashing; it knows what all hosts have sent there. A prompt's session decides the shard, so that its keeper also
// knows which endpoint has the prompt cached. Endpoints come and go without changing the shards of the sessions, but for the few
// that move to even the load out. All methods may be called concurrently.
type Placer struct {
	// Self names this host and DataCentre its location.
	Self       host.ID
	DataCentre centre.ID
	// Enabled reports whether requests are placed by keepers at present.
	Enabled func() bool
	// Policy returns the definitions of back ends.
	Policy policy
	// Live returns the hosts that accept requests.
	Live func(now time.Time) []beat.Heartbeat
	// Weight returns the weight of an account in a shortage of room, 0 for none; nil means that all weigh the same.
	Weight func(account acct.ID) float64
	// Ledger is this host's own.
	Ledger localLedger
	// Peers reaches the other hosts.
	Peers peers
	// Rand returns a number in [0, 1).
	Rand func() float64
	// Now returns the time.
	Now func() time.Time
	// Count adds to a counter of the process.
	Count func(name string, n int64)
	// Log gets a line when a keeper does not answer.
	Log hclog.Logger

	mu sync.Mutex
	// live holds the hosts that accept requests as known at liveAt, and keepers the keepers selected among them.
	live    []beat.Heartbeat
	liveAt  time.Time
	keepers map[shard]beat.Heartbeat
	// suspended is when each keeper that did not answer is asked again.
	suspended map[host.ID]time.Time
	outboxes  map[host.ID]*outbox
	wake      chan struct{}
}

// shard names one shard of a back end's endpoints.
type shard struct {
	backend label.Name
	n, of   int
}

// Place returns the place of a request at one of a back end's endpoints; ok is false if no keeper has decided on it. While the
// keeper has it held, Place waits and asks again. A grant with RetryAfter refuses it.
func (p *Placer) Place(ctx context.Context, w *work.Request, all []*target.Target, excluded []endpt.ID) (g grant.Grant, ok bool) {
	if w.PromptTokens == 0 || len(all) < shardEndpoints || !p.Enabled() {
		return grant.Grant{}, false
	}
	t := p.task(w, all, excluded)
	started := p.Now()
	g, ok = p.place(ctx, t, all)
	if g.Wait > 0 {
		p.Count(fmt.Sprintf("requests_held_priority_%d_total", w.Priority), 1)
	}
	for ok && g.Wait > 0 {
		pause(ctx, g.Wait)
		if ctx.Err() != nil {
			g = grant.Grant{RetryAfter: g.Wait}
			break
		}
		now := p.Now()
		t.Waited, t.Left = now.Sub(started), w.Deadline.Sub(now)
		g, ok = p.place(ctx, t, all)
	}
	p.count(w, g, ok)
	return g, ok
}

// task returns the task to place a request in the shard of its session.
func (p *Placer) task(w *work.Request, all []*target.Target, excluded []endpt.ID) task.Task {
	shards := p.shardCount(w.Backend, len(all))
	t := task.Task{
		Backend: w.Backend, Shard: p.shardOf(w.SessionHash(), all, shards), Shards: shards, DataCentre: p.DataCentre, Account: w.Account,
		Priority: w.Priority, TargetLatency: w.Route.TargetLatency, Left: w.Deadline.Sub(p.Now()), Excluded: excluded,
	}
	if p.Weight != nil {
		t.Weight = p.Weight(w.Account)
	}
	t.SetPrompt(w)
	return t
}

// count counts what became of a request.
func (p *Placer) count(w *work.Request, g grant.Grant, ok bool) {
	switch {
	case !ok:
		p.Count("placements_failed_total", 1)
	case g.RetryAfter > 0:
		p.Count(fmt.Sprintf("requests_refused_priority_%d_total", w.Priority), 1)
	default:
		p.Count("placements_total", 1)
	}
}

// place asks the keeper of a task's shard, and that of another one if the answer would begin late or there is no room.
func (p *Placer) place(ctx context.Context, t task.Task, all []*target.Target) (g grant.Grant, ok bool) {
	if g, ok = p.ask(ctx, t); !ok {
		return g, false
	}
	if t.Shards > 1 && (g.Endpoint == "" || g.TimeToFirst > time.Duration(spillFraction*float64(t.TargetLatency))) {
		g = p.spill(ctx, g, t, all)
	}
	return g, true
}

// spill asks the keeper of another shard as well, and returns the better of the two grants.
func (p *Placer) spill(ctx context.Context, first grant.Grant, t task.Task, all []*target.Target) grant.Grant {
	next := ledger.Shard(all[int(p.Rand()*float64(len(all)))].Hash(), t.Shards)
	if next == t.Shard {
		next = (next + 1) % t.Shards
	}
	t.Shard, t.Events, t.Spilled = next, nil, true
	t.Donor, t.DonorUncached = first.Endpoint, first.PrefillTokens
	if first.Donor != "" {
		t.Donor = first.Donor
	}
	second, ok := p.ask(ctx, t)
	if !ok || second.Endpoint == "" {
		return first
	}
	if first.Endpoint == "" || second.TimeToFirst < time.Duration((1-spillGain)*float64(first.TimeToFirst)) {
		first, second = second, first
		p.Count("placements_spilled_total", 1)
	}
	p.Ended(second, false)
	return first
}

// shardCount returns the number of a back end's shards, a power of two. It follows from the configuration where that says how many
// endpoints there may be, so that all hosts agree on it while endpoints come and go.
func (p *Placer) shardCount(backend label.Name, endpoints int) int {
	capacity := 2 * endpoints
	if b := p.Policy.Backend(backend); b != nil && b.Autoscaled {
		capacity = b.MaxEndpoints * len(b.OnDemandPrices)
	}
	n := 1
	for 2*n*shardCapacity <= capacity {
		n *= 2
	}
	return n
}

// shardOf returns the shard that ranks highest for a session by rendezvous hashing, weighted by the endpoints that may get
// requests, and that of a random endpoint without a session.
func (p *Placer) shardOf(session uint64, all []*target.Target, shards int) int {
	if session == 0 {
		return ledger.Shard(all[int(p.Rand()*float64(len(all)))].Hash(), shards)
	}
	weights := make([]float64, shards)
	for _, t := range all {
		if !t.Leaving() && !t.Evacuated() {
			weights[ledger.Shard(t.Hash(), shards)]++
		}
	}
	best, highest := 0, 0.0
	for i, weight := range weights {
		if score := -weight / math.Log(uniform(session, i)); score > highest {
			best, highest = i, score
		}
	}
	return best
}

// uniform returns a number in (0, 1) that depends on a session and a shard only.
func uniform(session uint64, shard int) float64 {
	key := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, session), uint64(shard))
	return (float64(xxhash.Sum64(key)>>11) + 0.5) / (1 << 53)
}

// ask asks the keeper of a task's shard; ok is false if it has not decided.
func (p *Placer) ask(ctx context.Context, t task.Task) (g grant.Grant, ok bool) {
	now := p.Now()
	h, ok := p.keeper(shard{t.Backend, t.Shard, t.Shards}, now)
	if !ok {
		return grant.Grant{}, false
	}
	t.ID = p.newID()
	if h.Host == p.Self {
		g = p.Ledger.Place(t)
		g.Keeper = h
		return g, g.Decided()
	}
	t.Events = p.takeEvents(h.Host)
	// A caller that disconnects must not break the connection between the hosts.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	g, err := p.Peers.Place(ctx, h, t)
	if err != nil {
		p.suspend(h, now, err)
		p.retract(h, t)
		return grant.Grant{}, false
	}
	p.recordAnswer(h)
	g.Keeper = h
	return g, g.Decided()
}

// keeper returns the keeper of a shard; ok is false while the keeper does not answer.
func (p *Placer) keeper(s shard, now time.Time) (h beat.Heartbeat, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.keepers == nil || now.Sub(p.liveAt) >= keeperTTL {
		p.live, p.liveAt = p.Live(now), now
		p.keepers = map[shard]beat.Heartbeat{}
	}
	h, ok = p.keepers[s]
	if !ok {
		h = s.keeperOf(p.live)
		p.keepers[s] = h
	}
	return h, h.Host != "" && !now.Before(p.suspended[h.Host])
}

// keeperOf returns the host that ranks highest for a shard, a zero one if there is none.
func (s shard) keeperOf(hosts []beat.Heartbeat) (best beat.Heartbeat) {
	key := fmt.Sprintf("%s\x00%d\x00%d", s.backend, s.n, s.of)
	highest := 0.0
	for _, h := range hosts {
		if score := place.Score(key, h); score > highest {
			best, highest = h, score
		}
	}
	return best
}

// newID returns a random id for a task.
func (p *Placer) newID() int64 { return 1 + int64(p.Rand()*maxID) }

// suspend records that a keeper did not answer. Only the first time since its last answer is logged, as hosts of an earlier
// version answer no request for a place.
func (p *Placer) suspend(h beat.Heartbeat, now time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspended == nil || len(p.suspended) >= maxSuspended {
		p.suspended = map[host.ID]time.Time{}
	}
	if _, known := p.suspended[h.Host]; !known {
		p.Log.Info("no answer to a request for a place", "keeper", h.Host, "error", err)
	}
	p.suspended[h.Host] = now.Add(suspendTime)
}

// recordAnswer records that a keeper answers.
func (p *Placer) recordAnswer(h beat.Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.suspended, h.Host)
}
