// Package health holds the failure suspicions that entry hosts gossip.
package health

import "github.com/dragonflyroute/dragonflyroute/protocol/host"

// Suspicions is one host's view of peers that may have failed.
type Suspicions struct {
	// Unreachable lists the hosts that have not answered the sender recently.
	Unreachable []host.ID `json:"unreached,omitempty"`
	// Gone holds the hosts that several peers failed to reach, with the time since then in milliseconds.
	Gone map[host.ID]int64 `json:"gone,omitempty"`
	// Recovered holds the hosts that were considered gone and have sent a heartbeat since, with the time since that
	// heartbeat in milliseconds.
	Recovered map[host.ID]int64 `json:"back,omitempty"`
}
