// Package tried holds the result of one attempt.
package tried

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/ending"
)

// Tried is what one attempt of a request at an endpoint came to.
type Tried struct {
	// Ending tells how it ended.
	Ending ending.Ending
	// Sent tells that bytes of the request may have reached the endpoint.
	Sent bool
	// Status is the endpoint's status code, nought when there was none.
	Status int
	// Last is the id of the last event that the caller got whole, empty for none.
	Last string
	// First is the time from the sending to the first part of the answer, nought when there was none.
	First time.Duration
	// Known tells that the endpoint reported its load: Running, Waiting and Slots.
	Known bool
	// Running is the number of requests that the endpoint runs.
	Running int
	// Waiting is the number of requests in the endpoint's queue.
	Waiting int
	// Slots is the number of requests that the endpoint runs at one time.
	Slots int
	// Reason says in a few words what went wrong.
	Reason string
}
