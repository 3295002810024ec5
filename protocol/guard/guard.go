// Package guard enumerates how engines treat the fencing numbers of orders.
package guard

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

//go:generate stringer -type=Guard -linecomment

// Guard is whether the engines of a back end accept orders to load versions and check their fencing numbers.
type Guard uint8

// The ways in which engines treat orders.
const (
	// None accepts no orders.
	None Guard = iota // none
	// Fenced rejects an order whose fencing number is older than the latest that the engine has seen.
	Fenced // fenced
	// Unfenced accepts every order and ignores its fencing number.
	Unfenced // unfenced
)

// MarshalText writes the guard's name.
func (g Guard) MarshalText() ([]byte, error) { return []byte(g.String()), nil }

// UnmarshalText reads a guard's name; it returns a BadRequest error for any other text.
func (g *Guard) UnmarshalText(text []byte) error {
	for k := None; k <= Unfenced; k++ {
		if k.String() == string(text) {
			*g = k
			return nil
		}
	}
	return fault.New(kind.BadRequest, "engine-orders", "%q is not one of none, fenced, unfenced", text)
}
