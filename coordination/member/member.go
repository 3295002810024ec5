// Package member keeps the rows of the entry hosts in the hosts' table: each host writes its own one, and the lease's holder
// removes those of hosts that are down.
package member

import (
	"context"
	"encoding/json"
	"iter"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

const (
	// retention is how long a host must have been down before its row is removed.
	retention = 30 * time.Second
	// retryInterval is the time between attempts to write this host's own row.
	retryInterval = 300 * time.Millisecond
)

type rows interface {
	Known(key string) record.Record
	Write(ctx context.Context, key string, value []byte) (version int64, err error)
}

// Member writes this host's own row and removes those of hosts that are down.
//
// RemoveDown must not be called concurrently; the other methods may be.
type Member struct {
	// Rows writes the rows of the hosts' table.
	Rows rows
	// Own returns this host's row as it is to be.
	Own func() roster.Row
	// Log receives a line for each row that is written or removed.
	Log hclog.Logger

	// written is the version of this host's own row as last written, 0 before, and listed is set while the table as last read
	// has the row of this start of the host.
	written atomic.Int64
	listed  atomic.Bool
	// down holds the hosts that are down.
	down map[host.ID]absence
}

// absence is a host that is down: since when, and the version of its row then.
type absence struct {
	since   time.Time
	version int64
}

// Join writes this host's own row and retries until that succeeds or ctx ends.
func (m *Member) Join(ctx context.Context) {
	row := m.Own()
	value, err := json.Marshal(row)
	if err != nil {
		m.Log.Error("cannot encode this host's own row", "error", err)
		return
	}
	for ctx.Err() == nil {
		version, err := m.Rows.Write(ctx, string(row.ID), value)
		if err == nil {
			m.written.Store(version)
			m.Log.Info("own row written", "state", row.State, "version", version)
			return
		}
		if fault.KindOf(err) == kind.Conflict {
			m.Log.Info("own row is another one than known; it is written over that", "state", row.State, "error", err)
			continue
		}
		m.Log.Warn("cannot write this host's own row; retrying", "state", row.State, "error", err)
		pause(ctx, retryInterval)
	}
}

// SetListed records whether the hosts' table as last read has the row of this start of the host.
func (m *Member) SetListed(listed bool) { m.listed.Store(listed) }

// Missing reports whether the hosts' table, as read at a version, lacks this host's row though it is later than the row as
// written: the row was removed, or lost with a restore of the store.
func (m *Member) Missing(read int64) bool {
	written := m.written.Load()
	return written > 0 && read > written && !m.listed.Load()
}

// RemoveDown removes the rows of hosts that are down and have been for as long as retention, so that they no longer count as
// hosts of the fleet. A row that was written meanwhile stays: its host is back.
func (m *Member) RemoveDown(ctx context.Context, gone iter.Seq[host.ID], now time.Time) {
	down := map[host.ID]absence{}
	for id := range gone {
		row := m.Rows.Known(string(id))
		a, ok := m.down[id]
		if !ok || a.version != row.Version {
			a = absence{since: now, version: row.Version}
		}
		if !row.Exists() || now.Sub(a.since) < retention || !m.remove(ctx, id, now.Sub(a.since)) {
			down[id] = a
		}
	}
	m.down = down
}

// remove removes the row of a host that has been down for a time and reports whether that succeeded.
func (m *Member) remove(ctx context.Context, id host.ID, downFor time.Duration) bool {
	if _, err := m.Rows.Write(ctx, string(id), nil); err != nil {
		m.Log.Warn("cannot remove the row of a host that is down", "host", id, "since-ms", downFor.Milliseconds(), "error", err)
		return false
	}
	m.Log.Info("row of a host that is down removed", "host", id, "since-ms", downFor.Milliseconds())
	return true
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
