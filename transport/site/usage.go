package site

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/writer"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
	"github.com/dragonflyroute/dragonflyroute/protocol/window"
	"github.com/dragonflyroute/dragonflyroute/transport/ticks"
)

const (
	// usageCheckInterval is the interval between checks for the end of a window.
	usageCheckInterval = 250 * time.Millisecond
	// maxUsageRows is the maximum number of other hosts whose usage is written in one call.
	maxUsageRows = 90
)

// usageRow is the row that holds the usage counted by one host.
type usageRow struct {
	Incarnation int64 `json:"incarnation"`
	// FinalWindow is the newest window whose counts are final.
	FinalWindow int64           `json:"through"`
	Windows     []window.Window `json:"windows"`
}

// writeUsage writes usage into the store after each window if the fleet is large, as its heartbeats are too rare to carry
// usage. A reader writes its own usage and that of the hosts that poll it; another host writes its own only if no reader
// has acknowledged it.
func (s *Site) writeUsage(ctx context.Context) error {
	w := &writer.Writer{
		Final: func(now time.Time) (int64, time.Time) {
			window := s.usage.WindowNumber(now) - 1
			return window, s.usage.WindowEnd(window)
		},
		Delay:    func() time.Duration { return s.Schedule().UsageDelay() },
		Deadline: s.UsageDeadline,
		IsReader: s.polls.IsReader,
		Acked:    s.polls.UsageAcked,
		Write:    s.writeUsageRows,
		Random:   rand.Float64,
	}
	w.Start(time.Now())
	return ticks.Every(usageCheckInterval, func(ctx context.Context) {
		if s.Schedule().Large() {
			w.Step(ctx, time.Now())
		}
	})(ctx)
}

// writeUsageRows writes the host's own usage, and at a reader that of the hosts that poll it, and reports whether the store
// took them. Rows that it did not take are written with the next call.
func (s *Site) writeUsageRows(ctx context.Context, final int64, isReader bool) bool {
	rows := map[host.ID]usageRow{s.Host: {Incarnation: s.incarnation, FinalWindow: final, Windows: s.usage.Own()}}
	if !isReader {
		return s.commitUsage(ctx, rows)
	}
	taken := s.peerUsage.Take(maxUsageRows)
	for id, item := range taken {
		rows[id] = item.Row
	}
	if !s.commitUsage(ctx, rows) {
		s.peerUsage.Return(taken)
		return false
	}
	s.peerUsage.Written(taken)
	return true
}

// commitUsage writes hosts' usage in one call and reports whether that succeeded.
func (s *Site) commitUsage(ctx context.Context, rows map[host.ID]usageRow) bool {
	txn := table.Txn{}
	for id, row := range rows {
		value, err := json.Marshal(row)
		if err != nil {
			s.Log.Error("cannot encode a host's usage; it is left out", "host", id, "error", err)
			continue
		}
		txn = txn.Put(string(id), value)
	}
	if _, err := s.HostUsage.Commit(ctx, txn); err != nil {
		s.Log.Warn("cannot write hosts' usage into the store", "hosts", len(rows), "error", err)
		return false
	}
	return true
}

// readUsage merges the usage that the hosts of a large fleet have written into the store.
func (s *Site) readUsage(ctx context.Context) {
	if !s.Schedule().Large() {
		return
	}
	rows, version, err := s.HostUsage.Snapshot(ctx)
	if err != nil {
		s.Log.Warn("cannot read hosts' usage from the store", "error", err)
		return
	}
	now := time.Now()
	for _, r := range rows {
		var row usageRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			s.Log.Warn("cannot decode a row of usage; it is ignored", "key", r.Key, "version", version, "error", err)
			continue
		}
		if r.Key != string(s.Host) {
			s.usage.MergePeer(host.ID(r.Key), row.Incarnation, row.Windows, now)
		}
		// A write that the store carried out late may have taken the place of a newer one.
		s.finalWindows[host.ID(r.Key)] = max(s.finalWindows[host.ID(r.Key)], row.FinalWindow)
	}
}

// usageComplete reports whether all live hosts have written their final counts of a window; in a small fleet the
// heartbeats carry them, and it returns true.
func (s *Site) usageComplete(windowNumber int64) bool {
	if !s.Schedule().Large() {
		return true
	}
	for _, p := range s.fleet.Alive(time.Now()) {
		if s.finalWindows[p.Host] < windowNumber {
			return false
		}
	}
	return true
}
