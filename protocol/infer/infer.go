// Package infer holds an inference request to a model engine.
package infer

import (
	"encoding/json"

	"github.com/dragonflyroute/dragonflyroute/protocol/class"
)

// Request is one attempt to generate tokens at an endpoint.
type Request struct {
	// ID is the request's id.
	ID string
	// Attempt numbers the attempts of the request.
	Attempt int
	// Model is the version that the endpoint serves.
	Model string
	// Text is the prompt followed by the tokens generated so far.
	Text string
	// Prefix is the hash of the prompt prefix that the prefix cache is matched by.
	Prefix uint64
	// PrefixProbability is the estimated probability, before this attempt, that the endpoint has the prefix cached.
	PrefixProbability float64
	// MaxTokens is the maximum number of tokens to generate in this attempt.
	MaxTokens int
	// Class determines the scheduling priority at the engine.
	Class class.Class
	// KVSource is the address of an endpoint that still has the KV cache of Text and can transfer it, empty for none.
	KVSource string
	// Extra holds the caller's other parameters, which are forwarded unchanged.
	Extra map[string]json.RawMessage
}
