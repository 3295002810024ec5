// Package option holds an endpoint as a candidate for a request.
package option

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/avail"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/period"
)

// Option is one endpoint that a request may go to, and what that would cost.
//
// The cost is a time: that until the first part of the answer, with additions for work that is repeated and for traffic that
// is billed. Cost is the sum of the parts.
type Option struct {
	Endpoint   endpt.ID  `json:"endpoint"`
	DataCentre centre.ID `json:"data-centre"`
	// State is whether the endpoint may get the request, and Until the time until that may change, 0 when it is not known.
	State avail.State   `json:"state"`
	Until period.Period `json:"until,omitempty"`
	// Compared is set if the endpoint is among those that are compared, or drawn from.
	Compared bool `json:"compared"`
	// Chance is the probability that the endpoint is drawn; it is set only where endpoints are drawn.
	Chance float64 `json:"chance,omitempty"`
	// Running is the number of requests at the endpoint, and Slots how many it runs concurrently.
	Running int `json:"running"`
	Slots   int `json:"slots"`
	// AheadTokens is the number of prompt tokens that the endpoint prefills before those of the request, PrefillTokens that
	// of the request, CachedTokens that of the request that it has cached, and FetchedTokens that which it gets from Donor.
	AheadTokens   int64    `json:"ahead-tokens"`
	PrefillTokens int64    `json:"prefill-tokens"`
	CachedTokens  int64    `json:"cached-tokens"`
	FetchedTokens int64    `json:"fetched-tokens"`
	Donor         endpt.ID `json:"donor,omitempty"`
	// Slowdown is the time that work takes at the endpoint as a multiple of the usual time.
	Slowdown float64 `json:"slowdown"`
	// TimeToFirst is the expected time to the first part of the answer.
	TimeToFirst period.Period `json:"time-to-first"`

	// AheadCost is for the prefill before that of the request, PrefillCost for the request's own and QueueCost for requests
	// that wait for a slot. Together they are TimeToFirst.
	AheadCost   period.Period `json:"ahead-cost"`
	PrefillCost period.Period `json:"prefill-cost"`
	QueueCost   period.Period `json:"queue-cost"`
	// RunningCost is for the requests that run at the same time, CentreCost for traffic to another data centre, and
	// RepeatCost for the fetch of what another endpoint has cached or the prefill of it once more.
	RunningCost period.Period `json:"running-cost"`
	CentreCost  period.Period `json:"centre-cost"`
	RepeatCost  period.Period `json:"repeat-cost"`
	Cost        period.Period `json:"cost"`
}

// Compare orders options: those compared first, then by state and cost.
func (o *Option) Compare(other *Option) int {
	if o.Compared != other.Compared {
		if o.Compared {
			return -1
		}
		return 1
	}
	if o.State != other.State {
		return int(o.State) - int(other.State)
	}
	if o.Chance != other.Chance {
		if o.Chance > other.Chance {
			return -1
		}
		return 1
	}
	return int(max(-1, min(1, o.Cost-other.Cost)))
}
