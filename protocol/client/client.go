// Package client holds one client account.
package client

import "github.com/dragonflyroute/dragonflyroute/protocol/acct"

// Client is a client account with its keys and limits.
type Client struct {
	// Name names the account.
	Name acct.ID
	// Keys holds the keys that callers show.
	Keys []string
	// Priority ranks the account's requests before the route's rank; it counts only when Ranked is set.
	Priority int
	// Ranked tells that Priority was given.
	Ranked bool
	// Rate is the limit in units per second over all entry hosts; nought means no limit.
	Rate float64
	// Burst is the number of units that may be saved up.
	Burst float64
	// Tokens tells that a unit is a token; otherwise a unit is a request.
	Tokens bool
	// PlainTokens is what a request without token counts costs when a unit is a token.
	PlainTokens int64
}
