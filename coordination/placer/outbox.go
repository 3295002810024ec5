package placer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/event"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
)

const (
	// batchTime is how long events wait for others to the same keeper.
	batchTime = 10 * time.Millisecond
	// maxEvents bounds the events that wait for one keeper, and eventTTL how long they are sent again to one that does not
	// answer; others are dropped, as the keeper's own bounds end the requests.
	maxEvents = 1_024
	eventTTL  = 10 * time.Second
)

// outbox holds the events that wait for one keeper; the oldest is from since.
type outbox struct {
	keeper beat.Heartbeat
	events []event.Event
	since  time.Time
}

// Begun reports that the answer to a placed request began, first after it was sent, and how slow its endpoint was then: a
// multiple of the usual time, 0 when it is not known.
func (p *Placer) Begun(g grant.Grant, first time.Duration, slowness float64) {
	p.report(g, event.Event{Grant: g.ID, Begun: true, First: first, Slowness: slowness})
}

// Ended reports that an endpoint no longer works on a placed request, or never got it.
func (p *Placer) Ended(g grant.Grant, failed bool) {
	// This host has counted the failure itself, in the same endpoint state that its ledger uses.
	failed = failed && g.Keeper.Host != p.Self
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
	p.queue(outbox{keeper: g.Keeper, events: []event.Event{e}, since: p.Now()})
}

// retract ends a task to which there was no answer, as its keeper may have placed it, and queues its events again. Keepers
// ignore the repetition of an event.
func (p *Placer) retract(h beat.Heartbeat, t task.Task) {
	p.queue(outbox{keeper: h, events: append(t.Events, event.Event{Grant: t.ID, Ended: true}), since: p.Now()})
}

// queue adds events to those that wait for their keeper, and wakes Run.
func (p *Placer) queue(added outbox) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.outboxes[added.keeper.Host]
	if o == nil {
		o = &outbox{since: added.since}
		if p.outboxes == nil {
			p.outboxes = map[host.ID]*outbox{}
		}
		p.outboxes[added.keeper.Host] = o
	}
	if added.since.Before(o.since) {
		o.since = added.since
	}
	o.keeper = added.keeper
	room := maxEvents - len(o.events)
	o.events = append(o.events, added.events[:min(len(added.events), room)]...)
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
	delete(p.outboxes, id)
	return o.events
}

// Run sends events to keepers until ctx ends, and then those that still wait.
func (p *Placer) Run(ctx context.Context) error {
	p.mu.Lock()
	wake := p.waker()
	p.mu.Unlock()
	retry := time.NewTicker(suspendTime)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			p.Flush(ctx)
			return nil
		case <-retry.C:
		case <-wake:
			pause(ctx, batchTime)
		}
		p.Flush(ctx)
	}
}

// Flush sends all waiting events, except to keepers that did not answer lately. It ends soon, also if ctx has ended.
func (p *Placer) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	var g errgroup.Group
	for _, o := range p.takeAll(p.Now()) {
		g.Go(func() error {
			if err := p.Peers.Report(ctx, o.keeper, o.events); err != nil {
				p.suspend(o.keeper, p.Now(), err)
				p.queue(o)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// takeAll takes the events that wait for each keeper that is not suspended, and drops those that have waited too long.
func (p *Placer) takeAll(now time.Time) (out []outbox) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, o := range p.outboxes {
		switch {
		case now.Sub(o.since) > eventTTL:
			delete(p.outboxes, id)
		case !now.Before(p.suspended[id]):
			out = append(out, *o)
			delete(p.outboxes, id)
		}
	}
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
