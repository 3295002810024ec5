package daemon

import (
	"context"
	"time"
)

// drainPoll is the interval at which the conditions of a drain are checked.
const drainPoll = 50 * time.Millisecond

// drain shuts the process down gracefully, without losing requests.
//
// The leaving state goes to the platform's host list and to the peers first, and the leases are released so that other
// processes acquire them at once. Callers with cached addresses are served until those expire. Streams are then
// migrated to peers, and at half of the drain timeout all other requests too.
func (d *Daemon) drain(ctx context.Context) {
	d.Log.Info("draining", "running", d.runs.Running())
	ctx, cancel := context.WithTimeout(ctx, d.Settings.Intervals.DrainTimeout.Duration())
	defer cancel()
	d.heartbeat.mu.Lock()
	d.heartbeat.leaving = true
	d.heartbeat.mu.Unlock()
	d.front.Drain()
	d.register(ctx)
	d.leases.Close(ctx)
	d.gossip.Round(ctx)
	wait(ctx, d.Settings.Intervals.AddressTTL.Duration(), func() bool { return false })
	d.front.Migrate(false)
	bound := d.Settings.Intervals.DrainTimeout.Duration()/2 - d.Settings.Intervals.AddressTTL.Duration()
	wait(ctx, bound, d.idle)
	d.front.Migrate(true)
	wait(ctx, d.Settings.Intervals.DrainTimeout.Duration(), d.idle)
	wait(ctx, d.Settings.Intervals.DrainTimeout.Duration(), func() bool { return d.ledger.PendingOutcomes() == 0 })
	d.Log.Info("drained", "running", d.runs.Running(), "pending-records", d.ledger.PendingOutcomes())
}

// idle reports whether no request of a caller is in flight.
func (d *Daemon) idle() bool { return d.front.InFlight() == 0 }

// wait returns when done reports true, after timeout, or when ctx ends.
func wait(ctx context.Context, timeout time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
