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
func (w *Follow) Run(ctx context.Context) error {
	w.start()
	for ctx.Err() == nil {
		if rest := w.Due(); rest > 0 {
			sleep(ctx, min(rest, maxSleep))
			continue
		}
		if err := w.Read(ctx); err != nil {
			sleep(ctx, w.retryDelay())
			continue
		}
		if w.Pause != nil {
			sleep(ctx, w.Pause())
		}
	}
	return nil
}

func (w *Follow) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmedAt = w.Now()
}

// Due returns the time until the table must be read here.
func (w *Follow) Due() time.Duration {
	if w.Rest == nil || w.readRequired() {
		return 0
	}
	// Rest may ask this table in turn.
	return w.Rest(w.Age())
}

// readRequired reports whether the table must be read whatever its age: the last read failed, or there is more than was told.
func (w *Follow) readRequired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mustRead || w.failures > 0
}

// Age returns the time since the table is known to have been as it is seen here; before the first read, when known is
// false, it is the time since the start.
func (w *Follow) Age() (age time.Duration, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Now().Sub(w.confirmedAt), w.synced
}

// Lost reports whether the table did not answer this host the last times.
func (w *Follow) Lost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failures >= unreachableAfter
}

// Version returns the version that the view has, nought before the first read.
func (w *Follow) Version() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.synced {
		return 0
	}
	return w.version
}

// News returns what changed after the version that another host has; ok is false while the table is not known.
func (w *Follow) News(have int64) (n news.News, ok bool) { return w.Mirror.News(have, w.Now()) }

// Read reads what changed, or the whole table when that is not known.
func (w *Follow) Read(ctx context.Context) error {
	sent := w.Now()
	version := w.Version()
	if version == 0 {
		rows, version, err := w.Source.Snapshot(ctx)
		return w.handleRead(rows, version, true, sent, err)
	}
	wait := time.Duration(0)
	if w.Wait != nil {
		wait = w.Wait()
	}
	rows, version, err := w.Source.Changes(ctx, version, wait)
	if wait > 0 {
		// The answer was made when the wait was over.
		sent = latest(sent, w.Now().Add(-maxTransit))
	}
	return w.handleRead(rows, version, false, sent, err)
}

// handleRead takes what was read; at is a time at which the table had that version.
func (w *Follow) handleRead(rows []record.Record, version int64, whole bool, at time.Time, err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.recordFailure(err)
		return err
	}
	w.recordSuccess()
	w.mustRead = false
	w.apply(rows, version, whole, at)
	return nil
}

// Offer takes what another host tells of the table in answer to a question that was sent at a time, and reports whether
// it was of use.
func (w *Follow) Offer(n *news.News, asked time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.Version < w.version || !n.Whole() && (!w.synced || n.Since > w.version) {
		return false
	}
	if n.Long {
		w.mustRead = true
		return false
	}
	if n.BackMillis >= 0 {
		w.peerRecovery(asked.Add(-time.Duration(n.BackMillis) * time.Millisecond))
	}
	age := time.Duration(n.AgeMillis) * time.Millisecond
	if w.failures > 0 && age >= minAnnouncedOutage {
		// The other host has no answer either: the outage goes on here, and its end is read here.
		return false
	}
	w.failures = 0
	w.apply(n.Rows, n.Version, n.Whole(), asked.Add(-age))
	return true
}

// apply takes rows that make up a version, unless a newer one came meanwhile.
func (w *Follow) apply(rows []record.Record, version int64, whole bool, at time.Time) {
	if w.synced && version < w.version {
		return
	}
	w.version, w.synced = version, true
	w.confirmedAt = latest(w.confirmedAt, at)
	if w.Mirror != nil && whole {
		w.Mirror.Whole(rows, version, at)
	} else if w.Mirror != nil {
		w.Mirror.Changed(rows, version, at)
	}
	switch {
	case whole:
		w.Whole(rows)
	case len(rows) > 0:
		w.Changed(rows)
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (w *Follow) recordFailure(err error) {
	w.synced = w.synced && fault.KindOf(err) != kind.Conflict && w.failures == 0
	if w.failures++; w.failures == unreachableAfter {
		w.Log.Warn("table lost", "table", w.Name, "version", w.version, "last-answer-ms", w.Now().Sub(w.confirmedAt).Milliseconds(), "error", err)
	}
}

// retryDelay returns the time until the next try after a failed one.
func (w *Follow) retryDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return min(maxRetryDelay, minRetryDelay<<min(w.failures, 4))
}

func (w *Follow) recordSuccess() {
	now := w.Now()
	outage := now.Sub(w.confirmedAt)
	if w.failures >= unreachableAfter {
		w.Log.Info("table regained", "table", w.Name, "version", w.version, "outage-ms", outage.Milliseconds())
	}
	if w.failures > 0 {
		w.recoveredAt = now
		w.notifyRecovery(outage, 0)
	}
	if w.failures > 0 && w.Mirror != nil && outage >= minAnnouncedOutage {
		w.Mirror.Back(now)
	}
	w.failures = 0
}

// peerRecovery takes another host's word that the table answers again since a time, once for each return.
func (w *Follow) peerRecovery(at time.Time) {
	if !at.After(w.recoveredAt.Add(sameRecovery)) {
		return
	}
	w.recoveredAt = at
	if w.Mirror != nil {
		w.Mirror.Back(at)
	}
	w.notifyRecovery(0, w.Now().Sub(at))
}

func (w *Follow) notifyRecovery(outage, ago time.Duration) {
	if w.Regained != nil {
		w.Regained(outage, ago)
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
