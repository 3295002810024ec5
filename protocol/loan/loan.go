// Package loan holds a fraction of an account's limits that one entry host lends to another.
package loan

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// Loan is a request for a fraction of an account's limits, and its response.
type Loan struct {
	// Account is the account whose limits are lent.
	Account acct.ID `json:"account"`
	// Entry is the catalogue entry that the limits apply to.
	Entry label.Name `json:"entry"`
	// Host is the sender: the entry host that requests or returns the loan, or the one that grants it.
	Host host.ID `json:"by"`
	// ID is the lender's number of the grant; it distinguishes a loan from a later one to the same host.
	ID int64 `json:"id,omitempty"`
	// Share is the fraction of the limits, 0 to 1: the total requested from one host, or the amount granted.
	Share float64 `json:"share"`
	// Tokens is the number of tokens, one per request, that move from the lender's token bucket with the grant.
	Tokens float64 `json:"tokens,omitempty"`
}
