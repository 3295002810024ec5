// Package rules holds one revision of the operator's configuration.
package rules

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/back"
	"github.com/dragonflyroute/dragonflyroute/protocol/client"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
)

// Rules is one revision of what the operator wants: routes, back ends, client accounts and callers' bounds.
type Rules struct {
	// Revision grows with each change, in uneven steps.
	Revision int64
	// Paths holds the routes.
	Paths []path.Path
	// Backs holds the back ends.
	Backs []back.Back
	// Clients holds the client accounts; without any, no key is asked for.
	Clients []client.Client
	// HeaderBytes bounds a request's headers.
	HeaderBytes int
	// BodyBytes bounds a request's body.
	BodyBytes int64
	// HeaderTime bounds the time in which a caller sends its headers.
	HeaderTime time.Duration
	// IdleTime is how long a caller may keep an idle connection.
	IdleTime time.Duration
}
