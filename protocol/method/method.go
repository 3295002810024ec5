// Package method enumerates the ways in which an endpoint is chosen for a request.
package method

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

//go:generate stringer -type=Method -linecomment

// Method is the way in which an endpoint is chosen for a request.
type Method uint8

// The methods.
const (
	// Random draws an endpoint of a back end by its free slots.
	Random Method = iota // random
	// Sample compares the costs of some endpoints, as far as the receiving host knows their load.
	Sample // sample
	// Keeper compares the costs of a shard's endpoints at the host that knows their load.
	Keeper // keeper
)

// MarshalText writes the method's name.
func (m Method) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText reads a method's name; it returns a BadRequest error for an unknown one.
func (m *Method) UnmarshalText(text []byte) error {
	for known := Random; known <= Keeper; known++ {
		if known.String() == string(text) {
			*m = known
			return nil
		}
	}
	return fault.New(kind.BadRequest, "method", "%q is unknown", text)
}
