// Package entry holds one entry of the catalogue.
package entry

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/guard"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/limit"
)

type route struct {
	// Name is the route's name in metrics and move reports.
	Name label.Name `json:"name"`
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the exact HTTP path below the entry.
	Path string `json:"path"`
	// Idempotent tells that a call may be repeated.
	Idempotent bool `json:"idempotent"`
}

// Entry is what operators state of one kind of request.
type Entry struct {
	// Name is what callers ask for.
	Name label.Name `json:"name"`
	// Owner is the account that answers for the entry.
	Owner acct.ID `json:"owner"`
	// Backend is the pool of endpoints that serves the entry.
	Backend label.Name `json:"backend"`
	// Class is the class of work.
	Class class.Class `json:"class"`
	// Version is the back-end version that takes all traffic outside a move.
	Version label.Name `json:"version"`
	// Limits are the entry's limits for an account of scale 1.
	Limits limit.Limits `json:"limits"`
	// PriceCeiling is the highest price of an endpoint in micro-euros per hour.
	PriceCeiling int64 `json:"price-ceiling-micros-per-hour"`
	// Refund is paid for a late answer, in micro-euros.
	Refund int64 `json:"refund-micros"`
	// EngineOrders tells whether the back end's engines take orders to load versions, and whether they check who orders.
	EngineOrders guard.Guard `json:"engine-orders,omitempty"`
	// Routes lists the calls of a service entry.
	Routes []route `json:"routes,omitempty"`
}

// Route returns the index of the route for method and path, or -1.
func (e *Entry) Route(method, path string) int {
	for i := range e.Routes {
		if e.Routes[i].Method == method && e.Routes[i].Path == path {
			return i
		}
	}
	return -1
}
