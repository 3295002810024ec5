// Package store is a small model of the platform's table with its failures.
package store

import (
	"context"
	"time"

	"github.com/dragonflyroute/dragonflyroute/model/sched"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

// Store keeps rows in memory; its answers are late, lost or refused as told.
type Store struct {
	// Sched is the clock and the source of failures.
	Sched *sched.Sched
	// Latency bounds the time of one way.
	Latency time.Duration
	// LoseBefore is the chance that a request is lost before its effect.
	LoseBefore float64
	// LoseAfter is the chance that an answer is lost after the effect.
	LoseAfter float64
	// Delay is the chance that a write takes effect only after its sender gave up.
	Delay float64
	// Down tells whether the store is out of service.
	Down bool
	// Commits counts commits that arrived.
	Commits int

	version int64
	rows    map[string]record.Record
}

// Read returns one row.
func (s *Store) Read(_ context.Context, key string) (record.Record, error) {
	s.Sched.Jitter(s.Latency)
	if s.Down || s.Sched.Chance(s.LoseBefore) {
		return record.Record{}, fault.New(kind.Unavailable, "", "read lost")
	}
	row := s.Peek(key)
	s.Sched.Jitter(s.Latency)
	if s.Sched.Chance(s.LoseAfter) {
		return record.Record{}, fault.New(kind.Unavailable, "", "read lost")
	}
	return row, nil
}

// Peek returns one row at once, for oracles.
func (s *Store) Peek(key string) record.Record {
	row := s.rows[key]
	row.Key = key
	return row
}

// Commit carries out a transaction; an error leaves open whether it did.
func (s *Store) Commit(_ context.Context, t table.Txn) (int64, error) {
	s.Sched.Jitter(s.Latency)
	if s.Down || s.Sched.Chance(s.LoseBefore) {
		return 0, fault.New(kind.OutcomeUnknown, "", "write lost")
	}
	if s.Sched.Chance(s.Delay) {
		s.Sched.Go("store", func() {
			s.Sched.Jitter(100 * s.Latency)
			s.apply(t)
		})
		s.Sched.Jitter(s.Latency)
		return 0, fault.New(kind.OutcomeUnknown, "", "write delayed")
	}
	version := s.apply(t)
	s.Sched.Jitter(s.Latency)
	if s.Sched.Chance(s.LoseAfter) {
		return 0, fault.New(kind.OutcomeUnknown, "", "answer lost")
	}
	return version, nil
}

func (s *Store) apply(t table.Txn) int64 {
	s.Commits++
	for _, c := range t.Conds {
		if s.rows[c.Key].Version != c.Version {
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
	return s.version
}
