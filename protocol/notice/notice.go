// Package notice holds what an endpoint has said of its request limit, as hosts tell each other.
package notice

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/pace"
)

// Notice is the newest knowledge of an endpoint's request limit.
type Notice struct {
	// StartMillis is the start of the endpoint's process, in Unix milliseconds.
	StartMillis int64 `json:"start-ms"`
	// InForce is set while the endpoint names a limit, and PerSecond is that limit.
	InForce   bool      `json:"in-force,omitempty"`
	PerSecond pace.Pace `json:"per-second,omitempty"`
	// Age is the time since the endpoint is known to have named the limit, or to have named none.
	Age time.Duration `json:"age-ns"`
}
