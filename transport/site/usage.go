package site

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
	"github.com/dragonflyroute/dragonflyroute/protocol/window"
	"github.com/dragonflyroute/dragonflyroute/transport/ticks"
)

const (
	// usageCheckInterval is the time between looks for the end of a window.
	usageCheckInterval = 250 * time.Millisecond
	// maxUsageRows bounds the hosts whose usage is written in one call.
	maxUsageRows = 90
)

// usageRow is the row in which a host's usage is told.
type usageRow struct {
	Incarnation int64 `json:"incarnation"`
	// Through is the newest window whose counts are final.
	Through int64           `json:"through"`
	Windows []window.Window `json:"windows"`
}

// usageBatch holds the usage of other hosts until it is written in one call.
type usageBatch struct {
	mu   sync.Mutex
	rows map[host.ID]usageRow
}

// put takes a host's usage.
func (b *usageBatch) put(q query.Query) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rows == nil {
		b.rows = map[host.ID]usageRow{}
	}
	b.rows[q.Host] = usageRow{Incarnation: q.Incarnation, Through: q.Through, Windows: q.Usage}
}

// drain returns the rows to write, at most most of them, and forgets them.
func (b *usageBatch) drain(limit int) map[host.ID]usageRow {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[host.ID]usageRow{}
	for id, row := range b.rows {
		if len(out) == limit {
			break
		}
		out[id] = row
		delete(b.rows, id)
	}
	return out
}

// writeUsage writes usage into the store after each window, where heartbeats are too rare to carry it: a reader that of the
// hosts that ask it, another host its own when no reader has taken it.
func (s *Site) writeUsage(ctx context.Context) error {
	lastWritten := s.usage.Number(time.Now())
	return ticks.Every(usageCheckInterval, func(ctx context.Context) {
		now := time.Now()
		current := s.usage.Number(now)
		schedule := s.Paces()
		if current == lastWritten || !schedule.Large() || now.Before(s.usage.End(current-1).Add(schedule.CountWait())) {
			return
		}
		isReader := s.polls.Reads()
		if !isReader && s.polls.Taken() >= current-1 {
			lastWritten = current
			return
		}
		rows := map[host.ID]usageRow{}
		if isReader {
			rows = s.peerUsage.drain(maxUsageRows)
		}
		rows[s.Host] = usageRow{Incarnation: s.incarnation, Through: current - 1, Windows: s.usage.Own()}
		if s.commitUsage(ctx, rows) {
			lastWritten = current
		}
	})(ctx)
}

// commitUsage writes hosts' usage in one call and reports whether that was done.
func (s *Site) commitUsage(ctx context.Context, rows map[host.ID]usageRow) bool {
	txn := table.Txn{}
	for id, row := range rows {
		value, err := json.Marshal(row)
		if err != nil {
			s.Log.Error("usage not encoded", "host", id, "error", err)
			continue
		}
		txn = txn.Put(string(id), value)
	}
	if _, err := s.Counts.Commit(ctx, txn); err != nil {
		s.Log.Warn("usage not written", "hosts", len(rows), "error", err)
		return false
	}
	return true
}

// readUsage takes the usage that the hosts of a large fleet have written.
func (s *Site) readUsage(ctx context.Context) {
	if !s.Paces().Large() {
		return
	}
	rows, version, err := s.Counts.Snapshot(ctx)
	if err != nil {
		s.Log.Warn("hosts' usage not read", "error", err)
		return
	}
	now := time.Now()
	for _, r := range rows {
		var row usageRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			s.Log.Warn("row holds no usage", "key", r.Key, "version", version, "error", err)
			continue
		}
		if r.Key != string(s.Host) {
			s.usage.Hear(host.ID(r.Key), row.Incarnation, row.Windows, now)
		}
		s.finalWindows[host.ID(r.Key)] = row.Through
	}
}

// usageComplete reports whether all hosts that are alive have told their final counts of a window.
func (s *Site) usageComplete(windowNumber int64) bool {
	if !s.Paces().Large() {
		return true
	}
	for _, p := range s.fleet.Alive(time.Now()) {
		if s.finalWindows[p.Host] < windowNumber {
			return false
		}
	}
	return true
}
