// Package window holds the usage of accounts in one window of time.
package window

import "github.com/dragonflyroute/dragonflyroute/protocol/acct"

// Window counts, by account, the requests that began to run in one window of time.
type Window struct {
	// Number is the number of whole windows between the Unix epoch and the start of this one.
	Number int64 `json:"number"`
	// Counts is the number of requests by account.
	Counts map[acct.ID]int64 `json:"counts"`
}
