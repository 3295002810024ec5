// Package window holds the usage of one window of time.
package window

import "github.com/dragonflyroute/dragonflyroute/protocol/acct"

// Window counts the requests of each account that began to run in one window.
type Window struct {
	// Number is the number of whole windows between the start of 1970 and this one's.
	Number int64 `json:"number"`
	// Counts holds the requests by account.
	Counts map[acct.ID]int64 `json:"counts"`
}
