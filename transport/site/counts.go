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
	// countStep is the time between looks for the end of a window.
	countStep = 250 * time.Millisecond
	// mostCounted bounds the hosts whose usage is written in one call.
	mostCounted = 90
)

// countedRow is the row in which a host's usage is told.
type countedRow struct {
	Incarnation int64 `json:"incarnation"`
	// Through is the newest window whose counts are final.
	Through int64           `json:"through"`
	Windows []window.Window `json:"windows"`
}

// batch holds the usage of other hosts until it is written in one call.
type batch struct {
	mu   sync.Mutex
	rows map[host.ID]countedRow
}

// take takes a host's usage.
func (b *batch) take(q query.Query) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rows == nil {
		b.rows = map[host.ID]countedRow{}
	}
	b.rows[q.Host] = countedRow{Incarnation: q.Incarnation, Through: q.Through, Windows: q.Usage}
}

// drain returns the rows to write, at most most of them, and forgets them.
func (b *batch) drain(most int) map[host.ID]countedRow {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[host.ID]countedRow{}
	for id, row := range b.rows {
		if len(out) == most {
			break
		}
		out[id] = row
		delete(b.rows, id)
	}
	return out
}

// countAll writes usage into the store after each window, where heartbeats are too rare to carry it: a reader that of the
// hosts that ask it, another host its own when no reader has taken it.
func (s *Site) countAll(ctx context.Context) error {
	last := s.usage.WindowNumber(time.Now())
	return ticks.Every(countStep, func(ctx context.Context) {
		at := time.Now()
		now := s.usage.WindowNumber(at)
		pace := s.Schedule()
		if now == last || !pace.Large() || at.Before(s.usage.WindowEnd(now-1).Add(pace.UsageDelay())) {
			return
		}
		reads := s.polls.IsReader()
		if !reads && s.polls.UsageAcked() >= now-1 {
			last = now
			return
		}
		rows := map[host.ID]countedRow{}
		if reads {
			rows = s.batch.drain(mostCounted)
		}
		rows[s.Host] = countedRow{Incarnation: s.incarnation, Through: now - 1, Windows: s.usage.Own()}
		if s.writeCounts(ctx, rows) {
			last = now
		}
	})(ctx)
}

// writeCounts writes hosts' usage in one call and reports whether that was done.
func (s *Site) writeCounts(ctx context.Context, rows map[host.ID]countedRow) bool {
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

// readCounts takes the usage that the hosts of a large fleet have written.
func (s *Site) readCounts(ctx context.Context) {
	if !s.Schedule().Large() {
		return
	}
	rows, version, err := s.Counts.Snapshot(ctx)
	if err != nil {
		s.Log.Warn("hosts' usage not read", "error", err)
		return
	}
	now := time.Now()
	for _, r := range rows {
		var row countedRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			s.Log.Warn("row holds no usage", "key", r.Key, "version", version, "error", err)
			continue
		}
		if r.Key != string(s.Host) {
			s.usage.MergePeer(host.ID(r.Key), row.Incarnation, row.Windows, now)
		}
		s.through[host.ID(r.Key)] = row.Through
	}
}

// usageTold reports whether all hosts that are alive have told their final counts of a window.
func (s *Site) usageTold(number int64) bool {
	if !s.Schedule().Large() {
		return true
	}
	for _, p := range s.fleet.Alive(time.Now()) {
		if s.through[p.Host] < number {
			return false
		}
	}
	return true
}
