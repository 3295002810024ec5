// Package follow keeps a process's view of a table up to date.
package follow

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/news"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/state/mirror"
)

const (
	// minRetryDelay and mostRetry bound the time between tries while the table does not answer.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// unreachableAfter is the number of failed tries in a row after which the table counts as lost.
	unreachableAfter = 2
	// maxSleep is the longest time without a look whether the table must be read here after all.
	maxSleep = 400 * time.Millisecond
	// maxTransit is the longest time that an answer is taken to have been on its way.
	maxTransit = 500 * time.Millisecond
	// minAnnouncedOutage is the length of an outage from which other hosts are told of its end: rows do not lapse in a shorter one.
	minAnnouncedOutage = 2 * time.Second
	// sameRecovery is the time within which two hosts' words of a return of the table are of the same one.
	sameRecovery = 2 * time.Second
)

type source interface {
	// Snapshot returns all rows and the version from which changes follow.
	Snapshot(ctx context.Context) (rows []record.Record, version int64, err error)
	// Changes returns what changed after a version, as soon as something did or after wait.
	Changes(ctx context.Context, after int64, wait time.Duration) (rows []record.Record, version int64, err error)
}

// Follow reads a table once and then its changes, until its context ends.
//
// After an outage, or when the history is gone, it reads the whole table again. Other hosts' word of the table may stand in
// for reads, as long as the view is young enough. Methods may be called concurrently.
type Follow struct {
	// Name names the table in log lines.
	Name string
	// Source is the table.
	Source source
	// Wait returns how long one read waits for changes; nil is no time.
	Wait func() time.Duration
	// Pause returns the time between reads, for tables that change all the time; nil is no time.
	Pause func() time.Duration
	// Whole takes all rows.
	Whole func(rows []record.Record)
	// Changed takes changed rows.
	Changed func(rows []record.Record)
	// Now returns the time.
	Now func() time.Time
	// Regained is told when the table answers again after an outage, before its rows are taken, and how long ago it did;
	// nil is not told.
	Regained func(outage, ago time.Duration)
	// Rest returns how long the table need not be read here while the view of it has an age, or, while there is no view,
	// that time after the start; nil is no time.
	Rest func(age time.Duration, known bool) time.Duration
	// Mirror keeps the table for other hosts; nil keeps nothing.
	Mirror *mirror.Mirror
	// Log takes a line when the table is lost or regained.
	Log hclog.Logger

	mu       sync.Mutex
	version  int64
	synced   bool
	failures int
	// mustRead tells that there are changes which only a read can bring.
	mustRead bool
	// confirmedAt is a time at which the table is known to have had the version.
	confirmedAt time.Time
	// recoveredAt is when the table answered again after the last outage.
	recoveredAt time.Time
}

// Run follows the table until ctx ends.
func (f *Follow) Run(ctx context.Context) error {
	f.start()
	for ctx.Err() == nil {
		if rest := f.Due(); rest > 0 {
			sleep(ctx, min(rest, maxSleep))
			continue
		}
		if err := f.Read(ctx); err != nil {
			sleep(ctx, f.retryDelay())
			continue
		}
		if f.Pause != nil {
			sleep(ctx, f.Pause())
		}
	}
	return nil
}

func (f *Follow) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt = f.Now()
}

// Due returns the time until the table must be read here.
func (f *Follow) Due() time.Duration {
	if f.Rest == nil || f.readRequired() {
		return 0
	}
	// Rest may ask this table in turn.
	return f.Rest(f.Age())
}

// readRequired reports whether the table must be read whatever its age: the last read failed, or there is more than was told.
func (f *Follow) readRequired() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mustRead || f.failures > 0
}

// Age returns the time since the table is known to have been as it is seen here; before the first read, when known is
// false, it is the time since the start.
func (f *Follow) Age() (age time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Now().Sub(f.confirmedAt), f.synced
}

// Lost reports whether the table did not answer this host the last times.
func (f *Follow) Lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures >= unreachableAfter
}

// Version returns the version that the view has, nought before the first read.
func (f *Follow) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.synced {
		return 0
	}
	return f.version
}

