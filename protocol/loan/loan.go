// Package loan holds a part of an account's limits that one entry host lends another.
package loan

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// Loan is a request for a part of the limits, and its answer.
type Loan struct {
	// Account is whose limits are lent.
	Account acct.ID `json:"account"`
	// Entry is the catalogue entry that they are for.
	Entry label.Name `json:"entry"`
	// By is the entry host that asks or gives back, or the one that grants.
	By host.ID `json:"by"`
	// ID is the lender's number of the grant; it tells a loan from a later one to the same host.
	ID int64 `json:"id,omitempty"`
	// Share is the part, 0 to 1, that is wanted from one host in all, or granted.
	Share float64 `json:"share"`
	// Tokens is the number of requests that the lender's unused rate has saved up and hands over.
	Tokens float64 `json:"tokens,omitempty"`
}
