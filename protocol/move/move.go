// Package move holds the state of one version move.
package move

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/share"
)

// The states of a move.
const (
	// Ramping takes a growing share of the traffic.
	Ramping = "ramping"
	// Done has all traffic on the new version.
	Done = "done"
	// TakenBack has all traffic on the old version again.
	TakenBack = "taken-back"
)

// Move is one request to bring an entry's traffic to another version.
type Move struct {
	// ID is unique over all moves.
	ID string `json:"id"`
	// Entry is the catalogue entry that moves.
	Entry label.Name `json:"entry"`
	// From is the version that had all traffic.
	From label.Name `json:"from"`
	// To is the version that shall have all traffic.
	To label.Name `json:"to"`
	// Started is when the move was accepted.
	Started time.Time `json:"started"`
	// FinishBy is when the move must be done or taken back.
	FinishBy time.Time `json:"finish-by"`
	// Share is the part of all traffic, 0 to 1, that To may get.
	Share float64 `json:"share"`
	// Routes holds the share of each route; a route that is not listed has none.
	Routes []share.Share `json:"routes,omitempty"`
	// State is ramping, done or taken-back.
	State string `json:"state"`
	// Reason says why the move was taken back.
	Reason string `json:"reason,omitempty"`
	// Fence is the fencing number of the mover that wrote last.
	Fence int64 `json:"fence"`
}

// Ended reports whether the move is done or taken back.
func (m *Move) Ended() bool { return m.State != Ramping }

// ShareOf returns the part of a route's traffic, 0 to 1, that To may get.
func (m *Move) ShareOf(route string) float64 {
	for i := range m.Routes {
		if m.Routes[i].Name == route {
			return m.Routes[i].Share
		}
	}
	return 0
}
