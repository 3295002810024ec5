// Package offer holds what the cloud offers in one data centre.
package offer

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// Offer is the price of hosts for one back end in one data centre, and what happened there lately.
type Offer struct {
	// DataCentre is where the hosts stand.
	DataCentre centre.ID `json:"data-centre"`
	// Backend is the pool that they are for.
	Backend label.Name `json:"backend"`
	// Reclaimable is the price of a reclaimable host in micro-euros per hour.
	Reclaimable int64 `json:"reclaimable-micros-per-hour"`
	// OnDemand is the price of an on-demand host in micro-euros per hour.
	OnDemand int64 `json:"on-demand-micros-per-hour"`
	// Refused tells that starts of reclaimable hosts are refused now.
	Refused bool `json:"refused"`
	// Reclaims is the part of the data centre's reclaimable hosts that was reclaimed in the last hour.
	Reclaims float64 `json:"reclaims-last-hour"`
	// Live and Starting count the reclaimable hosts that take work, and those that load weights.
	Live     int `json:"live"`
	Starting int `json:"starting"`
	// Fallback counts the on-demand hosts, live and starting.
	Fallback int `json:"on-demand"`
	// FallbackStarting counts the on-demand hosts that load weights.
	FallbackStarting int `json:"on-demand-starting"`
}
