package calls

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/dragonflyroute/dragonflyroute/model/store"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

// ownerLeaseTerm is the term of the lease under which an entry host owns keys; it is longer than every outage.
const ownerLeaseTerm = 1500 * time.Millisecond

// localVersionBase is higher than every version in the table.
const localVersionBase = 1 << 40

// ownerStore is the table as used with Leased: an owner of keys under a long lease keeps claims in its memory while the
// table doesn't answer, and writes them to the table later (write-behind).
type ownerStore struct {
	history *History
	store   *store.Store
	// leaseStart is the time when the previous incarnation's lease has expired.
	leaseStart time.Time
	renewedAt  time.Time
	localSeq   int64
	rows       map[string]record.Record
	dirty      map[string]bool
}

func newOwnerStore(c *History, previous *ownerStore) *ownerStore {
	leaseStart := c.sched.Now()
	if previous != nil {
		leaseStart = previous.renewedAt.Add(ownerLeaseTerm)
	}
	return &ownerStore{history: c, store: c.store, leaseStart: leaseStart, renewedAt: leaseStart, rows: map[string]record.Record{}, dirty: map[string]bool{}}
}

// leaseHeld reports whether the lease is valid now.
func (o *ownerStore) leaseHeld() bool {
	now := o.history.sched.Now()
	return !now.Before(o.leaseStart) && now.Sub(o.renewedAt) < ownerLeaseTerm
}

// Read returns one row: the owner's, else the table's, or an empty one while the table is down. Without the lease the
// error is kind.Unavailable.
func (o *ownerStore) Read(ctx context.Context, key string) (record.Record, error) {
	if row, ok := o.rows[key]; ok {
		return row, nil
	}
	if !o.leaseHeld() {
		return record.Record{}, fault.New(kind.Unavailable, "", "owner lease not held")
	}
	row, err := o.store.Read(ctx, key)
	if err != nil {
		return record.Record{Key: key}, nil
	}
	return row, nil
}

// Commit writes to the table, or to the owner's memory while the table is down. It returns version zero if the row has
// changed, and kind.OutcomeUnknown without the lease.
func (o *ownerStore) Commit(ctx context.Context, t table.Txn) (int64, error) {
	key := t.Conds[0].Key
	if _, cached := o.rows[key]; !cached {
		version, err := o.store.Commit(ctx, t)
		if err == nil {
			return version, nil
		}
	}
	if !o.leaseHeld() {
		return 0, fault.New(kind.OutcomeUnknown, "", "owner lease not held; write not confirmed by the table and not kept in memory")
	}
	if row, cached := o.rows[key]; cached && row.Version != t.Conds[0].Version {
		return 0, nil
	}
	o.localSeq++
	version := localVersionBase + o.localSeq
	o.rows[key] = record.Record{Key: key, Value: t.Writes[0].Value, Version: version}
	o.dirty[key] = true
	return version, nil
}

// writeBehind renews the lease and writes the rows kept in memory to the table, unless the table is down or the
// previous incarnation's lease hasn't expired.
func (o *ownerStore) writeBehind(ctx context.Context) {
	if o.store.Down || o.history.sched.Now().Before(o.leaseStart) {
		return
	}
	o.renewedAt = o.history.sched.Now()
	for key := range o.dirty {
		if _, err := o.store.Commit(ctx, table.Txn{}.Put(key, o.rows[key].Value)); err == nil {
			delete(o.dirty, key)
		}
	}
}

// owner returns the entry host that owns a key.
func (c *History) owner(key string) *process {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return c.hosts[h.Sum32()%entryHosts]
}
