// Package path holds the definition of a route.
package path

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/mode"
	"github.com/dragonflyroute/dragonflyroute/protocol/share"
)

// Route is a route: the requests that it matches, the back ends that serve them and its latency objectives.
type Route struct {
	// Name is the route's name.
	Name label.Name
	// Hostname is the host name that requests are addressed to.
	Hostname string
	// Prefix is the prefix of the URL paths that the route matches; it begins and ends with a slash.
	Prefix string
	// Mode is whether requests may be retried and whether answers are streams.
	Mode mode.Mode
	// Backends holds the back ends and their fractions of the traffic, which add up to 1.
	Backends []share.Share
	// Timeout is the maximum time that a request may wait for its answer.
	Timeout time.Duration
	// TargetLatency is the latency objective; for streams it applies to the first event.
	TargetLatency time.Duration
	// TargetGap is the maximum time between events of a stream that meets its latency objective.
	TargetGap time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of endpoints that one request may be sent to.
	MaxAttempts int
	// Public is set when the route requires no key.
	Public bool
}
