// Package offer holds the prices and availability of hosts in one data centre.
package offer

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// Offer is the prices, recent reclaims and current counts of hosts for one back end in one data centre.
type Offer struct {
	// DataCentre is the data centre of the hosts.
	DataCentre centre.ID `json:"data-centre"`
	// Backend is the back end that the hosts serve.
	Backend label.Name `json:"backend"`
	// Reclaimable is the price of a reclaimable host in micro-euros per hour.
	Reclaimable int64 `json:"reclaimable-micros-per-hour"`
	// OnDemand is the price of an on-demand host in micro-euros per hour.
	OnDemand int64 `json:"on-demand-micros-per-hour"`
	// Refused is set while the cloud refuses to start reclaimable hosts.
	Refused bool `json:"refused"`
	// Reclaims is the fraction of the data centre's reclaimable hosts that was reclaimed in the last hour.
	Reclaims float64 `json:"reclaims-last-hour"`
	// Live is the number of reclaimable hosts that accept requests, and Starting of those that are still loading weights.
	Live     int `json:"live"`
	Starting int `json:"starting"`
	// Fallback is the number of on-demand hosts, live and starting.
	Fallback int `json:"on-demand"`
	// FallbackStarting is the number of on-demand hosts that are still loading weights.
	FallbackStarting int `json:"on-demand-starting"`
}
