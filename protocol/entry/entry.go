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
	// Idempotent is set when a call may be retried.
	Idempotent bool `json:"idempotent"`
}

// Entry is the operators' configuration of one model or service.
type Entry struct {
	// Name is the name that callers request.
	Name label.Name `json:"name"`
	// Owner is the account that is responsible for the entry.
	Owner acct.ID `json:"owner"`
	// Backend is the back end that serves the entry.
	Backend label.Name `json:"backend"`
	// Class is the class of the entry's requests.
	Class class.Class `json:"class"`
	// Version is the version that receives all traffic when no move is running.
	Version label.Name `json:"version"`
	// Limits holds the entry's limits for an account of scale 1.
	Limits limit.Limits `json:"limits"`
	// PriceCeiling is the highest price of an endpoint in micro-euros per hour.
	PriceCeiling int64 `json:"price-ceiling-micros-per-hour"`
	// Refund is the refund for a late answer, in micro-euros.
	Refund int64 `json:"refund-micros"`
	// EngineOrders is whether the back end's engines accept orders to load versions, and whether they check fencing
	// numbers.
	EngineOrders guard.Guard `json:"engine-orders,omitempty"`
	// Routes lists the routes of a service entry.
	Routes []route `json:"routes,omitempty"`
}

// RouteIndex returns the index of the route for method and path, or -1.
func (e *Entry) RouteIndex(method, path string) int {
	for i := range e.Routes {
		if e.Routes[i].Method == method && e.Routes[i].Path == path {
			return i
		}
	}
	return -1
}
