// Package order holds one order to a model engine to generate tokens.
package order

import (
	"encoding/json"

	"github.com/dragonflyroute/dragonflyroute/protocol/class"
)

// Order is one attempt at an endpoint.
type Order struct {
	// ID is the request's id.
	ID string
	// Attempt numbers the attempts of the request.
	Attempt int
	// Model is the version that the endpoint serves.
	Model string
	// Text is the prompt followed by the tokens generated so far.
	Text string
	// Prefix is the hash of the prompt's leading part.
	Prefix uint64
	// PrefixChance is the probability, before this attempt, that the endpoint caches the prefix.
	PrefixChance float64
	// MaxTokens bounds the tokens of this attempt.
	MaxTokens int
	// Class decides the priority.
	Class class.Class
	// KeptBy is the address of an endpoint that still keeps the KV cache of Text, empty for none.
	KeptBy string
	// Extra holds the caller's further parameters, passed on as they are.
	Extra map[string]json.RawMessage
}
