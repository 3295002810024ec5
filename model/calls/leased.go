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

// ownerTerm is the term of the lease under which the leased twin owns keys; it outlasts every outage.
const ownerTerm = 1500 * time.Millisecond

// ownVersions is above every version of the table.
const ownVersions = 1 << 40

// owned is the table as the leased twin sees it: while it does not answer, an owner of keys under a long lease claims
// in its memory, and writes behind when the table is back.
type owned struct {
	calls *Calls
	store *store.Store
	// from is when the lease of the incarnation before ends.
	from    time.Time
	renewed time.Time
	local   int64
	rows    map[string]record.Record
	dirty   map[string]bool
}

func newOwned(c *Calls, before *owned) *owned {
	from := c.sched.Now()
	if before != nil {
		from = before.renewed.Add(ownerTerm)
	}
	return &owned{calls: c, store: c.store, from: from, renewed: from, rows: map[string]record.Record{}, dirty: map[string]bool{}}
}

func (o *owned) held() bool {
	now := o.calls.sched.Now()
	return !now.Before(o.from) && now.Sub(o.renewed) < ownerTerm
}

// Read returns one row: the owner's own, the table's, or none while the table is down.
func (o *owned) Read(ctx context.Context, key string) (record.Record, error) {
	if row, ok := o.rows[key]; ok {
		return row, nil
	}
	if !o.held() {
		return record.Record{}, fault.New(kind.Unavailable, "", "the lease is not held")
	}
	row, err := o.store.Read(ctx, key)
	if err != nil {
		return record.Record{Key: key}, nil
	}
	return row, nil
}

// Commit writes to the table, or to the owner's memory while the table is down.
func (o *owned) Commit(ctx context.Context, t table.Txn) (int64, error) {
	key := t.Conds[0].Key
	if _, ours := o.rows[key]; !ours {
		version, err := o.store.Commit(ctx, t)
		if err == nil {
			return version, nil
		}
	}
	if !o.held() {
		return 0, fault.New(kind.OutcomeUnknown, "", "the lease ended")
	}
	if row, ours := o.rows[key]; ours && row.Version != t.Conds[0].Version {
		return 0, nil
	}
	o.local++
	version := ownVersions + o.local
	o.rows[key] = record.Record{Key: key, Value: t.Writes[0].Value, Version: version}
	o.dirty[key] = true
	return version, nil
}

// behind renews the lease and writes what the table has not got, while the table answers.
func (o *owned) behind(ctx context.Context) {
	if o.store.Down || o.calls.sched.Now().Before(o.from) {
		return
	}
	o.renewed = o.calls.sched.Now()
	for key := range o.dirty {
		if _, err := o.store.Commit(ctx, table.Txn{}.Put(key, o.rows[key].Value)); err == nil {
			delete(o.dirty, key)
		}
	}
}

// owner returns the entry host that owns a key.
func (c *Calls) owner(key string) *process {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return c.hosts[h.Sum32()%entryHosts]
}
