// Package limit holds the limits of a catalogue entry.
package limit

import "github.com/dragonflyroute/dragonflyroute/protocol/period"

// Limits says how fast answers must be and how much and how often an account may ask.
type Limits struct {
	// FirstToken bounds the time to the first token of a model answer.
	FirstToken period.Period `json:"first-token,omitempty"`
	// BetweenTokens bounds the mean time between tokens of a model answer.
	BetweenTokens period.Period `json:"between-tokens,omitempty"`
	// Answer bounds the time to the whole answer; a later one is refunded.
	Answer period.Period `json:"answer"`
	// MaxTokens bounds the tokens of one answer.
	MaxTokens int `json:"max-tokens,omitempty"`
	// Rate is the requests per second that an account of scale 1 may send.
	Rate float64 `json:"rate-per-second"`
	// Burst is the requests that an account of scale 1 may send at once.
	Burst int `json:"burst"`
	// Concurrent is the requests that an account of scale 1 may have running.
	Concurrent int `json:"concurrent"`
}
