// Package lease holds the stored form of a lease.
package lease

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
)

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
	// Era is the era of the store in which the row was written. A row of an earlier era came back with a restore.
	Era eras.Era `json:"era,omitempty"`
	// KnownSinceMillis is the wall-clock time, in Unix milliseconds, since which nothing that a holder wrote has been lost
	// with a restore of the store.
	KnownSinceMillis int64 `json:"known-since-ms,omitempty"`
	// WriteID is unique to the write, so that a write whose response was lost can be recognised.
	WriteID string `json:"write-id"`
}
