// Package report sends the usage of each window once, the same from whichever host sends it.
package report

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

const (
	// settleDelay is the time after a window's end in which the last counts arrive from the other hosts.
	settleDelay = 1500 * time.Millisecond
	// waitFraction is the part of the time until a report is overdue for which it waits for hosts that have not told.
	waitFraction = 0.75
	// retentionFactor is how long a fixed report stays in the table, in times of Late: until no holder may send it any more.
	retentionFactor = 2
	// keyPrefix begins the rows of fixed reports.
	keyPrefix = "usage/"
)

type store interface {
	Commit(ctx context.Context, t table.Txn) (int64, error)
	Read(ctx context.Context, key string) (record.Record, error)
}

type usage interface {
	// Number returns the number of the window at a time of day.
	Number(at time.Time) int64
	// End returns the end of a window.
	End(number int64) time.Time
	// Sum returns the counts of a window over all processes known here.
	Sum(number int64) map[acct.ID]int64
}

type platform interface {
	// Usage reports the requests of each account that began in a window.
	Usage(ctx context.Context, fence, window int64, counts map[acct.ID]int64) error
}

// Report sends each window's usage while the process holds the duty's lease.
//
// The counts are fixed in the table before they are sent, so that a successor repeats them exactly.
type Report struct {
	// Store fixes the counts.
	Store store
	// Usage holds them.
	Usage usage
	// Platform takes the reports.
	Platform platform
	// Gather takes the last counts from the other hosts before a window's are fixed; nil takes none.
	Gather func(ctx context.Context)
	// Complete reports whether all hosts have told their counts of a window; nil takes them for told after settleTime.
	Complete func(number int64) bool
	// Held returns the fencing number while the process holds the lease; it is asked before each effect.
	Held func() (fence int64, held bool)
	// Refused is told when the platform has seen a higher fencing number.
	Refused func()
	// Late is the time after a window's end when its report is due.
	Late time.Duration
	// Log takes a line for each report.
	Log hclog.Logger

	sent map[int64]bool
}

// Step sends the reports that are due at now.
func (r *Report) Step(ctx context.Context, now time.Time) {
	if r.sent == nil {
		r.sent = map[int64]bool{}
	}
	for number := r.Usage.Number(now.Add(-r.Late)); ; number++ {
		end := r.Usage.End(number)
		if now.Before(end.Add(settleDelay)) {
			return
		}
		if r.sent[number] || now.After(end.Add(r.Late)) {
			continue
		}
		if _, held := r.Held(); !held {
			return
		}
		if r.Gather != nil {
			r.Gather(ctx)
		}
		if r.awaitsCounts(number, now) {
			return
		}
		r.send(ctx, number)
	}
}

// awaitsCounts reports whether a window's report waits for hosts that have not told their counts.
func (r *Report) awaitsCounts(number int64, now time.Time) bool {
	if r.Complete == nil || r.Complete(number) {
		return false
	}
	return now.Before(r.Usage.End(number).Add(time.Duration(waitFraction * float64(r.Late))))
}

func (r *Report) send(ctx context.Context, number int64) {
	counts, err := r.persist(ctx, number)
	if err != nil {
		r.Log.Warn("usage report not fixed", "window", number, "error", err)
		return
	}
	fence, held := r.Held()
	if !held {
		return
	}
	err = r.Platform.Usage(ctx, fence, number, counts)
	if err != nil {
		r.Log.Warn("usage report not taken", "window", number, "fence", fence, "error", err)
		if fault.KindOf(err) == kind.Conflict {
			r.Refused()
		}
		return
	}
	r.sent[number] = true
	delete(r.sent, r.outdated(number))
	r.Log.Info("usage reported", "window", number, "fence", fence, "counts", counts)
}

// persist returns the counts that the table holds for a window, after writing the own ones if it holds none.
func (r *Report) persist(ctx context.Context, number int64) (map[acct.ID]int64, error) {
	own := r.Usage.Sum(number)
	value, err := json.Marshal(own)
	if err != nil {
		return nil, fault.Wrap(kind.Internal, err, "usage report")
	}
	version, err := r.Store.Commit(ctx, table.Txn{}.IfAbsent(key(number)).Put(key(number), value).Delete(key(r.outdated(number))))
	if err == nil && version > 0 {
		return own, nil
	}
	row, err := r.Store.Read(ctx, key(number))
	if err != nil {
		return nil, err
	}
	if row.Version == 0 {
		return nil, fault.New(kind.Unavailable, "", "the report of window %d is not in the table yet", number)
	}
	fixed := map[acct.ID]int64{}
	if err := json.Unmarshal(row.Value, &fixed); err != nil {
		return nil, fault.Wrap(kind.Internal, err, "the fixed report of window %d is not readable", number)
	}
	return fixed, nil
}

// outdated returns the window that no holder may report any more when the given one is reported.
func (r *Report) outdated(number int64) int64 {
	return r.Usage.Number(r.Usage.End(number).Add(-retentionFactor*r.Late)) - 1
}

func key(number int64) string { return keyPrefix + strconv.FormatInt(number, 10) }
