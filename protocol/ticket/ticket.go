// Package ticket holds the state of a running model request that one entry host hands over to another.
package ticket

import (
	"encoding/json"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// Ticket is the state from which a peer continues a request.
type Ticket struct {
	// ID is the request's id.
	ID string `json:"id"`
	// Account is the caller's account.
	Account acct.ID `json:"account"`
	// Entry is the catalogue entry.
	Entry label.Name `json:"entry"`
	// Prompt is the text to complete.
	Prompt string `json:"prompt"`
	// MaxTokens is the maximum number of tokens of the whole answer.
	MaxTokens int `json:"max-tokens"`
	// Version is the version that generated the tokens so far, empty before the first attempt.
	Version label.Name `json:"version,omitempty"`
	// Tokens holds the tokens generated so far; its length is the offset of the next one.
	Tokens []string `json:"tokens"`
	// Attempt is the number of the last attempt at an endpoint.
	Attempt int `json:"attempt"`
	// Extra holds the caller's other parameters, which are forwarded unchanged.
	Extra map[string]json.RawMessage `json:"extra,omitempty"`
}
