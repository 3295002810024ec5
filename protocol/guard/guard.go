// Package guard names how engines treat orders with a fencing number.
package guard

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

//go:generate stringer -type=Guard -linecomment

// Guard is how the engines of a back end treat orders.
type Guard uint8

// The ways of engines with orders.
const (
	// None takes no orders.
	None Guard = iota // none
	// Fenced refuses an order with an old fencing number.
	Fenced // fenced
	// Unfenced ignores the number.
	Unfenced // unfenced
)

// MarshalText writes the guard's name.
func (g Guard) MarshalText() ([]byte, error) { return []byte(g.String()), nil }

// UnmarshalText reads a guard's name; any other text is a bad request.
func (g *Guard) UnmarshalText(text []byte) error {
	for k := None; k <= Unfenced; k++ {
		if k.String() == string(text) {
			*g = k
			return nil
		}
	}
	return fault.New(kind.BadRequest, "engine-orders", "%q is none of none, fenced, unfenced", text)
}
