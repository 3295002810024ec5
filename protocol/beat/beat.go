// Package beat holds the heartbeat that entry hosts exchange.
package beat

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/health"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/stats"
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

// Heartbeat is the state of an entry host, sent to its peers at regular intervals.
type Heartbeat struct {
	// Host is the sender.
	Host host.ID `json:"host"`
	// Incarnation identifies the start of the sender's process; it grows with each start.
	Incarnation int64 `json:"incarnation"`
	// Seq grows with each heartbeat of the incarnation.
	Seq int64 `json:"seq"`
	// CallerAddress is the address that callers connect to.
	CallerAddress string `json:"callers"`
	// PeerAddress is the address that entry hosts connect to.
	PeerAddress string `json:"peers"`
	// DataCentre is the sender's data centre.
	DataCentre centre.ID `json:"data-centre"`
	// State is starting, live or leaving.
	State string `json:"state"`
	// Revision is the sender's catalogue revision.
	Revision int64 `json:"revision"`
	// ConfirmedMillis is the time since the table last confirmed that revision to the sender, or to a host whose
	// heartbeats it receives, in milliseconds.
	ConfirmedMillis int64 `json:"confirmed-ms"`
	// Running is the number of model requests that the sender has running.
	Running int `json:"running"`
	// InFlight is the number of callers' requests in flight, model requests and calls.
	InFlight int `json:"load"`
	// Weight is the sender's relative weight in address answers, at most 1; 0 when not reported.
	Weight float64 `json:"weight"`
	// Withdrawn lists the withdrawn moves that the sender knows of.
	Withdrawn []string `json:"withdrawn,omitempty"`
	// Stats holds the sender's load statistics, nil when they and Usage are sent in queries instead.
	Stats *stats.Stats `json:"own,omitempty"`
	// NewlyCached lists, by endpoint, the hashes of prompt parts that the endpoint has recently processed for the sender.
	NewlyCached map[string][]uint64 `json:"read,omitempty"`
	// LeavingEndpoints lists the endpoints that have reported that they are leaving, with the start of the endpoint
	// process that reported it, in Unix milliseconds.
	LeavingEndpoints map[string]int64 `json:"announced,omitempty"`
	// Suspicions is the sender's view of hosts that may have failed.
	Suspicions health.Suspicions `json:"doubts"`
	// Trials is the sender's outcome counts of running moves of back ends, by move.
	Trials map[string][]trial.Trial `json:"trials,omitempty"`
	// Usage is the sender's requests that began to run in each of the newest usage windows.
	Usage []window.Window `json:"usage,omitempty"`
}