// News returns what changed after the version that another host has; ok is false while the table is not known.
func (f *Follow) News(have int64) (n news.News, ok bool) { return f.Mirror.News(have, f.Now()) }

// Read reads what changed, or the whole table when that is not known.
func (f *Follow) Read(ctx context.Context) error {
	sent := f.Now()
	version := f.Version()
	if version == 0 {
		rows, version, err := f.Source.Snapshot(ctx)
		return f.handleRead(rows, version, true, sent, err)
	}
	wait := time.Duration(0)
	if f.Wait != nil {
		wait = f.Wait()
	}
	rows, version, err := f.Source.Changes(ctx, version, wait)
	if wait > 0 {
		// The answer was made when the wait was over.
		sent = latest(sent, f.Now().Add(-maxTransit))
	}
	return f.handleRead(rows, version, false, sent, err)
}

// handleRead takes what was read; at is a time at which the table had that version.
func (f *Follow) handleRead(rows []record.Record, version int64, whole bool, at time.Time, err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.recordFailure(err)
		return err
	}
	f.recordSuccess()
	f.mustRead = false
	f.apply(rows, version, whole, at)
	return nil
}

// Offer takes what another host tells of the table in answer to a question that was sent at a time, and reports whether
// it was of use.
func (f *Follow) Offer(n *news.News, asked time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.Version < f.version || !n.Whole() && (!f.synced || n.Since > f.version) {
		return false
	}
	if n.Long {
		f.mustRead = true
		return false
	}
	if n.BackMillis >= 0 {
		f.peerRecovery(asked.Add(-time.Duration(n.BackMillis) * time.Millisecond))
	}
	age := time.Duration(n.AgeMillis) * time.Millisecond
	if f.failures > 0 && age >= minAnnouncedOutage {
		// The other host has no answer either: the outage goes on here, and its end is read here.
		return false
	}
	f.failures = 0
	f.apply(n.Rows, n.Version, n.Whole(), asked.Add(-age))
	return true
}

// apply takes rows that make up a version, unless a newer one came meanwhile.
func (f *Follow) apply(rows []record.Record, version int64, whole bool, at time.Time) {
	if f.synced && version < f.version {
		return
	}
	f.version, f.synced = version, true
	f.confirmedAt = latest(f.confirmedAt, at)
	if f.Mirror != nil && whole {
		f.Mirror.Whole(rows, version, at)
	} else if f.Mirror != nil {
		f.Mirror.Changed(rows, version, at)
	}
	switch {
	case whole:
		f.Whole(rows)
	case len(rows) > 0:
		f.Changed(rows)
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (f *Follow) recordFailure(err error) {
	f.synced = f.synced && fault.KindOf(err) != kind.Conflict && f.failures == 0
	if f.failures++; f.failures == unreachableAfter {
		f.Log.Warn("table lost", "table", f.Name, "version", f.version, "last-answer-ms", f.Now().Sub(f.confirmedAt).Milliseconds(), "error", err)
	}
}

// retryDelay returns the time until the next try after a failed one.
func (f *Follow) retryDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return min(maxRetryDelay, minRetryDelay<<min(f.failures, 4))
}

func (f *Follow) recordSuccess() {
	now := f.Now()
	outage := now.Sub(f.confirmedAt)
	if f.failures >= unreachableAfter {
		f.Log.Info("table regained", "table", f.Name, "version", f.version, "outage-ms", outage.Milliseconds())
	}
	if f.failures > 0 {
		f.recoveredAt = now
		f.notifyRecovery(outage, 0)
	}
	if f.failures > 0 && f.Mirror != nil && outage >= minAnnouncedOutage {
		f.Mirror.Back(now)
	}
	f.failures = 0
}

// peerRecovery takes another host's word that the table answers again since a time, once for each return.
func (f *Follow) peerRecovery(at time.Time) {
	if !at.After(f.recoveredAt.Add(sameRecovery)) {
		return
	}
	f.recoveredAt = at
	if f.Mirror != nil {
		f.Mirror.Back(at)
	}
	f.notifyRecovery(0, f.Now().Sub(at))
}

func (f *Follow) notifyRecovery(outage, ago time.Duration) {
	if f.Regained != nil {
		f.Regained(outage, ago)
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
