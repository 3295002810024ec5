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
	// ReclaimablePrice is the price of a reclaimable host in micro-euros per hour.
	ReclaimablePrice int64 `json:"reclaimable-micros-per-hour"`
	// OnDemandPrice is the price of an on-demand host in micro-euros per hour.
	OnDemandPrice int64 `json:"on-demand-micros-per-hour"`
	// ReclaimableRefused is set while the cloud refuses to start reclaimable hosts.
	ReclaimableRefused bool `json:"refused"`
	// ReclaimRate is the fraction of the data centre's reclaimable hosts that was reclaimed in the last hour.
	ReclaimRate float64 `json:"reclaims-last-hour"`
	// Live is the number of reclaimable hosts that accept requests, and Starting of those that are still loading weights.
	Live     int `json:"live"`
	Starting int `json:"starting"`
	// Cold is the number of live hosts, reclaimable and on-demand, that do not yet bear a full load.
	Cold int `json:"cold,omitempty"`
	// OnDemandHosts is the number of on-demand hosts, live and starting.
	OnDemandHosts int `json:"on-demand"`
	// OnDemandStarting is the number of on-demand hosts that are still loading weights.
	OnDemandStarting int `json:"on-demand-starting"`
}
