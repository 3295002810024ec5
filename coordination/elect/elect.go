// Package elect acquires and renews leases.
package elect

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/lease"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

// holdFraction is the fraction of the term after which the holder no longer counts the lease as held; the rest of the
// term is the margin before others may acquire it.
const holdFraction = 0.8

type store interface {
	Commit(ctx context.Context, t table.Txn) (int64, error)
	Read(ctx context.Context, key string) (record.Record, error)
}

// Elector acquires one lease and renews it with each Step.
//
// The hosts' clocks need not be in sync: the holder counts the term from before the renewal was sent, all others from
// after the read that first returned the renewal, each on its own monotonic clock. Operations that are not fenced must
// end within a fifth of the term after the call of Held. Step must not be called concurrently; Held may be.
//
// When the store is restored from a copy, the row may be missing or name an earlier holder. The holder then writes it
// anew; all others wait for a term, as they do after a renewal. Fencing numbers are at least the version of the row that was
// replaced, and so grow across restores too.
type Elector struct {
	// Store is the platform's table.
	Store store
	// Key is the key of the lease's row.
	Key string
	// Self names the process's host.
	Self host.ID
	// Incarnation is the number of this start of the process.
	Incarnation int64
	// Term is the lease's term.
	Term time.Duration
	// Now returns the monotonic time.
	Now func() time.Time
	// Wall returns the time of day; nil stands for Now.
	Wall func() time.Time
	// NewID returns a unique write id.
	NewID func() string

	mu        sync.Mutex
	heldUntil time.Time
	fence     int64
	// knownSince is the time since which this process knows of all that holders wrote while it holds the lease.
	knownSince time.Time

	// era is the store's era at the last read, eraSeen and eraSeenWall when it was first seen; zero times in era 0.
	era                  eras.Era
	eraSeen, eraSeenWall time.Time
	// seenID is the write id of the newest renewal seen, by any process, and seenAt when it was first seen.
	seenID string
	seenAt time.Time
	// sentAt is when the last write was sent, by its write id.
	sentAt map[string]time.Time
	// lastRow is the row as last written by this process, and last its content; the version is 0 unless the write is known
	// to have succeeded.
	lastRow record.Record
	last    lease.Lease
}

// Held returns the fencing number if the process holds the lease now; call it again before each protected operation.
func (e *Elector) Held() (fence int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fence, e.Now().Before(e.heldUntil)
}

// KnownSince returns the time of day since which this process, as the holder, knows of all that holders wrote: what they
// wrote before may have been lost with a restore of the store.
func (e *Elector) KnownSince() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.knownSince
}

// Step renews the lease, or acquires it when it is free or its term has expired.
//
// A renewal of a held lease needs no read: it is committed conditionally on the version that the previous write
// returned. If that fails, the row tells whether another process has written it or the store was restored.
func (e *Elector) Step(ctx context.Context) error {
	if _, held := e.Held(); held && e.lastRow.Version > 0 {
		renewed, err := e.write(ctx, e.lastRow, e.last)
		if renewed || err != nil {
			return err
		}
	}
	row, err := e.Store.Read(ctx, e.Key)
	if err != nil {
		return err
	}
	seen := e.Now()
	var current lease.Lease
	if row.Exists() {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return fault.Wrap(kind.Internal, err, "lease %s is not decodable", e.Key)
		}
	}
	held := e.observe(row, current, seen)
	if !held && !e.mayAcquire(row, current) {
		return nil
	}
	_, err = e.write(ctx, row, current)
	return err
}

// observe records the store's era and when a renewal was first seen, and accepts an own renewal whose answer was lost. It
// reports whether this process holds the lease, though the row was lost with a restore of the store.
func (e *Elector) observe(row record.Record, current lease.Lease, now time.Time) (held bool) {
	era := eras.Of(row.Version)
	restored := era > e.era
	if restored {
		e.era, e.eraSeen, e.eraSeenWall = era, now, e.wall()
	}
	if current.Era == era {
		if sent, ok := e.sentAt[current.WriteID]; ok {
			e.extend(current, sent)
		}
	}
	if current.WriteID != e.seenID {
		e.seenID = current.WriteID
		e.seenAt = now
	}
	if restored {
		_, held = e.Held()
		return held
	}
	if !e.isOwn(current) {
		e.invalidate()
	}
	return false
}

