// Package grant holds the endpoint at which a request is placed.
package grant

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
)

// Grant is a request's place at an endpoint.
type Grant struct {
	// ID is that of the task, 0 for none.
	ID int64 `json:"id,omitempty"`
	// Endpoint is the endpoint, empty if the shard has none that may get the request.
	Endpoint endpt.ID `json:"endpoint,omitempty"`
	// Donor is the endpoint from which Endpoint fetches KV cache, empty for none.
	Donor endpt.ID `json:"donor,omitempty"`
	// PrefillTokens is the number of prompt tokens that the endpoint is expected to prefill, and AheadTokens that of the
	// requests before it.
	PrefillTokens int64 `json:"prefill,omitempty"`
	AheadTokens   int64 `json:"ahead,omitempty"`
	// TimeToFirst is the expected time to the first part of the answer.
	TimeToFirst time.Duration `json:"first,omitempty"`
	// Wait is the time after which the host asks again, 0 if the request is not held; there is no endpoint then.
	Wait time.Duration `json:"wait,omitempty"`
	// RetryAfter is the time until there is likely room again, 0 if the request is not refused; there is no endpoint then.
	RetryAfter time.Duration `json:"retry-after,omitempty"`
	// Keeper is the host that made the grant.
	Keeper beat.Heartbeat `json:"-"`
}

// Decided reports whether the keeper has decided on the request: it has an endpoint, is held or is refused.
func (g Grant) Decided() bool { return g.Endpoint != "" || g.Wait > 0 || g.RetryAfter > 0 }
