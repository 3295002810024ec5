// Package poison keeps requests whose prompt crashes endpoints from further endpoints.
package poison

import (
	"context"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/ending"
	"github.com/dragonflyroute/dragonflyroute/protocol/result"
	"github.com/dragonflyroute/dragonflyroute/protocol/ruling"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/blame"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	// begunWeight is how likely a request caused its endpoint's crash if its response had just begun. It is lesserWeight if
	// its response had not begun, or if the endpoint accepts connections again.
	begunWeight  = 1.0
	lesserWeight = 0.5
	// soundAfter is the time from the first part of an answer after which its request did not cause a crash.
	soundAfter = time.Second
	// decideInterval is the time between checks of whether a part is to be blocked.
	decideInterval = 200 * time.Millisecond
	// maxChecks bounds the endpoints that are checked at once, and maxWaiting the crashes that wait for a check.
	maxChecks  = 8
	maxWaiting = 256
	// startWait is how long a restarted process refuses prompts with shared parts until it has heard which are blocked.
	startWait = 3 * time.Second
	// startRetryAfter is the time after which such a request is worth a retry.
	startRetryAfter = 200 * time.Millisecond
	// saveRetryInterval is the time between attempts to store a decision.
	saveRetryInterval = 300 * time.Millisecond
)

// Guard decides for one process which requests are not sent because a part of their prompt crashes endpoints.
//
// All methods may be called concurrently.
type Guard struct {
	// Blame holds what is known of prompt parts.
	Blame *blame.Blame
	// Alive reports whether an endpoint's process still accepts connections at an address.
	Alive func(ctx context.Context, address string) bool
	// Known reports whether the process has read the stored decisions, and Started is when it started, the zero time if
	// the whole system started then, so that there are none.
	Known   func() bool
	Started time.Time
	// MayProbe reports whether this process may test a blocked part whose test is overdue by a time. At first one process of
	// the fleet may, then more of them, as it may get no such request.
	MayProbe func(hash uint64, overdue time.Duration) bool
	// Save writes the decision on a part to the store, or deletes it if none is in force.
	Save func(ctx context.Context, hash uint64, r ruling.Ruling) error
	// Now returns the time.
	Now func() time.Time
	// Count adds to a counter of the process.
	Count func(name string, n int64)
	// Log receives a line for each crash and each decision.
	Log hclog.Logger

	broken  chan broken
	changed chan uint64
}

// broken is an attempt that its endpoint broke off.
type broken struct {
	endpoint *target.Target
	// process identifies the endpoint's process at the attempt, and address is where it accepted connections.
	process, address string
	request          *work.Request
	weight           float64
	at               time.Time
}

// Prepare creates the queues; call it before any other method.
func (g *Guard) Prepare() {
	g.broken = make(chan broken, maxWaiting)
	g.changed = make(chan uint64, maxWaiting)
}

// The reasons of refusals.
const (
	reasonCrashes = "a part of the prompt has crashed endpoints"
	reasonUnknown = "it is not known yet which prompts crash endpoints"
)

// Admit returns an empty reason if a request may be sent at present, and otherwise why not and the time until it may be
// worth a retry.
func (g *Guard) Admit(w *work.Request) (wait time.Duration, reason string) {
	if len(w.Shared) == 0 {
		return 0, ""
	}
	now := g.Now()
	if now.Sub(g.Started) < startWait && !g.Known() {
		return startRetryAfter, reasonUnknown
	}
	if wait, ok := g.Blame.Admit(w.Shared, g.MayProbe, now); !ok {
		return wait, reasonCrashes
	}
	return 0, ""
}

// Begin is Admit for an attempt that is about to be made.
func (g *Guard) Begin(w *work.Request) (wait time.Duration, reason string) {
	if len(w.Shared) == 0 {
		return 0, ""
	}
	tested, wait, ok := g.Blame.Begin(w.Shared, g.MayProbe, g.Now())
	if !ok {
		return wait, reasonCrashes
	}
	for _, hash := range tested {
		g.Log.Info("request tests a prompt part that has crashed endpoints", "part", name(hash), "id", w.ID)
		g.store(hash)
	}
	return 0, ""
}

// Ended records the result of an attempt; begun is when the first part of its answer arrived, zero if none did.
func (g *Guard) Ended(w *work.Request, t *target.Target, r result.Result, begun time.Time) {
	if len(w.Shared) == 0 && !t.Warmup.Limits() {
		return
	}
	now := g.Now()
	streamed := r.LastEventID != "" || r.Ending == ending.Truncated
	switch {
	case r.Ending == ending.Delivered && r.Status/100 == 2 && !begun.IsZero() && !r.Broken:
		g.answered(w, now)
	case streamed && !begun.IsZero() && now.Sub(begun) > soundAfter:
		g.answered(w, begun.Add(soundAfter))
	case r.Broken && !t.Leaving():
		row := t.Row()
		process := string(row.ID) + "@" + strconv.FormatInt(row.StartMillis, 10)
		g.suspect(broken{endpoint: t, process: process, address: row.Address, request: w, weight: weight(r, begun), at: now})
	}
}

