// Package rules holds one revision of the operator's configuration.
package rules

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/back"
	"github.com/dragonflyroute/dragonflyroute/protocol/client"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
)

// Config is one revision of the operator's configuration: routes, back ends, client accounts and limits on requests.
type Config struct {
	// Revision grows with each change; the steps are not all 1.
	Revision int64
	// Routes holds the routes.
	Routes []path.Route
	// Backends holds the back ends.
	Backends []back.Backend
	// Accounts holds the client accounts; when it is empty, no key is required.
	Accounts []client.Account
	// MaxHeaderBytes is the maximum size of a request's headers.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// HeaderTimeout is the maximum time that a caller may take to send its headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may be idle before it is closed.
	IdleTimeout time.Duration
}
