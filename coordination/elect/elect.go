// Package elect acquires and renews leases.
package elect

import (
	"context"
	"encoding/json"
	"sync"
	"time"

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
	// NewID returns a unique write id.
	NewID func() string

	mu        sync.Mutex
	heldUntil time.Time
	fence     int64

	// seenID is the write id of the newest renewal seen, by any process, and seenAt when it was first seen.
	seenID string
	seenAt time.Time
	// sentAt is when the last write was sent, by its write id.
	sentAt map[string]time.Time
	// lastRow is the row as last written by this process; its version is 0 unless the write is known to have succeeded.
	lastRow record.Record
}

// Held returns the fencing number if the process holds the lease now; call it again before each protected operation.
func (e *Elector) Held() (fence int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fence, e.Now().Before(e.heldUntil)
}

// Step renews the lease, or acquires it when it is free or its term has expired.
//
// A renewal of a held lease needs no read: it is committed conditionally on the version that the previous write
// returned.
func (e *Elector) Step(ctx context.Context) error {
	if _, held := e.Held(); held && e.lastRow.Version > 0 {
		return e.write(ctx, e.lastRow, lease.Lease{Holder: e.Self, Incarnation: e.Incarnation, Fence: e.fence})
	}
	row, err := e.Store.Read(ctx, e.Key)
	if err != nil {
		return err
	}
	seen := e.Now()
	var current lease.Lease
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return fault.Wrap(kind.Internal, err, "lease %s is not decodable", e.Key)
		}
	}
	e.observe(current, seen)
	if !e.mayAcquire(row, current) {
		return nil
	}
	return e.write(ctx, row, current)
}

// observe records when a renewal was first seen, and accepts an own renewal whose answer was lost.
func (e *Elector) observe(current lease.Lease, now time.Time) {
	if sent, ok := e.sentAt[current.WriteID]; ok {
		e.extend(current.Fence, sent)
	}
	if current.WriteID != e.seenID {
		e.seenID = current.WriteID
		e.seenAt = now
	}
}

// mayAcquire reports whether the lease is free, expired or already this process's.
func (e *Elector) mayAcquire(row record.Record, current lease.Lease) bool {
	if row.Version == 0 || current.TermMillis == 0 || e.isOwn(current) {
		return true
	}
	term := time.Duration(current.TermMillis) * time.Millisecond
	return e.Now().Sub(e.seenAt) > term
}

// isOwn reports whether the lease was written by this incarnation of the process.
func (e *Elector) isOwn(current lease.Lease) bool {
	return current.Holder == e.Self && current.Incarnation == e.Incarnation
}

// write commits a renewal or an acquisition over the row that was read; an acquisition increments the fencing number.
func (e *Elector) write(ctx context.Context, row record.Record, current lease.Lease) error {
	next := lease.Lease{
		Holder:      e.Self,
		Incarnation: e.Incarnation,
		Fence:       current.Fence + 1,
		TermMillis:  e.Term.Milliseconds(),
		WriteID:     e.NewID(),
	}
	if e.isOwn(current) {
		next.Fence = current.Fence
	}
	value, err := json.Marshal(next)
	if err != nil {
		return fault.Wrap(kind.Internal, err, "lease %s is not encodable", e.Key)
	}
	sent := e.Now()
	e.sentAt = map[string]time.Time{next.WriteID: sent}
	version, err := e.Store.Commit(ctx, table.Txn{}.IfVersion(e.Key, row.Version).Put(e.Key, value))
	e.lastRow = record.Record{Key: e.Key, Value: value, Version: version}
	if err != nil {
		return err
	}
	if version == 0 {
		// Another process has written the row, so the lease is no longer held.
		e.invalidate()
		return nil
	}
	e.extend(next.Fence, sent)
	return nil
}

// extend sets the time until which the lease is held, counted from when the write was sent.
func (e *Elector) extend(fence int64, sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	until := sent.Add(time.Duration(float64(e.Term) * holdFraction))
	if until.After(e.heldUntil) {
		e.heldUntil = until
	}
	e.fence = fence
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
	if err != nil || row.Version == 0 {
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
