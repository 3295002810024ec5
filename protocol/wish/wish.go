// Package wish holds the number of hosts that are wanted in one data centre.
package wish

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// Wish is an absolute order to the cloud: however often it is sent, it means the same number of hosts.
type Wish struct {
	// DataCentre is where the hosts shall stand.
	DataCentre centre.ID `json:"data-centre"`
	// Backend is the pool that they are for.
	Backend label.Name `json:"backend"`
	// Reclaimable is the number of reclaimable hosts wanted.
	Reclaimable int `json:"reclaimable"`
	// OnDemand is the number of on-demand hosts wanted.
	OnDemand int `json:"on-demand"`
	// Fence is the fencing number of the buyer that orders.
	Fence int64 `json:"fence"`
}
