// Package table holds the conditional transactions of the platform's tables.
package table

import (
	"slices"

	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
)

// Txn is a conditional transaction: all writes are applied if all conditions hold, otherwise none is.
type Txn struct {
	// Conds lists the conditions.
	Conds []cond
	// Writes lists the writes.
	Writes []write
}

type cond struct {
	// Key is the key of the row to compare.
	Key string
	// Version is the version that the row must have, qualified by the store's era; 0 means that the row must not exist, in
	// whatever era.
	Version int64
}

type write struct {
	// Key is the key of the row to write.
	Key string
	// Value is the new content; nil deletes the row.
	Value []byte
}

// IsOfOtherEra reports whether a condition names a version of another era than the given one.
func (t Txn) IsOfOtherEra(era eras.Era) bool {
	return slices.ContainsFunc(t.Conds, func(c cond) bool { return c.Version != 0 && eras.Of(c.Version) != era })
}

// IfAbsent adds the condition that the row does not exist.
func (t Txn) IfAbsent(key string) Txn { return t.IfVersion(key, 0) }

// IfVersion adds the condition that the row has the given version.
func (t Txn) IfVersion(key string, version int64) Txn {
	t.Conds = append(t.Conds[:len(t.Conds):len(t.Conds)], cond{Key: key, Version: version})
	return t
}

// Put adds a write of the row.
func (t Txn) Put(key string, value []byte) Txn {
	t.Writes = append(t.Writes[:len(t.Writes):len(t.Writes)], write{Key: key, Value: value})
	return t
}

// Delete adds a deletion of the row.
func (t Txn) Delete(key string) Txn {
	t.Writes = append(t.Writes[:len(t.Writes):len(t.Writes)], write{Key: key})
	return t
}
