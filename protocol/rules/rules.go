// Package rules holds one revision of the operator's configuration.
package rules

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/back"
	"github.com/dragonflyroute/dragonflyroute/protocol/client"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
)

// Rules is one revision of the operator's configuration: routes, back ends, client accounts and limits on requests.
type Rules struct {
	// Revision grows with each change; the steps are not all 1.
	Revision int64
	// Paths holds the routes.
	Paths []path.Path
	// Backs holds the back ends.
	Backs []back.Back
	// Clients holds the client accounts; when it is empty, no key is required.
	Clients []client.Client
	// HeaderBytes is the maximum size of a request's headers.
	HeaderBytes int
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// HeaderTime is the maximum time that a caller may take to send its headers.
	HeaderTime time.Duration
	// IdleTime is how long a caller's connection may be idle before it is closed.
	IdleTime time.Duration
}
