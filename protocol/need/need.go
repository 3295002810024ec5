// Package need holds the requirements that a model request places on an endpoint.
package need

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/class"
)

// Requirements holds the properties of one request that routing decides by.
type Requirements struct {
	// Class is the request's class.
	Class class.Class
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// OutTokens is the number of tokens still to generate.
	OutTokens int
	// Prefix is the hash of the prompt prefix that the prefix cache is matched by, zero for none.
	Prefix uint64
	// FirstToken is the time left until the first token is late, zero for no limit.
	FirstToken time.Duration
	// Answer is the time left until the answer is late.
	Answer time.Duration
	// Refund is the refund for a late answer, in micro-euros.
	Refund int64
	// PriceCeiling is the highest price of an endpoint, in micro-euros per hour.
	PriceCeiling int64
}
