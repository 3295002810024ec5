// Package avail enumerates why an endpoint gets no requests.
package avail

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

//go:generate stringer -type=State -linecomment

// State is whether an endpoint may get requests from a host, and if not, why.
type State uint8

// The states.
const (
	// Available is an endpoint that may get requests.
	Available State = iota // available
	// BackingOff is an endpoint that failed a moment ago; it gets requests only if no other one may.
	BackingOff // backing-off
	// Paused is an endpoint that asked for a pause.
	Paused // paused
	// Limited is an endpoint at its own request limit.
	Limited // limited
	// Cold is an endpoint that is cold after a start, and takes requests of a few hosts only.
	Cold // cold
	// Evacuated is an endpoint in an evacuated data centre.
	Evacuated // evacuated
	// Leaving is an endpoint that takes no new work.
	Leaving // leaving
)

// MarshalText writes the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state's name; it returns a BadRequest error for an unknown one.
func (s *State) UnmarshalText(text []byte) error {
	for known := Available; known <= Leaving; known++ {
		if known.String() == string(text) {
			*s = known
			return nil
		}
	}
	return fault.New(kind.BadRequest, "state", "%q is unknown", text)
}