// weight returns how likely a request caused the crash that ended its attempt.
func weight(r result.Result, begun time.Time) float64 {
	if r.Status/100 == 2 && (begun.IsZero() || r.Ending == ending.Unknown || r.Ending == ending.Delivered) {
		return begunWeight
	}
	return lesserWeight
}

// answered records an answer, which ends the block of its parts.
func (g *Guard) answered(w *work.Request, at time.Time) {
	for _, hash := range g.Blame.Answered(w.Shared, at) {
		g.Log.Info("prompt part was answered; its requests are sent again", "part", name(hash), "id", w.ID)
		g.store(hash)
	}
}

// Restore records a decision on a part that was read from the store. It reports false if this process knows that the decision
// has ended, and then has its row removed: a write that the store carried out late has brought it back.
func (g *Guard) Restore(hash uint64, r ruling.Ruling) bool {
	if g.Blame.Restore(hash, r, g.Now()) {
		return true
	}
	g.store(hash)
	return false
}

// suspect queues an endpoint for a check of whether it has crashed. With a full queue, the crash is not counted.
func (g *Guard) suspect(b broken) {
	select {
	case g.broken <- b:
	default:
		g.Count("unchecked_crashes_total", 1)
	}
}

// store queues a part whose decision must be written to the store. The queue is longer than the decisions of a day;
// beyond that the other hosts learn of one from this host only.
func (g *Guard) store(hash uint64) {
	select {
	case g.changed <- hash:
	default:
		g.Log.Error("too many decisions on prompt parts wait for the store; this one is not stored", "part", name(hash))
	}
}

// Run checks endpoints, decides and stores decisions until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	var tasks errgroup.Group
	tasks.Go(func() error {
		g.checkLoop(ctx)
		return nil
	})
	tasks.Go(func() error {
		g.saveLoop(ctx)
		return nil
	})
	return tasks.Wait()
}

// checkLoop checks the endpoints that broke off an attempt, and decides on the parts of those that crashed.
func (g *Guard) checkLoop(ctx context.Context) {
	var checks errgroup.Group
	checks.SetLimit(maxChecks)
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = checks.Wait()
			return
		case b := <-g.broken:
			checks.Go(func() error {
				g.check(ctx, b)
				return nil
			})
		case <-ticker.C:
			g.decide()
		}
	}
}

// check records a crash if an endpoint no longer accepts connections, and that the endpoint may be restarted: processes back
// off from it, so that none may try it while it is down. One that does accept them may have lost one answer only, or have
// started again; only a request whose response had just begun counts then, and less.
func (g *Guard) check(ctx context.Context, b broken) {
	if b.endpoint.Leaving() {
		return
	}
	alive := g.Alive(ctx, b.address)
	if !alive && b.endpoint.Warmup.Refused(g.Now()) {
		g.Log.Info("endpoint accepts no connections after it broke off a request; it may be cold when it does again", "endpoint", b.endpoint.Row().ID)
	}
	if len(b.request.Shared) == 0 {
		return
	}
	if alive && b.weight < begunWeight {
		return
	}
	if alive {
		b.weight = lesserWeight
	}
	g.Blame.Crashed(b.request.Shared, b.process, b.weight, b.at)
	g.Count("crashed_attempts_total", 1)
	g.Log.Info("endpoint crashed during a request", "endpoint", b.endpoint.Row().ID, "id", b.request.ID, "weight", b.weight, "accepts-connections", alive)
	g.decide()
}

// decide blocks the parts whose crashes call for it, and ends the blocks that have expired.
func (g *Guard) decide() {
	now := g.Now()
	blocked, lifted := g.Blame.Decide(now)
	for _, hash := range blocked {
		r := g.Blame.Ruling(hash)
		g.Log.Warn("prompt part crashes endpoints; its requests are refused", "part", name(hash), "strikes", r.Strikes, "next-test-ms", r.ProbeAt.Sub(now).Milliseconds())
		g.Count("blocked_parts_total", 1)
		g.store(hash)
	}
	for _, hash := range lifted {
		g.Log.Info("prompt part was not tested for long; its requests are sent again", "part", name(hash))
		g.store(hash)
	}
}

// saveLoop stores decisions, and retries each until the store takes it.
func (g *Guard) saveLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case hash := <-g.changed:
			g.save(ctx, hash)
		}
	}
}

func (g *Guard) save(ctx context.Context, hash uint64) {
	for ctx.Err() == nil {
		err := g.Save(ctx, hash, g.Blame.Ruling(hash))
		if err == nil {
			return
		}
		g.Log.Warn("decision on a prompt part not stored; retrying", "part", name(hash), "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(saveRetryInterval):
		}
	}
}

// name returns the name of a part in logs.
func name(hash uint64) string { return strconv.FormatUint(hash, 16) }
