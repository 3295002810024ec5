// Package record holds one row of the platform's tables.
package record

import "github.com/dragonflyroute/dragonflyroute/protocol/eras"

// Record is a row as read from a table.
type Record struct {
	// Key is the row's key.
	Key string `json:"key"`
	// Value is the row's content.
	Value []byte `json:"value,omitempty"`
	// Version grows with each write of the row. It is qualified by the store's era, and without that 0 for a row that does
	// not exist.
	Version int64 `json:"version"`
	// Deleted is set in a list of changes when the row was deleted.
	Deleted bool `json:"dropped,omitempty"`
}

// Exists reports whether the row exists.
func (r Record) Exists() bool { return eras.Local(r.Version) > 0 }
