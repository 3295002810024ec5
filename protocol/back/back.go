// Package back holds one back end.
package back

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// Back is one back end: a group of endpoints that serve the same requests.
type Back struct {
	// Name names the back end.
	Name label.Name
	// Health is the URL path that endpoints answer while they are healthy.
	Health string
	// Connections is the number of connections that an endpoint accepts from all entry hosts together.
	Connections int
	// Engine tells that the endpoints are model engines.
	Engine bool
	// Slots is the number of requests that an engine runs at one time.
	Slots int
	// CacheTokens is the number of prompt tokens that an engine's memory holds.
	CacheTokens int64
	// Ordered tells that the number of endpoints is ours to order, within Least and Most for each data centre.
	Ordered bool
	// Least bounds the endpoints of a data centre from below, both sorts together.
	Least int
	// Most bounds the endpoints of a data centre from above, both sorts together.
	Most int
	// Boot is the time that a new endpoint takes to serve.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable endpoint as a part of an on-demand one's; nought means none are had.
	ReclaimablePrice float64
	// Prices holds the price of an on-demand endpoint for each data centre.
	Prices map[centre.ID]float64
}
