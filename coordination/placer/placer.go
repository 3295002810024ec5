// Package placer asks the host that keeps the ledger of a shard of endpoints to place a request.
package placer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/coordination/ledger"
	"github.com/dragonflyroute/dragonflyroute/coordination/place"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
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
	// shardEndpoints is the least average number of endpoints in a shard: enough for one of them to be free.
	shardEndpoints = 10
	// askTimeout bounds one request to a keeper. A request that is not placed by then goes where this host alone thinks best.
	askTimeout = 60 * time.Millisecond
	// suspendTime is how long a keeper that did not answer is not asked again.
	suspendTime = 500 * time.Millisecond
	// keeperTTL is how long the selection of a shard's keeper is cached.
	keeperTTL = 200 * time.Millisecond
	// spillFraction is the fraction of the route's target latency above which the expected time to the first part of the
	// answer makes this host ask the keeper of another shard as well, and spillGain the least part of the time that the other
	// one must save.
	spillFraction = 0.5
	spillGain     = 0.25
	// batchTime is how long events wait for others to the same keeper.
	batchTime = 10 * time.Millisecond
	// maxEvents bounds the events that wait for one keeper; more are dropped, as the keeper's own bounds end the requests.
	maxEvents = 1_024
)

type peers interface {
	// Place asks another host to place a request.
	Place(ctx context.Context, h beat.Heartbeat, t task.Task) (grant.Grant, error)
	// Report tells another host what became of the requests that it placed.
	Report(ctx context.Context, h beat.Heartbeat, events []event.Event) error
}

type keeper interface {
	Place(t task.Task) grant.Grant
	Record(events []event.Event)
}

