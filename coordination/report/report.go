// Package report sends the usage of each window to the platform once, with the same counts from whichever host sends it.
package report

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

const (
	// settleDelay is the time after a window's end within which the last counts arrive from the other hosts.
	settleDelay = 1500 * time.Millisecond
	// waitFraction is the fraction of Deadline for which a report waits for hosts that have not sent their counts.
	waitFraction = 0.75
	// retentionFactor is how long a persisted report stays in the table at least, in multiples of Deadline: until no lease
	// holder may send it any more. minRetention is longer, as a holder's wall clock may be ahead for a while.
	retentionFactor = 2
	minRetention    = time.Hour
	// keyPrefix begins the keys of persisted reports.
	keyPrefix = "usage/"
)

type store interface {
	Commit(ctx context.Context, t table.Txn) (int64, error)
	Read(ctx context.Context, key string) (record.Record, error)
}

type usage interface {
	// WindowNumber returns the number of the window that contains a time.
	WindowNumber(at time.Time) int64
	// WindowEnd returns the end of a window.
	WindowEnd(number int64) time.Time
	// Sum returns the counts of a window, summed over all processes known to this one.
	Sum(number int64) map[acct.ID]int64
}

type platform interface {
	// ReportUsage reports the number of requests of each account that began in a window. A Conflict error means that the
	// platform has seen a higher fencing number.
	ReportUsage(ctx context.Context, fence, window int64, counts map[acct.ID]int64) error
}

// Report sends each window's usage while the process holds the lease.
//
// The counts are persisted in the table before they are sent, so that the next lease holder repeats them exactly. When the
// store was restored from a copy, persisted counts may be lost: the process that persisted them does it again, and no
// other one counts a window that may have been reported before the restore.
type Report struct {
	// Store is the table that persists the counts.
	Store store
	// Usage holds the counts.
	Usage usage
	// Platform accepts the reports.
	Platform platform
	// Collect collects the last counts from the other hosts before a window's counts are persisted; may be nil.
	Collect func(ctx context.Context)
	// Complete reports whether all hosts have sent their counts of a window; nil means that they have after settleDelay.
	Complete func(number int64) bool
	// Held returns the fencing number while the process holds the lease; it is called before each report.
	Held func() (fence int64, held bool)
	// KnownSince returns the time of day since which this process, as the lease holder, knows of all counts that holders
	// persisted; nil means always.
	KnownSince func() time.Time
	// OnStaleFence is called when the platform has seen a higher fencing number.
	OnStaleFence func()
	// Deadline is the time after a window's end by which its report must be sent.
	Deadline time.Duration
	// Log takes one line for each report.
	Log hclog.Logger

	// sent holds the windows whose reports the platform has accepted.
	sent map[int64]bool
	// persisted holds the counts that this process has persisted or read, by window.
	persisted map[int64]persisted
}

// persisted is the counts of a window, and the store's era in which they were persisted.
type persisted struct {
	counts map[acct.ID]int64
	era    eras.Era
}

// Step sends the reports that can be sent at now.
func (r *Report) Step(ctx context.Context, now time.Time) {
	if r.sent == nil {
		r.sent = map[int64]bool{}
		r.persisted = map[int64]persisted{}
	}
	r.persistLost(ctx)
	for number := r.Usage.WindowNumber(now.Add(-r.Deadline)); ; number++ {
		end := r.Usage.WindowEnd(number)
		if now.Before(end.Add(settleDelay)) {
			return
		}
		if r.sent[number] || now.After(end.Add(r.Deadline)) {
			continue
		}
		if _, held := r.Held(); !held {
			return
		}
		if r.Collect != nil {
			r.Collect(ctx)
		}
		if r.awaitsCounts(number, now) {
			return
		}
		r.send(ctx, number)
	}
}

// awaitsCounts reports whether a window's report still waits for hosts that have not sent their counts.
func (r *Report) awaitsCounts(number int64, now time.Time) bool {
	if r.Complete == nil || r.Complete(number) {
		return false
	}
	return now.Before(r.Usage.WindowEnd(number).Add(time.Duration(waitFraction * float64(r.Deadline))))
}

