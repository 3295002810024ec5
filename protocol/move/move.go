// Package move holds the state of a move of an entry's traffic to a new version.
package move

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/share"
)

// The states of a move.
const (
	// Ramping sends a growing share of the traffic to the new version.
	Ramping = "ramping"
	// Done has all traffic on the new version.
	Done = "done"
	// RolledBack has all traffic back on the old version.
	RolledBack = "taken-back"
)

// Move is the gradual move of an entry's traffic to another version, with its progress.
type Move struct {
	// ID is unique over all moves.
	ID string `json:"id"`
	// Entry is the catalogue entry whose traffic moves.
	Entry label.Name `json:"entry"`
	// From is the old version, empty while none is known to be good.
	From label.Name `json:"from"`
	// To is the new version.
	To label.Name `json:"to"`
	// Started is when the move was accepted.
	Started time.Time `json:"started"`
	// FinishBy is the deadline by which the move is done or rolled back.
	FinishBy time.Time `json:"finish-by"`
	// Share is the fraction of all traffic, 0 to 1, that To may receive.
	Share float64 `json:"share"`
	// Routes holds the share of each route; a route that is not listed has none.
	Routes []share.Share `json:"routes,omitempty"`
	// State is ramping, done or taken-back.
	State string `json:"state"`
	// Reason is why the move was rolled back.
	Reason string `json:"reason,omitempty"`
	// Rejected lists the versions of earlier moves that were not found good: they are neither the old nor the new version.
	Rejected []label.Name `json:"rejected,omitempty"`
	// Fence is the fencing number of the lease holder that wrote the move last.
	Fence int64 `json:"fence"`
	// Version is the version of the row from which the move was read, or to which it was written.
	Version int64 `json:"-"`
}

// Ended reports whether the move is done or rolled back.
func (m *Move) Ended() bool { return m.State != Ramping }

// Proved reports whether the new version was found good: the move is done, or has all traffic on it and only waits to be.
func (m *Move) Proved() bool { return m.State == Done || m.State == Ramping && m.Share >= 1 }

// ShareOf returns the fraction of a route's traffic, 0 to 1, that To may receive.
func (m *Move) ShareOf(route string) float64 {
	for i := range m.Routes {
		if m.Routes[i].Name == route {
			return m.Routes[i].Fraction
		}
	}
	return 0
}
