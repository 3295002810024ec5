// Package back holds the definition of a back end.
package back

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/pace"
)

// Backend is a back end: a pool of endpoints that serve the same requests.
type Backend struct {
	// Name is the back end's name.
	Name label.Name
	// HealthPath is the URL path of the endpoints' health check.
	HealthPath string
	// MaxConnections is the maximum number of connections that an endpoint accepts from all entry hosts together.
	MaxConnections int
	// Engine is set when the endpoints are model engines.
	Engine bool
	// Slots is the number of requests that an engine can run concurrently.
	Slots int
	// CacheTokens is the capacity of an engine's KV cache in tokens.
	CacheTokens int64
	// Autoscaled is set when the back end is autoscaled, between MinEndpoints and MaxEndpoints in each data centre.
	Autoscaled bool
	// MinEndpoints is the minimum number of endpoints in a data centre, reclaimable and on-demand together.
	MinEndpoints int
	// MaxEndpoints is the maximum number of endpoints in a data centre, reclaimable and on-demand together.
	MaxEndpoints int
	// BootTime is the time from the start of a new endpoint until it serves requests.
	BootTime time.Duration
	// ColdTime is how long an endpoint is cold after its start, and ColdRate the requests per second that all entry hosts
	// together may send to a cold endpoint; 0 means that they are not limited.
	ColdTime time.Duration
	ColdRate pace.Pace
	// ReclaimablePriceRatio is the price of a reclaimable endpoint divided by that of an on-demand one; 0 means that
	// there are no reclaimable endpoints.
	ReclaimablePriceRatio float64
	// OnDemandPrices is the price of an on-demand endpoint by data centre.
	OnDemandPrices map[centre.ID]float64
}