// send persists and sends the report of a window.
func (r *Report) send(ctx context.Context, number int64) {
	counts, err := r.persist(ctx, number)
	if err != nil {
		r.Log.Warn("usage report not persisted; retrying", "window", number, "error", err)
		return
	}
	fence, held := r.Held()
	if !held {
		return
	}
	err = r.Platform.ReportUsage(ctx, fence, number, counts)
	if err != nil {
		r.Log.Warn("usage report failed; retried while the lease is held and the report not overdue", "window", number, "fence", fence, "counts", counts, "error", err)
		if fault.KindOf(err) == kind.Conflict {
			r.OnStaleFence()
		}
		return
	}
	r.sent[number] = true
	delete(r.sent, r.outdated(number))
	delete(r.persisted, r.outdated(number))
	r.Log.Info("usage reported", "window", number, "fence", fence, "counts", counts)
}

// persist returns the counts of a window that are in the table. If there are none, it writes this process's counts, unless
// others may have been lost.
func (r *Report) persist(ctx context.Context, number int64) (map[acct.ID]int64, error) {
	if p, ok := r.persisted[number]; ok {
		return p.counts, nil
	}
	if r.mayBeLost(number) {
		return r.read(ctx, number)
	}
	fence, _ := r.Held()
	own := r.Usage.Sum(number)
	version, err := r.write(ctx, number, own)
	if err != nil || version == 0 {
		return r.read(ctx, number)
	}
	if eras.Of(version) != eras.Of(fence) {
		_, _ = r.Store.Commit(ctx, table.Txn{}.IfVersion(key(number), version).Delete(key(number)))
		return nil, fault.New(kind.Unavailable, "", "the store was restored while the usage report of window %d was persisted", number)
	}
	r.persisted[number] = persisted{counts: own, era: eras.Of(version)}
	return own, nil
}

// mayBeLost reports whether the counts of a window may have been persisted and sent, and then lost with a restore of the
// store: it could be reported before the time since which this process knows of all that was persisted.
func (r *Report) mayBeLost(number int64) bool {
	return r.KnownSince != nil && r.Usage.WindowEnd(number).Add(settleDelay).Before(r.KnownSince())
}

// persistLost persists counts again that this process persisted before the store was restored.
func (r *Report) persistLost(ctx context.Context) {
	fence, held := r.Held()
	if !held {
		return
	}
	for number, p := range r.persisted {
		if p.era >= eras.Of(fence) {
			continue
		}
		version, err := r.write(ctx, number, p.counts)
		if err != nil {
			r.Log.Warn("usage report not persisted again after a restore of the store; retrying", "window", number, "error", err)
			return
		}
		r.Log.Info("usage report persisted again after a restore of the store", "window", number, "was-missing", version > 0, "fence", fence)
		p.era = eras.Of(fence)
		r.persisted[number] = p
	}
}

// write writes the counts of a window to the table if the table has none, and returns the version, 0 if it has some.
func (r *Report) write(ctx context.Context, number int64, counts map[acct.ID]int64) (version int64, err error) {
	value, err := json.Marshal(counts)
	if err != nil {
		return 0, fault.Wrap(kind.Internal, err, "usage report is not encodable")
	}
	return r.Store.Commit(ctx, table.Txn{}.IfAbsent(key(number)).Put(key(number), value).Delete(key(r.outdated(number))))
}

// read returns the counts of a window in the table. An Unavailable error means that there are none.
func (r *Report) read(ctx context.Context, number int64) (map[acct.ID]int64, error) {
	row, err := r.Store.Read(ctx, key(number))
	if err != nil {
		return nil, err
	}
	if !row.Exists() {
		return nil, fault.New(kind.Unavailable, "", "usage report of window %d is not in the table", number)
	}
	counts := map[acct.ID]int64{}
	if err := json.Unmarshal(row.Value, &counts); err != nil {
		return nil, fault.Wrap(kind.Internal, err, "persisted usage report of window %d is not decodable", number)
	}
	r.persisted[number] = persisted{counts: counts, era: eras.Of(row.Version)}
	return counts, nil
}

// outdated returns the window whose persisted report is deleted with the given one: no lease holder may send it any
// more.
func (r *Report) outdated(number int64) int64 {
	return r.Usage.WindowNumber(r.Usage.WindowEnd(number).Add(-max(minRetention, retentionFactor*r.Deadline))) - 1
}

// key returns the key of the row that persists a window's report.
func key(number int64) string { return keyPrefix + strconv.FormatInt(number, 10) }