func (e *Elector) wall() time.Time {
	if e.Wall == nil {
		return e.Now()
	}
	return e.Wall()
}

// mayAcquire reports whether the lease is free, expired or already this process's. A row that was not written in the store's
// present era tells nothing of the last holder, so that the lease is free a term after the era was first seen.
func (e *Elector) mayAcquire(row record.Record, current lease.Lease) bool {
	if current.Era != e.era {
		return e.Now().Sub(e.eraSeen) > e.Term && e.Now().Sub(e.seenAt) > e.Term
	}
	if !row.Exists() || current.TermMillis == 0 || e.isOwn(current) {
		return true
	}
	term := time.Duration(current.TermMillis) * time.Millisecond
	return e.Now().Sub(e.seenAt) > term
}

// isOwn reports whether the lease was written by this incarnation of the process.
func (e *Elector) isOwn(current lease.Lease) bool {
	return current.Holder == e.Self && current.Incarnation == e.Incarnation
}

// write commits a renewal or an acquisition over the row that was read, and reports whether its condition held. An
// acquisition raises the fencing number.
func (e *Elector) write(ctx context.Context, row record.Record, current lease.Lease) (written bool, err error) {
	next := e.next(row, current)
	value, err := json.Marshal(next)
	if err != nil {
		return false, fault.Wrap(kind.Internal, err, "lease %s is not encodable", e.Key)
	}
	sent := e.Now()
	e.sentAt = map[string]time.Time{next.WriteID: sent}
	version, err := e.Store.Commit(ctx, table.Txn{}.IfVersion(e.Key, row.Version).Put(e.Key, value))
	e.lastRow, e.last = record.Record{Key: e.Key, Value: value, Version: version}, next
	if err != nil || version == 0 {
		return false, err
	}
	e.extend(next, sent)
	return true, nil
}

// next returns the content of the row after one that was read.
func (e *Elector) next(row record.Record, current lease.Lease) lease.Lease {
	era := eras.Of(row.Version)
	next := lease.Lease{
		Holder:           e.Self,
		Incarnation:      e.Incarnation,
		Fence:            max(current.Fence+1, row.Version),
		TermMillis:       e.Term.Milliseconds(),
		Era:              era,
		KnownSinceMillis: current.KnownSinceMillis,
		WriteID:          e.NewID(),
	}
	if current.Era != era {
		next.KnownSinceMillis = e.eraSeenWall.UnixMilli()
		return next
	}
	if e.isOwn(current) {
		next.Fence = current.Fence
	}
	return next
}

// extend sets the time until which the lease is held with a row, counted from when the row was sent.
func (e *Elector) extend(row lease.Lease, sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := time.UnixMilli(row.KnownSinceMillis); !e.Now().Before(e.heldUntil) || known.Before(e.knownSince) {
		e.knownSince = known
	}
	until := sent.Add(time.Duration(float64(e.Term) * holdFraction))
	if until.After(e.heldUntil) {
		e.heldUntil = until
	}
	e.fence = row.Fence
}

// invalidate marks the lease as not held by this process.
func (e *Elector) invalidate() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heldUntil = time.Time{}
}

// Release releases the lease, so that others can acquire it at once.
func (e *Elector) Release(ctx context.Context) error {
	e.invalidate()
	row, err := e.Store.Read(ctx, e.Key)
	if err != nil || !row.Exists() {
		return err
	}
	var current lease.Lease
	if err := json.Unmarshal(row.Value, &current); err != nil || !e.isOwn(current) {
		return err
	}
	current.TermMillis = 0
	current.WriteID = e.NewID()
	value, err := json.Marshal(current)
	if err != nil {
		return fault.Wrap(kind.Internal, err, "lease %s is not encodable", e.Key)
	}
	_, err = e.Store.Commit(ctx, table.Txn{}.IfVersion(e.Key, row.Version).Put(e.Key, value))
	return err
}
