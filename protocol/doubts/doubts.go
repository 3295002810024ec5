// Package doubts holds the failure suspicions that entry hosts gossip.
package doubts

import "github.com/dragonflyroute/dragonflyroute/protocol/host"

// Doubts is one host's view of peers that may have failed.
type Doubts struct {
	// Unreached lists the hosts that have not answered the sender recently.
	Unreached []host.ID `json:"unreached,omitempty"`
	// Gone holds the hosts that several peers failed to reach, with the time since then in milliseconds.
	Gone map[host.ID]int64 `json:"gone,omitempty"`
	// Back holds the hosts that were considered gone and have sent a heartbeat since, with the time since that heartbeat in
	// milliseconds.
	Back map[host.ID]int64 `json:"back,omitempty"`
}
