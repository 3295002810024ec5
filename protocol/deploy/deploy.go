// Package deploy holds the order to an engine to load a version.
package deploy

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/guard"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// Order states the version that an engine is to serve. It is idempotent: it may be sent any number of times.
type Order struct {
	// Endpoint is the engine's id.
	Endpoint endpt.ID
	// Address is the engine's IP address and port.
	Address string
	// DataCentre is the engine's data centre.
	DataCentre centre.ID
	// Version is the version to serve.
	Version label.Name
	// Fencing is how the engine treats fencing numbers.
	Fencing guard.Guard
}
