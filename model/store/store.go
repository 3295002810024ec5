// Package store simulates the platform's table in memory, with injected faults.
package store

import (
	"context"
	"maps"
	"time"

	"github.com/dragonflyroute/dragonflyroute/model/sched"
	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

// Store keeps rows in memory, and delays or loses requests and responses as configured.
type Store struct {
	// Sched is the clock and the source of random faults.
	Sched *sched.Sched
	// Latency is the upper bound of the one-way latency.
	Latency time.Duration
	// RequestLoss is the probability that a request is lost before it takes effect.
	RequestLoss float64
	// ResponseLoss is the probability that a response is lost after the request took effect.
	ResponseLoss float64
	// LateWrites is the probability that a write takes effect after its sender got an error.
	LateWrites float64
	// Down makes every request fail before it takes effect.
	Down bool
	// Commits counts the commits that reached the store, also those whose conditions failed.
	Commits int

	era     eras.Era
	version int64
	rows    map[string]record.Record
}

// Copy is the content of a store at a moment.
type Copy struct {
	version int64
	rows    map[string]record.Record
}

// Copy returns the present content.
func (s *Store) Copy() Copy { return Copy{version: s.version, rows: maps.Clone(s.rows)} }

// Restore brings back the content of a copy and starts a new era: versions are given out again, and late writes are applied
// by them.
func (s *Store) Restore(c Copy) {
	s.era++
	s.version, s.rows = c.version, maps.Clone(c.rows)
}

// Read returns one row; a row that doesn't exist has version zero. The error is kind.Unavailable.
func (s *Store) Read(_ context.Context, key string) (record.Record, error) {
	s.Sched.Jitter(s.Latency)
	if s.Down || s.Sched.Chance(s.RequestLoss) {
		return record.Record{}, fault.New(kind.Unavailable, "", "read request lost")
	}
	row := s.Peek(key)
	s.Sched.Jitter(s.Latency)
	if s.Sched.Chance(s.ResponseLoss) {
		return record.Record{}, fault.New(kind.Unavailable, "", "read response lost")
	}
	return row, nil
}

// Peek returns one row without latency or faults, for checks of the outcome.
func (s *Store) Peek(key string) record.Record {
	row := s.rows[key]
	row.Key = key
	row.Version = s.era.Qualify(row.Version)
	return row
}

// Commit executes a transaction and returns its version, or zero if a condition failed. After an error, which is
// kind.OutcomeUnknown, the transaction may have taken effect or may still do so.
func (s *Store) Commit(_ context.Context, t table.Txn) (int64, error) {
	s.Sched.Jitter(s.Latency)
	if s.Down || s.Sched.Chance(s.RequestLoss) {
		return 0, fault.New(kind.OutcomeUnknown, "", "write request lost")
	}
	if s.Sched.Chance(s.LateWrites) {
		s.Sched.Go("store", func() {
			s.Sched.Jitter(100 * s.Latency)
			s.apply(t)
		})
		s.Sched.Jitter(s.Latency)
		return 0, fault.New(kind.OutcomeUnknown, "", "write delayed beyond the timeout")
	}
	version := s.apply(t)
	era := s.era
	s.Sched.Jitter(s.Latency)
	if version > 0 && t.IsOfOtherEra(era) {
		return 0, fault.New(kind.OutcomeUnknown, "", "store restored")
	}
	if s.Sched.Chance(s.ResponseLoss) {
		return 0, fault.New(kind.OutcomeUnknown, "", "write response lost")
	}
	return version, nil
}

func (s *Store) apply(t table.Txn) int64 {
	s.Commits++
	for _, c := range t.Conds {
		if s.rows[c.Key].Version != eras.Local(c.Version) {
			return 0
		}
	}
	if s.rows == nil {
		s.rows = map[string]record.Record{}
	}
	s.version++
	for _, w := range t.Writes {
		if w.Value == nil {
			delete(s.rows, w.Key)
			continue
		}
		s.rows[w.Key] = record.Record{Key: w.Key, Value: w.Value, Version: s.version}
	}
	return s.era.Qualify(s.version)
}
