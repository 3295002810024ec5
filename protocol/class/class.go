// Package class names the classes of work.
package class

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

//go:generate stringer -type=Class -linecomment

// Class is the class of work of a catalogue entry.
type Class uint8

// The classes of work.
const (
	// Quick is a model answer that a person waits for.
	Quick Class = iota // quick
	// Long is a model answer that can wait a little.
	Long // long
	// Call is a plain application call.
	Call // call
)

// MarshalText writes the class's name.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText reads a class's name; any other text is a bad request.
func (c *Class) UnmarshalText(text []byte) error {
	for k := Quick; k <= Call; k++ {
		if k.String() == string(text) {
			*c = k
			return nil
		}
	}
	return fault.New(kind.BadRequest, "class", "%q is none of quick, long, call", text)
}
