// Package permit holds a permit to send one request to an endpoint that limits its requests.
package permit

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/notice"
)

// Permit is a request for a permit, and its response.
type Permit struct {
	// Endpoint is the endpoint that the request is for.
	Endpoint endpt.ID `json:"endpoint"`
	// Notice is what the sender knows of the endpoint's limit.
	Notice notice.Notice `json:"notice"`
	// Granted is set in a response that permits one request.
	Granted bool `json:"granted,omitempty"`
	// Wait is the time after which another permit may be requested, in a response that does not grant one.
	Wait time.Duration `json:"wait-ns,omitempty"`
}
