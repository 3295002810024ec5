// Package pulse holds the heartbeat that entry hosts exchange.
package pulse

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/doubts"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/sums"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
	"github.com/dragonflyroute/dragonflyroute/protocol/window"
)

// The states of an entry host.
const (
	// Starting has no catalogue yet.
	Starting = "starting"
	// Live takes new work.
	Live = "live"
	// Leaving drains.
	Leaving = "leaving"
)

// Pulse is one heartbeat of an entry host.
type Pulse struct {
	// Host names the sender.
	Host host.ID `json:"host"`
	// Incarnation is unique to one start of the sender and grows from start to start.
	Incarnation int64 `json:"incarnation"`
	// Seq grows with each heartbeat of the incarnation.
	Seq int64 `json:"seq"`
	// Callers is the address that callers connect to.
	Callers string `json:"callers"`
	// Peers is the address that entry hosts connect to.
	Peers string `json:"peers"`
	// DataCentre is where the sender stands.
	DataCentre centre.ID `json:"data-centre"`
	// State is starting, live or leaving.
	State string `json:"state"`
	// Revision is the sender's catalogue revision.
	Revision int64 `json:"revision"`
	// ConfirmedMillis is how long ago the table last confirmed that revision to anyone the sender heard.
	ConfirmedMillis int64 `json:"confirmed-ms"`
	// Running is the number of requests the sender has running.
	Running int `json:"running"`
	// Load is the number of callers' requests in progress, model requests and calls.
	Load int `json:"load"`
	// Weight is the sender's part in address answers, at most 1; nought means that it does not say.
	Weight float64 `json:"weight"`
	// Withdrawn lists the moves that the sender knows to be withdrawn.
	Withdrawn []string `json:"withdrawn,omitempty"`
	// Own holds the sender's figures, nil when they and Usage go another way.
	Own *sums.Sums `json:"own,omitempty"`
	// Read lists parts of prompts that an endpoint has lately read for the sender, by endpoint.
	Read map[string][]uint64 `json:"read,omitempty"`
	// Announced lists the endpoints that said themselves that they leave, with the start (Unix millisecond) that said so.
	Announced map[string]int64 `json:"announced,omitempty"`
	// Doubts is the sender's word on hosts that may be gone.
	Doubts doubts.Doubts `json:"doubts"`
	// Trials is the sender's evidence on running moves of back ends, by move.
	Trials map[string][]trial.Trial `json:"trials,omitempty"`
	// Usage counts the sender's requests that began to run, for each of the newest windows.
	Usage []window.Window `json:"usage,omitempty"`
}
