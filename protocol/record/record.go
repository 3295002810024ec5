// Package record holds one row of the platform's tables.
package record

// Record is a row as read from a table.
type Record struct {
	// Key is the row's key.
	Key string `json:"key"`
	// Value is the row's content.
	Value []byte `json:"value,omitempty"`
	// Version changes with each write of the row; 0 means that the row does not exist.
	Version int64 `json:"version"`
	// Deleted is set in a list of changes when the row was deleted.
	Deleted bool `json:"dropped,omitempty"`
}
