// Package scale holds the desired number of hosts of a back end in one data centre.
package scale

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// Desired is the desired capacity that is sent to the cloud. It is idempotent: the counts are totals, not changes.
type Desired struct {
	// DataCentre is the data centre of the hosts.
	DataCentre centre.ID `json:"data-centre"`
	// Backend is the back end that the hosts serve.
	Backend label.Name `json:"backend"`
	// Reclaimable is the desired number of reclaimable hosts.
	Reclaimable int `json:"reclaimable"`
	// OnDemand is the desired number of on-demand hosts.
	OnDemand int `json:"on-demand"`
	// Fence is the fencing number of the lease holder that sends it.
	Fence int64 `json:"fence"`
}
