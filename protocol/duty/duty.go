// Package duty holds the version that one engine shall serve.
package duty

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/guard"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// Duty is an absolute order to an engine: however often it is sent, it means the same version.
type Duty struct {
	// Endpoint names the engine.
	Endpoint endpt.ID
	// Address is its IP number and port.
	Address string
	// DataCentre is where it stands.
	DataCentre centre.ID
	// Version is what it shall serve.
	Version label.Name
	// Guard is how it treats fencing numbers.
	Guard guard.Guard
}
