// Package class enumerates the classes of requests.
package class

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

//go:generate stringer -type=Class -linecomment

// Class is the class of a catalogue entry's requests; scheduling priority and time limits depend on it.
type Class uint8

// The classes of requests.
const (
	// Quick is an interactive model request.
	Quick Class = iota // quick
	// Long is a model request that tolerates some queueing.
	Long // long
	// Call is a plain call to a service.
	Call // call
)

// MarshalText writes the class's name.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText reads a class's name; it returns a BadRequest error for any other text.
func (c *Class) UnmarshalText(text []byte) error {
	for k := Quick; k <= Call; k++ {
		if k.String() == string(text) {
			*c = k
			return nil
		}
	}
	return fault.New(kind.BadRequest, "class", "%q is not one of quick, long, call", text)
}
