// Package need holds what a request needs of an endpoint.
package need

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/class"
)

// Need is what routing knows of one request.
type Need struct {
	// Class is the class of work.
	Class class.Class
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// OutTokens is the number of tokens still to generate.
	OutTokens int
	// Prefix is the hash of the prompt's leading part, zero for none.
	Prefix uint64
	// FirstToken is the time left until the first token is late, zero for no such bound.
	FirstToken time.Duration
	// Answer is the time left until the answer is late.
	Answer time.Duration
	// Refund is what a late answer costs, in micro-euros.
	Refund int64
	// PriceCeiling is the highest price of an endpoint, in micro-euros per hour.
	PriceCeiling int64
}
