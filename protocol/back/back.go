// Package back holds the definition of a back end.
package back

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// Back is a back end: a pool of endpoints that serve the same requests.
type Back struct {
	// Name is the back end's name.
	Name label.Name
	// Health is the URL path of the endpoints' health check.
	Health string
	// Connections is the maximum number of connections that an endpoint accepts from all entry hosts together.
	Connections int
	// Engine is set when the endpoints are model engines.
	Engine bool
	// Slots is the number of requests that an engine can run concurrently.
	Slots int
	// CacheTokens is the capacity of an engine's KV cache in tokens.
	CacheTokens int64
	// Ordered is set when the back end is autoscaled, between MinEndpoints and MaxEndpoints in each data centre.
	Ordered bool
	// Least is the minimum number of endpoints in a data centre, reclaimable and on-demand together.
	Least int
	// Most is the maximum number of endpoints in a data centre, reclaimable and on-demand together.
	Most int
	// Boot is the time from the start of a new endpoint until it serves requests.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable endpoint divided by that of an on-demand one; 0 means that there are no
	// reclaimable endpoints.
	ReclaimablePrice float64
	// Prices is the price of an on-demand endpoint by data centre.
	Prices map[centre.ID]float64
}
