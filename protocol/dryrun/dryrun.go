// Package dryrun holds where a request would go, without it being sent.
package dryrun

import (
	"slices"

	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/method"
	"github.com/dragonflyroute/dragonflyroute/protocol/option"
	"github.com/dragonflyroute/dragonflyroute/protocol/period"
)

// Result is the endpoint of a back end that a request would go to at present, and why.
type Result struct {
	// Backend is the back end, and Fraction its fraction of the route's requests.
	Backend  label.Name `json:"backend"`
	Fraction float64    `json:"fraction"`
	// Priority is the request's priority; 0 is the highest.
	Priority int `json:"priority"`
	// Method is how the endpoint is chosen, and Host the host that does.
	Method method.Method `json:"method"`
	Host   host.ID       `json:"host"`
	// Shard is the number of the shard, below Shards, to which the options belong. Shards is 0 if they are the whole back end.
	Shard  int `json:"shard,omitempty"`
	Shards int `json:"shards,omitempty"`
	// Spills is set if the keeper of another shard is asked as well, as the expected time to the first part is long.
	Spills bool `json:"spills,omitempty"`
	// Endpoint is the endpoint, empty if none may get the request. Where endpoints are drawn it is the likeliest.
	Endpoint endpt.ID `json:"endpoint,omitempty"`
	// TimeToFirst is the expected time to the first part of the answer.
	TimeToFirst period.Period `json:"time-to-first,omitempty"`
	// Reason says why the endpoint is chosen, or why none is.
	Reason string `json:"reason"`
	// Status is the HTTP status of the answer, and RetryAfter its time until a retry, if the request would be refused.
	Status     int           `json:"status,omitempty"`
	RetryAfter period.Period `json:"retry-after,omitempty"`
	// Options holds the endpoints in the order of their cost, then those that may not get the request.
	Options []option.Option `json:"options"`
}

// Sort sorts the options.
func (r *Result) Sort() {
	slices.SortStableFunc(r.Options, func(a, b option.Option) int { return a.Compare(&b) })
}
