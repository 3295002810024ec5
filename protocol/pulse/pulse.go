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
	// Starting has no configuration yet.
	Starting = "starting"
	// Live accepts new requests.
	Live = "live"
	// Leaving is draining.
	Leaving = "leaving"
)

// Pulse is the state of an entry host, sent to its peers at regular intervals.
type Pulse struct {
	// Host is the sender.
	Host host.ID `json:"host"`
	// Incarnation identifies the start of the sender's process; it grows with each start.
	Incarnation int64 `json:"incarnation"`
	// Seq grows with each heartbeat of the incarnation.
	Seq int64 `json:"seq"`
	// Callers is the address that callers connect to.
	Callers string `json:"callers"`
	// Peers is the address that entry hosts connect to.
	Peers string `json:"peers"`
	// DataCentre is the sender's data centre.
	DataCentre centre.ID `json:"data-centre"`
	// State is starting, live or leaving.
	State string `json:"state"`
	// Revision is the sender's catalogue revision.
	Revision int64 `json:"revision"`
	// ConfirmedMillis is the time since the table last confirmed that revision to the sender, or to a host whose heartbeats it
	// receives, in milliseconds.
	ConfirmedMillis int64 `json:"confirmed-ms"`
	// Running is the number of model requests that the sender has running.
	Running int `json:"running"`
	// Load is the number of callers' requests in flight, model requests and calls.
	Load int `json:"load"`
	// Weight is the sender's relative weight in address answers, at most 1; 0 when not reported.
	Weight float64 `json:"weight"`
	// Withdrawn lists the withdrawn moves that the sender knows of.
	Withdrawn []string `json:"withdrawn,omitempty"`
	// Own holds the sender's load statistics, nil when they and Usage are sent in queries instead.
	Own *sums.Sums `json:"own,omitempty"`
	// Read lists, by endpoint, the hashes of prompt parts that the endpoint has recently processed for the sender.
	Read map[string][]uint64 `json:"read,omitempty"`
	// Announced lists the endpoints that have reported that they are leaving, with the start of the endpoint process that
	// reported it, in Unix milliseconds.
	Announced map[string]int64 `json:"announced,omitempty"`
	// Doubts is the sender's view of hosts that may have failed.
	Doubts doubts.Doubts `json:"doubts"`
	// Trials is the sender's outcome counts of running moves of back ends, by move.
	Trials map[string][]trial.Trial `json:"trials,omitempty"`
	// Usage is the sender's requests that began to run in each of the newest usage windows.
	Usage []window.Window `json:"usage,omitempty"`
}
