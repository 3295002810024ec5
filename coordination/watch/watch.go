// Package watch watches a table of the platform and keeps a process's copy of it up to date.
package watch

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/protocol/delta"
	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/state/mirror"
)

const (
	// minRetryDelay and maxRetryDelay bound the exponential backoff while the table does not answer.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// unreachableAfter is the number of consecutive failed reads after which the table counts as unreachable.
	unreachableAfter = 2
	// maxSleep bounds the time between two checks whether the table must be read by this host.
	maxSleep = 400 * time.Millisecond
	// maxTransit is the assumed upper bound of the time that an answer takes over the network.
	maxTransit = 500 * time.Millisecond
	// minAnnouncedOutage is the shortest outage whose end is announced to other hosts: rows do not expire in a shorter one.
	minAnnouncedOutage = 2 * time.Second
	// sameRecovery is the time within which two reported recoveries of the table count as the same one.
	sameRecovery = 2 * time.Second
)

type source interface {
	// Snapshot returns all rows and the version from which changes follow.
	Snapshot(ctx context.Context) (rows []record.Record, version int64, err error)
	// Changes returns the rows changed after a version: as soon as there are any, at the latest after wait (long poll), and
	// how long ago the answer began to arrive.
	Changes(ctx context.Context, after int64, wait time.Duration) (rows []record.Record, version int64, arriving time.Duration, err error)
}

// Watcher reads a snapshot of a table and then its changes, until its context ends.
//
// After an outage, when the table's change history no longer reaches back to the version held, or when the store was
// restored from a copy, it reads a snapshot again. Updates from other hosts can replace reads while the copy is recent
// enough. Methods may be called concurrently.
type Watcher struct {
	// Name names the table in log lines.
	Name string
	// Source is the table.
	Source source
	// LongPollWait returns how long one read waits for changes (long poll); nil means not at all.
	LongPollWait func() time.Duration
	// Interval returns the interval between reads, for tables that change all the time; nil means none.
	Interval func() time.Duration
	// OnSnapshot is called with all rows after a snapshot.
	OnSnapshot func(rows []record.Record)
	// OnChanges is called with changed rows.
	OnChanges func(rows []record.Record)
	// Now returns the time.
	Now func() time.Time
	// OnRecovery is called when the table answers again after an outage, before its rows are applied, with the length of
	// the outage (zero if another host reported its end) and the time since its end; may be nil. A restore from a copy
	// counts as an outage.
	OnRecovery func(outage, ago time.Duration)
	// ReadDelay returns how long this host need not read the table yet, given the age of its copy or, while it has none
	// (known is false), the time since the start; nil means no delay.
	ReadDelay func(age time.Duration, known bool) time.Duration
	// Mirror keeps the rows to be passed on to other hosts; may be nil.
	Mirror *mirror.Mirror
	// Log takes one line when the table becomes unreachable or reachable.
	Log hclog.Logger

	mu       sync.Mutex
	version  int64
	synced   bool
	failures int
	// confirmNext is set by an answer that took long to arrive. It is used by Read only.
	confirmNext bool
	// mustRead is set when there are changes too long for other hosts to pass on.
	mustRead bool
	// confirmedAt is the latest time at which the table is known to have had the version.
	confirmedAt time.Time
	// recoveredAt is when the last outage ended.
	recoveredAt time.Time
}

// Run watches the table until ctx ends; it returns nil. If changes are no longer available, it reads a snapshot at once.
func (w *Watcher) Run(ctx context.Context) error {
	w.start()
	for ctx.Err() == nil {
		if delay := w.UntilRead(); delay > 0 {
			sleep(ctx, min(delay, maxSleep))
			continue
		}
		if err := w.Read(ctx); err != nil {
			if fault.KindOf(err) != kind.Conflict {
				sleep(ctx, w.retryDelay())
			}
			continue
		}
		if w.Interval != nil {
			sleep(ctx, w.Interval())
		}
	}
	return nil
}

func (w *Watcher) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmedAt = w.Now()
}

// UntilRead returns the time until this host must read the table.
func (w *Watcher) UntilRead() time.Duration {
	if w.ReadDelay == nil || w.readRequired() {
		return 0
	}
	// Without the mutex, as ReadDelay may call other methods of this table.
	return w.ReadDelay(w.Age())
}

// readRequired reports whether the table must be read whatever its age, because the last read failed or other hosts
// could not pass on all changes.
func (w *Watcher) readRequired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mustRead || w.failures > 0
}

// Age returns the time since the copy was last known to be current. Before the first read, known is false and age is the
// time since the start.
func (w *Watcher) Age() (age time.Duration, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Now().Sub(w.confirmedAt), w.synced
}

// Unreachable reports whether the table did not answer this host's last reads (see unreachableAfter).
func (w *Watcher) Unreachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failures >= unreachableAfter
}

// Version returns the version of the copy, zero before the first read.
func (w *Watcher) Version() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.synced {
		return 0
	}
	return w.version
}

// ChangesSince returns the changes after the version that another host has; ok is false before the first read.
func (w *Watcher) ChangesSince(since int64) (d delta.Delta, ok bool) {
	return w.Mirror.ChangesSince(since, w.Now())
}

// Read reads the changes since the version of the copy, or a snapshot if there is no copy.
func (w *Watcher) Read(ctx context.Context) error {
	sent := w.Now()
	version := w.Version()
	if version == 0 {
		rows, version, err := w.Source.Snapshot(ctx)
		return w.handleRead(rows, version, true, sent, err)
	}
	wait := w.pollWait()
	rows, version, arriving, err := w.Source.Changes(ctx, version, wait)
	if wait > 0 {
		// With a long poll the answer is made at its end, so it is as recent as the start of its arrival less the transit time.
		sent = latest(sent, w.Now().Add(-arriving-maxTransit))
	}
	w.confirmNext = wait > 0 && arriving > maxTransit
	return w.handleRead(rows, version, false, sent, err)
}

