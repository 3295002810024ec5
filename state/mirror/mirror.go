// Package mirror keeps a copy of a platform table and its latest changes, from which other hosts are served.
package mirror

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/delta"
	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
)

const (
	// maxChanges bounds the changes that are kept; a host that asks for older ones gets a snapshot.
	maxChanges = 4_096
	// maxBytes bounds the size of the rows in one answer; larger ones are left out, as a reader sends its answers to every
	// host that queries it.
	maxBytes = 64 << 10
	// recoveryTime is how long after an outage of the table its recovery is reported.
	recoveryTime = 5 * time.Second
)

// Mirror is a host's copy of one table.
//
// All methods may be called concurrently.
type Mirror struct {
	// Equivalent reports whether a change between two values of a row need not be sent to other hosts; nil compares bytes.
	Equivalent func(key string, a, b []byte) bool

	mu      sync.Mutex
	rows    map[string]record.Record
	version int64
	// confirmedAt is when the table was last known to have the version, and recoveredAt when it answered again after an
	// outage.
	confirmedAt, recoveredAt time.Time
	// changes are sorted by version and complete above floor.
	changes []record.Record
	floor   int64
}

// RecordRecovery records that the table answers again after an outage.
func (m *Mirror) RecordRecovery(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recoveredAt = at
}

// Replace replaces all rows by a snapshot of the table at a version, which was read at a time. The changes of an earlier
// era are forgotten: another host may have some that this one has not, and that the store has lost.
func (m *Mirror) Replace(rows []record.Record, version int64, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range rows {
		listed[r.Key] = true
	}
	if m.rows == nil || eras.Of(version) > eras.Of(m.version) {
		m.rows = map[string]record.Record{}
		m.changes = nil
		m.floor = version
	}
	var removed []record.Record
	for key := range m.rows {
		if !listed[key] {
			removed = append(removed, record.Record{Key: key, Version: version, Deleted: true})
		}
	}
	m.apply(rows, version)
	m.apply(removed, version)
	m.confirm(version, at)
}

// Update applies the rows that changed up to a version, which were read at a time; without rows it confirms the version.
// It is ignored before the first snapshot.
func (m *Mirror) Update(rows []record.Record, version int64, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rows == nil {
		return
	}
	m.apply(rows, version)
	m.confirm(version, at)
}

func (m *Mirror) confirm(version int64, at time.Time) {
	m.version = max(m.version, version)
	if at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

// apply stores rows and records their changes. Rows without a version get the given one, the newest that they can have.
func (m *Mirror) apply(rows []record.Record, version int64) {
	sorted := max(0, len(m.changes)-1)
	for _, r := range rows {
		if r.Version == 0 {
			r.Version = version
		}
		old, existed := m.rows[r.Key]
		if existed && old.Version >= r.Version || !existed && r.Deleted && r.Version <= m.version {
			continue
		}
		if r.Deleted {
			delete(m.rows, r.Key)
		} else {
			m.rows[r.Key] = r
		}
		if existed && !r.Deleted && m.equivalent(r.Key, old.Value, r.Value) {
			continue
		}
		m.changes = append(m.changes, r)
	}
	if !slices.IsSortedFunc(m.changes[sorted:], byVersion) {
		slices.SortStableFunc(m.changes, byVersion)
	}
	if len(m.changes) > maxChanges {
		extra := len(m.changes) - maxChanges/2
		m.floor = m.changes[extra-1].Version
		m.changes = slices.Clone(m.changes[extra:])
	}
}

func byVersion(a, b record.Record) int { return cmp.Compare(a.Version, b.Version) }

func (m *Mirror) equivalent(key string, a, b []byte) bool {
	if m.Equivalent == nil {
		return bytes.Equal(a, b)
	}
	return m.Equivalent(key, a, b)
}

// ChangesSince returns the changes after the version that another host has, or a snapshot if some of them are no longer
// kept; ok is false before the first snapshot.
func (m *Mirror) ChangesSince(have int64, now time.Time) (d delta.Delta, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rows == nil {
		return delta.Delta{}, false
	}
	d = delta.Delta{Since: have, Version: m.version, AgeMillis: now.Sub(m.confirmedAt).Milliseconds(), RecoveredMillis: -1}
	if !m.recoveredAt.IsZero() && now.Sub(m.recoveredAt) < recoveryTime {
		d.RecoveredMillis = now.Sub(m.recoveredAt).Milliseconds()
	}
	if have < m.floor {
		d.Since = 0
		d.Rows = slices.Collect(maps.Values(m.rows))
	} else {
		d.Rows = latest(m.changes, have)
	}
	if d.RowsOmitted = size(d.Rows) > maxBytes; d.RowsOmitted {
		d.Rows = nil
	}
	return d, true
}

func size(rows []record.Record) (bytes int) {
	for _, r := range rows {
		bytes += len(r.Value)
	}
	return bytes
}

// latest returns the last change of each row after a version.
func latest(changes []record.Record, after int64) []record.Record {
	from, _ := slices.BinarySearchFunc(changes, after, func(r record.Record, v int64) int {
		if r.Version <= v {
			return -1
		}
		return 1
	})
	seen := map[string]bool{}
	var out []record.Record
	for _, r := range slices.Backward(changes[from:]) {
		if !seen[r.Key] {
			seen[r.Key] = true
			out = append(out, r)
		}
	}
	return out
}
