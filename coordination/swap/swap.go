// Package swap writes rows of the platform's store over the versions that this process knows, and over no others.
package swap

import (
	"bytes"
	"context"
	"sync"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

type store interface {
	Commit(ctx context.Context, t table.Txn) (int64, error)
	Read(ctx context.Context, key string) (record.Record, error)
}

// Rows writes rows of one table, each on the condition that it has the version that this process knows (compare and swap).
//
// The store may carry out a write seconds after its call got no answer, if the write's condition still holds. With this
// condition, such a write undoes no later one of the row, whoever made that.
//
// All methods may be called concurrently.
type Rows struct {
	// Store is the table.
	Store store

	mu sync.Mutex
	// known holds the newest version of each row that this process has read or written, and none of a deleted one.
	known map[string]record.Record
}

// Observe notes a row that was read from the table, unless a newer version of it is known.
func (rs *Rows) Observe(r record.Record) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if r.Version > rs.known[r.Key].Version {
		rs.set(r)
	}
}

// Known returns the newest version of a row that this process has read or written; it does not exist while none is known.
func (rs *Rows) Known(key string) record.Record {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r := rs.known[key]
	r.Key = key
	return r
}

// Write writes a row over its known version, one that is not known only if it does not exist, and returns its new version. A
// nil value deletes it.
//
// A Conflict error means that the row is another one than is known. Known then returns the row as it is, so that the caller
// can decide anew. A row that has the value already counts as written.
func (rs *Rows) Write(ctx context.Context, key string, value []byte) (version int64, err error) {
	before := rs.Known(key)
	txn := table.Txn{}.IfAbsent(key)
	if before.Exists() {
		txn = table.Txn{}.IfVersion(key, before.Version)
	}
	if value == nil {
		txn = txn.Delete(key)
	} else {
		txn = txn.Put(key, value)
	}
	version, err = rs.Store.Commit(ctx, txn)
	if err != nil {
		return 0, err
	}
	if version > 0 {
		rs.Observe(record.Record{Key: key, Value: value, Version: version, Deleted: value == nil})
		return version, nil
	}
	return rs.compare(ctx, key, value)
}

// compare reads a row whose condition failed, and returns its version if it has the value all the same.
func (rs *Rows) compare(ctx context.Context, key string, value []byte) (version int64, err error) {
	r, err := rs.Store.Read(ctx, key)
	if err != nil {
		return 0, err
	}
	rs.replace(r)
	if r.Exists() == (value != nil) && bytes.Equal(r.Value, value) {
		return r.Version, nil
	}
	return 0, fault.New(kind.Conflict, key, "another write of the row went before, at version %d", r.Version)
}

// replace notes a row as the table has it, also if its version is lower than the known one: the table was restored from a
// copy, or lacks the row.
func (rs *Rows) replace(r record.Record) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.set(r)
}

// set notes a row. The caller holds rs.mu.
func (rs *Rows) set(r record.Record) {
	if r.Deleted || !r.Exists() {
		delete(rs.known, r.Key)
		return
	}
	if rs.known == nil {
		rs.known = map[string]record.Record{}
	}
	rs.known[r.Key] = r
}
