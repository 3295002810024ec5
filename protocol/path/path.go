// Package path holds one route of callers' requests.
package path

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/mode"
	"github.com/dragonflyroute/dragonflyroute/protocol/share"
)

// Path is one route: which requests it takes, where they go and what its callers expect.
type Path struct {
	// Name names the route.
	Name label.Name
	// Host is the name that callers ask for.
	Host string
	// Prefix begins the URL paths that the route takes; it begins and ends with a slash.
	Prefix string
	// Mode tells what may be repeated.
	Mode mode.Mode
	// Backends holds the back ends and their parts of the traffic, which add up to 1.
	Backends []share.Share
	// Timeout bounds the time that a request may be kept waiting.
	Timeout time.Duration
	// Target is the latency objective; for streams it runs up to the first event.
	Target time.Duration
	// Gap is the longest pause between events of a stream that is still on time.
	Gap time.Duration
	// Priority ranks the route; 0 comes first.
	Priority int
	// Attempts bounds the endpoints that one request may be sent to.
	Attempts int
	// Public routes need no key.
	Public bool
}
