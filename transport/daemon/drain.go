package daemon

import (
	"context"
	"time"
)

const drainPoll = 50 * time.Millisecond

// drain ends the process's work without losing any of it.
//
// Peers and the platform's list are told first, and leases are released so that others take the roles at once;
// callers with older address answers are served until those run out; then streams are handed to peers, and what is
// left after the bound is handed over too.
func (d *Daemon) drain(ctx context.Context) {
	d.Log.Info("draining", "running", d.runs.Running())
	ctx, cancel := context.WithTimeout(ctx, d.Settings.Intervals.Drain.Of())
	defer cancel()
	d.heart.mu.Lock()
	d.heart.leaving = true
	d.heart.mu.Unlock()
	d.front.Drain()
	d.join(ctx)
	d.leases.Close(ctx)
	d.spread.Round(ctx)
	wait(ctx, d.Settings.Intervals.KeepAnswer.Of(), func() bool { return false })
	d.front.Migrate(false)
	bound := d.Settings.Intervals.Drain.Of()/2 - d.Settings.Intervals.KeepAnswer.Of()
	wait(ctx, bound, d.idle)
	d.front.Migrate(true)
	wait(ctx, d.Settings.Intervals.Drain.Of(), d.idle)
	wait(ctx, d.Settings.Intervals.Drain.Of(), func() bool { return d.ledger.PendingOutcomes() == 0 })
	d.Log.Info("drained", "running", d.runs.Running(), "pending-records", d.ledger.PendingOutcomes())
}

func (d *Daemon) idle() bool { return d.front.InFlight() == 0 }

// wait returns when done reports true, after the given time, or when ctx ends.
func wait(ctx context.Context, atMost time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, atMost)
	defer cancel()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
