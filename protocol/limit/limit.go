// Package limit holds the limits of a catalogue entry.
package limit

import "github.com/dragonflyroute/dragonflyroute/protocol/period"

// Limits holds the latency limits of answers and the rate and concurrency limits of an account.
type Limits struct {
	// FirstToken is the maximum time to the first token of a model answer.
	FirstToken period.Period `json:"first-token,omitempty"`
	// BetweenTokens is the maximum mean time between tokens of a model answer.
	BetweenTokens period.Period `json:"between-tokens,omitempty"`
	// Answer is the maximum time to the complete answer; a later one is refunded.
	Answer period.Period `json:"answer"`
	// MaxTokens is the maximum number of tokens of one answer.
	MaxTokens int `json:"max-tokens,omitempty"`
	// Rate is the rate limit of an account of scale 1, in requests per second.
	Rate float64 `json:"rate-per-second"`
	// Burst is the capacity of the token bucket of an account of scale 1, in requests.
	Burst int `json:"burst"`
	// Concurrent is the maximum number of concurrent requests of an account of scale 1.
	Concurrent int `json:"concurrent"`
}
