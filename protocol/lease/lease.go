// Package lease holds the row of one lease.
package lease

import "github.com/dragonflyroute/dragonflyroute/protocol/host"

// Lease is the row that names who may act for a resource.
type Lease struct {
	// Holder is the entry host that holds the lease.
	Holder host.ID `json:"holder"`
	// Incarnation is the start of the holder.
	Incarnation int64 `json:"incarnation"`
	// Fence grows with each new holder.
	Fence int64 `json:"fence"`
	// TermMillis is the time from a renewal until others may take the lease.
	TermMillis int64 `json:"term-ms"`
	// WriteID is unique to the write.
	WriteID string `json:"write-id"`
}
