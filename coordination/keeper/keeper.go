// Package keeper takes and keeps leases.
package keeper

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

// holdFraction is the part of the term after which the holder stops, before others may start.
const holdFraction = 0.8

type store interface {
	Commit(ctx context.Context, t table.Txn) (int64, error)
	Read(ctx context.Context, key string) (record.Record, error)
}

// Keeper takes one lease and renews it with each Step.
//
// Clocks of hosts need not agree: the holder counts its term from before the renewal was sent, everybody else
// from after the read that first showed the renewal, each on its own monotonic clock. Effects that nobody fences
// must take less than a fifth of the term from the look at Held. Step must not be called concurrently;
// Held may be.
type Keeper struct {
	// Store is the platform's table.
	Store store
	// Key is the lease's row.
	Key string
	// Self names the process's host.
	Self host.ID
	// Incarnation is this start of the process.
	Incarnation int64
	// Term is the lease's term.
	Term time.Duration
	// Now returns the monotonic time.
	Now func() time.Time
	// NewID returns a fresh write id.
	NewID func() string

	mu        sync.Mutex
	heldUntil time.Time
	fence     int64

	seenID string
	seenAt time.Time
	sentAt map[string]time.Time
	// lastRow is the own row as last written, whose version is 0 when it is not known to be the table's.
	lastRow record.Record
}

// Held returns the fencing number if the process holds the lease now; call it again before each effect.
func (k *Keeper) Held() (fence int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fence, k.Now().Before(k.heldUntil)
}

// Step renews the lease, or takes it when it is free or its term is over.
//
// A renewal of a lease that is held needs no read: it is committed over the version that the one before has made.
func (k *Keeper) Step(ctx context.Context) error {
	if _, held := k.Held(); held && k.lastRow.Version > 0 {
		return k.write(ctx, k.lastRow, lease.Lease{Holder: k.Self, Incarnation: k.Incarnation, Fence: k.fence})
	}
	row, err := k.Store.Read(ctx, k.Key)
	if err != nil {
		return err
	}
	seen := k.Now()
	var current lease.Lease
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return fault.Wrap(kind.Internal, err, "lease %s is not readable", k.Key)
		}
	}
	k.observe(current, seen)
	if !k.mayAcquire(row, current) {
		return nil
	}
	return k.write(ctx, row, current)
}

// observe notes the first sight of a renewal, and accepts an own renewal whose answer was lost.
func (k *Keeper) observe(current lease.Lease, now time.Time) {
	if sent, ok := k.sentAt[current.WriteID]; ok {
		k.extend(current.Fence, sent)
	}
	if current.WriteID != k.seenID {
		k.seenID = current.WriteID
		k.seenAt = now
	}
}

func (k *Keeper) mayAcquire(row record.Record, current lease.Lease) bool {
	if row.Version == 0 || current.TermMillis == 0 || k.isOwn(current) {
		return true
	}
	term := time.Duration(current.TermMillis) * time.Millisecond
	return k.Now().Sub(k.seenAt) > term
}

func (k *Keeper) isOwn(current lease.Lease) bool {
	return current.Holder == k.Self && current.Incarnation == k.Incarnation
}

func (k *Keeper) write(ctx context.Context, row record.Record, current lease.Lease) error {
	next := lease.Lease{
		Holder:      k.Self,
		Incarnation: k.Incarnation,
		Fence:       current.Fence + 1,
		TermMillis:  k.Term.Milliseconds(),
		WriteID:     k.NewID(),
	}
	if k.isOwn(current) {
		next.Fence = current.Fence
	}
	value, err := json.Marshal(next)
	if err != nil {
		return fault.Wrap(kind.Internal, err, "lease %s is not writable", k.Key)
	}
	sent := k.Now()
	k.sentAt = map[string]time.Time{next.WriteID: sent}
	version, err := k.Store.Commit(ctx, table.Txn{}.IfVersion(k.Key, row.Version).Put(k.Key, value))
	k.lastRow = record.Record{Key: k.Key, Value: value, Version: version}
	if err != nil {
		return err
	}
	if version == 0 {
		// Somebody else has written the row: what was held before is over.
		k.invalidate()
		return nil
	}
	k.extend(next.Fence, sent)
	return nil
}

func (k *Keeper) extend(fence int64, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	until := sent.Add(time.Duration(float64(k.Term) * holdFraction))
	if until.After(k.heldUntil) {
		k.heldUntil = until
	}
	k.fence = fence
}

func (k *Keeper) invalidate() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heldUntil = time.Time{}
}

// Release gives the lease up; others may take it at once.
func (k *Keeper) Release(ctx context.Context) error {
	k.invalidate()
	row, err := k.Store.Read(ctx, k.Key)
	if err != nil || row.Version == 0 {
		return err
	}
	var current lease.Lease
	if err := json.Unmarshal(row.Value, &current); err != nil || !k.isOwn(current) {
		return err
	}
	current.TermMillis = 0
	current.WriteID = k.NewID()
	value, err := json.Marshal(current)
	if err != nil {
		return fault.Wrap(kind.Internal, err, "lease %s is not writable", k.Key)
	}
	_, err = k.Store.Commit(ctx, table.Txn{}.IfVersion(k.Key, row.Version).Put(k.Key, value))
	return err
}
