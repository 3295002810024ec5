// Package client holds the definition of a client account.
package client

import "github.com/dragonflyroute/dragonflyroute/protocol/acct"

// Account is a client account with its keys and limits.
type Account struct {
	// Name is the account's id.
	Name acct.ID
	// Keys holds the API keys of the account.
	Keys []string
	// Priority replaces the route's priority for the account's requests; it is used only when PrioritySet is set.
	Priority int
	// PrioritySet is set when Priority is configured.
	PrioritySet bool
	// Rate is the rate limit in units per second over all entry hosts; 0 means no limit.
	Rate float64
	// Burst is the capacity of the token bucket in units.
	Burst float64
	// Tokens is set when a unit is a model token; otherwise a unit is a request.
	Tokens bool
	// PlainTokens is the number of units that a request without token counts costs when a unit is a token.
	PlainTokens int64
}