// Placer places requests with prompts in a large fleet, in which a host sends too few requests to know the endpoints' load.
//
// The endpoints of a back end are divided into shards by hash. The keeper of a shard is the live host that ranks highest by
// rendezvous hashing; it knows what all hosts have sent there. A prompt's session decides the shard, so that its keeper also
// knows which endpoint has the prompt cached. All methods may be called concurrently.
type Placer struct {
	// Self names this host and DataCentre its location.
	Self       host.ID
	DataCentre centre.ID
	// Enabled reports whether requests are placed by keepers at present.
	Enabled func() bool
	// Live returns the hosts that accept requests.
	Live func(now time.Time) []beat.Heartbeat
	// Weight returns the weight of an account in a shortage of room, 0 for none; nil means that all weigh the same.
	Weight func(account acct.ID) float64
	// Ledger is this host's own.
	Ledger keeper
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

	mu      sync.Mutex
	keepers map[shard]selected
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

// selected is the keeper of a shard as selected at a time.
type selected struct {
	host beat.Heartbeat
	at   time.Time
}

// outbox holds the events that wait for one keeper.
type outbox struct {
	keeper beat.Heartbeat
	events []event.Event
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
	t := task.Task{
		Backend: w.Backend, Shards: shardCount(len(all)), DataCentre: p.DataCentre, Account: w.Account, Priority: w.Priority,
		TargetLatency: w.Route.TargetLatency, Left: w.Deadline.Sub(p.Now()), Excluded: excluded,
	}
	if p.Weight != nil {
		t.Weight = p.Weight(w.Account)
	}
	t.SetPrompt(w)
	t.Shard = ledger.Shard(home(all, w.SessionHash(), p.Rand).Hash(), t.Shards)
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

// shardCount returns the number of shards, a power of two so that it seldom changes.
func shardCount(endpoints int) int {
	n := 1
	for 2*n*shardEndpoints <= endpoints {
		n *= 2
	}
	return n
}

// home returns the endpoint that ranks highest for a session by rendezvous hashing, a random one without a session.
func home(all []*target.Target, session uint64, random func() float64) *target.Target {
	if session == 0 {
		return all[int(random()*float64(len(all)))]
	}
	best, highest := all[0], uint64(0)
	for _, t := range all {
		if rank := mix(t.Hash() ^ session); rank > highest {
			best, highest = t, rank
		}
	}
	return best
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// ask asks the keeper of a task's shard; ok is false if it has not decided.
func (p *Placer) ask(ctx context.Context, t task.Task) (g grant.Grant, ok bool) {
	now := p.Now()
	h, ok := p.keeper(shard{t.Backend, t.Shard, t.Shards}, now)
	if !ok {
		return grant.Grant{}, false
	}
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
		return grant.Grant{}, false
	}
	g.Keeper = h
	return g, g.Decided()
}

// keeper returns the keeper of a shard; ok is false while the keeper does not answer.
func (p *Placer) keeper(s shard, now time.Time) (h beat.Heartbeat, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k, cached := p.keepers[s]
	if !cached || now.Sub(k.at) >= keeperTTL {
		k = selected{host: p.rank(s, now), at: now}
		if p.keepers == nil {
			p.keepers = map[shard]selected{}
		}
		p.keepers[s] = k
	}
	return k.host, k.host.Host != "" && !now.Before(p.suspended[k.host.Host])
}

// rank returns the live host that ranks highest for a shard, a zero one if none is live.
func (p *Placer) rank(s shard, now time.Time) (best beat.Heartbeat) {
	key := string(s.backend) + "\x00" + string(rune('0'+s.n)) + "\x00" + string(rune('0'+s.of))
	highest := 0.0
	for _, h := range p.Live(now) {
		if score := place.Score(key, h); score > highest {
			best, highest = h, score
		}
	}
	return best
}

func (p *Placer) suspend(h beat.Heartbeat, now time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspended == nil {
		p.suspended = map[host.ID]time.Time{}
	}
	if !now.Before(p.suspended[h.Host]) {
		p.Log.Info("no answer to a request for a place", "keeper", h.Host, "error", err)
	}
	p.suspended[h.Host] = now.Add(suspendTime)
}

// Begun reports that the answer to a placed request began, first after it was sent, and how slow its endpoint was then: a
// multiple of the usual time, 0 when it is not known.
func (p *Placer) Begun(g grant.Grant, first time.Duration, slowness float64) {
	p.report(g, event.Event{Grant: g.ID, Begun: true, First: first, Slowness: slowness})
}

// Ended reports that an endpoint no longer works on a placed request, or never got it.
func (p *Placer) Ended(g grant.Grant, failed bool) {
	p.report(g, event.Event{Grant: g.ID, Ended: true, Failed: failed})
}

func (p *Placer) report(g grant.Grant, e event.Event) {
	if g.ID == 0 {
		return
	}
	if g.Keeper.Host == p.Self {
		p.Ledger.Record([]event.Event{e})
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.outboxes[g.Keeper.Host]
	if o == nil {
		o = &outbox{keeper: g.Keeper}
		if p.outboxes == nil {
			p.outboxes = map[host.ID]*outbox{}
		}
		p.outboxes[g.Keeper.Host] = o
	}
	if len(o.events) < maxEvents {
		o.events = append(o.events, e)
	}
	select {
	case p.waker() <- struct{}{}:
	default:
	}
}

// waker returns the channel that wakes Run. The caller holds p.mu.
func (p *Placer) waker() chan struct{} {
	if p.wake == nil {
		p.wake = make(chan struct{}, 1)
	}
	return p.wake
}

// takeEvents takes the events that wait for a keeper.
func (p *Placer) takeEvents(id host.ID) []event.Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.outboxes[id]
	if o == nil {
		return nil
	}
	events := o.events
	o.events = nil
	return events
}

// Run sends events to keepers until ctx ends.
func (p *Placer) Run(ctx context.Context) error {
	p.mu.Lock()
	wake := p.waker()
	p.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		}
		pause(ctx, batchTime)
		p.Flush(ctx)
	}
}

// Flush sends all waiting events.
func (p *Placer) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var g errgroup.Group
	for _, o := range p.takeAll() {
		g.Go(func() error {
			if err := p.Peers.Report(ctx, o.keeper, o.events); err != nil {
				p.suspend(o.keeper, p.Now(), err)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// takeAll takes the events that wait for each keeper.
func (p *Placer) takeAll() (out []outbox) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.outboxes {
		if len(o.events) > 0 {
			out = append(out, *o)
		}
	}
	p.outboxes = nil
	return out
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
