// Package lease holds the stored form of a lease.
package lease

import "github.com/dragonflyroute/dragonflyroute/protocol/host"

// Lease is the table row that names the current holder of a lease.
type Lease struct {
	// Holder is the entry host that holds the lease.
	Holder host.ID `json:"holder"`
	// Incarnation identifies the start of the holder's process.
	Incarnation int64 `json:"incarnation"`
	// Fence is the fencing number; it grows with each new holder.
	Fence int64 `json:"fence"`
	// TermMillis is the time from a renewal until other hosts may acquire the lease, in milliseconds.
	TermMillis int64 `json:"term-ms"`
	// WriteID is unique to the write, so that a write whose response was lost can be recognised.
	WriteID string `json:"write-id"`
}