// pollWait returns how long the next read waits for changes. The read after a failed one does not wait: changes may have been
// missed, and the next answer may be lost as well. Nor does the read after an answer that took long to arrive, as the copy's age
// would have other hosts read the table too.
func (w *Watcher) pollWait() time.Duration {
	w.mu.Lock()
	failed := w.failures > 0
	w.mu.Unlock()
	if failed || w.confirmNext || w.LongPollWait == nil {
		return 0
	}
	return w.LongPollWait()
}

// handleRead applies the result of a read; at is a time at which the table had that version.
func (w *Watcher) handleRead(rows []record.Record, version int64, full bool, at time.Time, err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.recordFailure(err)
		return err
	}
	w.recordSuccess()
	w.mustRead = false
	w.recordEra(version)
	w.apply(rows, version, full, at)
	return nil
}

// Merge merges another host's update of the table and reports whether it was applied. The query for it was sent at the
// time sent, from which the update's age counts.
func (w *Watcher) Merge(d *delta.Delta, sent time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d.Version < w.version || !d.IsSnapshot() && (!w.synced || d.Since > w.version) {
		return false
	}
	if d.RowsOmitted {
		w.mustRead = true
		return false
	}
	if d.RecoveredMillis >= 0 {
		w.peerRecovery(sent.Add(-time.Duration(d.RecoveredMillis) * time.Millisecond))
	}
	age := time.Duration(d.AgeMillis) * time.Millisecond
	if w.failures > 0 && age >= minAnnouncedOutage {
		// The other host gets no answers either, so the outage is not over; its end is found by this host's own reads.
		return false
	}
	if w.failures >= unreachableAfter {
		w.Log.Info("table known again through another host", "table", w.Name, "version", d.Version, "age-ms", d.AgeMillis, "complete", d.IsSnapshot())
	}
	w.failures = 0
	w.recordEra(d.Version)
	w.apply(d.Rows, d.Version, d.IsSnapshot(), sent.Add(-age))
	return true
}

// apply applies the rows of a version, unless a newer one was applied meanwhile.
func (w *Watcher) apply(rows []record.Record, version int64, full bool, at time.Time) {
	if w.synced && version < w.version {
		return
	}
	w.version, w.synced = version, true
	w.confirmedAt = latest(w.confirmedAt, at)
	if w.Mirror != nil && full {
		w.Mirror.Replace(rows, version, at)
	} else if w.Mirror != nil {
		w.Mirror.Update(rows, version, at)
	}
	switch {
	case full:
		w.OnSnapshot(rows)
	case len(rows) > 0:
		w.OnChanges(rows)
	}
}

// recordEra reports a restore of the table from a copy as the end of an outage, if the version that is about to be applied
// shows one: rows that the copy lacks are about to be written again.
func (w *Watcher) recordEra(version int64) {
	if w.version == 0 || eras.Of(version) <= eras.Of(w.version) {
		return
	}
	now := w.Now()
	w.Log.Warn("table restored from a copy; its versions begin anew", "table", w.Name, "era", eras.Of(version), "version", eras.Local(version),
		"previous-era", eras.Of(w.version), "previous-version", eras.Local(w.version), "last-answer-ms", now.Sub(w.confirmedAt).Milliseconds())
	w.recoveredAt = now
	if w.Mirror != nil {
		w.Mirror.RecordRecovery(now)
	}
	w.notifyRecovery(0, 0)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// recordFailure counts a failed read. A snapshot is read next after an outage, or when the change history is gone
// (Conflict).
func (w *Watcher) recordFailure(err error) {
	w.synced = w.synced && fault.KindOf(err) != kind.Conflict && w.failures == 0
	if w.failures++; w.failures == unreachableAfter {
		w.Log.Warn("table unreachable; retrying", "table", w.Name, "version", w.version, "last-answer-ms", w.Now().Sub(w.confirmedAt).Milliseconds(), "error", err)
	}
}

// retryDelay returns the backoff after a failed read.
func (w *Watcher) retryDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return min(maxRetryDelay, minRetryDelay<<min(w.failures, 4))
}

// recordSuccess ends an outage, if there was one, and reports its end.
func (w *Watcher) recordSuccess() {
	now := w.Now()
	outage := now.Sub(w.confirmedAt)
	if w.failures >= unreachableAfter {
		w.Log.Info("table reachable again", "table", w.Name, "version", w.version, "outage-ms", outage.Milliseconds())
	}
	if w.failures > 0 {
		w.recoveredAt = now
		w.notifyRecovery(outage, 0)
	}
	if w.failures > 0 && w.Mirror != nil && outage >= minAnnouncedOutage {
		w.Mirror.RecordRecovery(now)
	}
	w.failures = 0
}

// peerRecovery handles another host's report that the table answers again since a time, once for each recovery.
func (w *Watcher) peerRecovery(at time.Time) {
	if !at.After(w.recoveredAt.Add(sameRecovery)) {
		return
	}
	w.recoveredAt = at
	if w.Mirror != nil {
		w.Mirror.RecordRecovery(at)
	}
	w.notifyRecovery(0, w.Now().Sub(at))
}

func (w *Watcher) notifyRecovery(outage, ago time.Duration) {
	if w.OnRecovery != nil {
		w.OnRecovery(outage, ago)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
