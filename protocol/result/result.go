// Package result holds the result of one attempt.
package result

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/ending"
)

// Result is the result of one attempt of a request at an endpoint.
type Result struct {
	// Ending is how the attempt ended.
	Ending ending.Ending
	// Sent is set when bytes of the request may have reached the endpoint.
	Sent bool
	// Withheld is set when nothing was sent because the endpoint was found to accept no more requests: it is leaving, has
	// asked for a pause, or limits its requests and there was no permit.
	Withheld bool
	// Broken is set when the endpoint closed or reset the connection before its answer was complete, or after the head of an
	// answer that is empty and ends with its connection.
	Broken bool
	// Final is set when no other endpoint can continue the answer.
	Final bool
	// Status is the endpoint's HTTP status code, 0 when there is none.
	Status int
	// LastEventID is the id of the last event that was delivered to the caller completely, empty for none.
	LastEventID string
	// TimeToFirst is the time from sending the request to the first part of the answer, 0 when there is none.
	TimeToFirst time.Duration
	// Waited is how long the caller had waited at the end of the attempt: since the last part of the answer or, before the first
	// one, since the request was sent.
	Waited time.Duration
	// LoadKnown is set when the endpoint reported its load: Running, Waiting and Slots.
	LoadKnown bool
	// Running is the number of requests that the endpoint runs.
	Running int
	// Waiting is the number of requests in the endpoint's queue.
	Waiting int
	// Slots is the number of requests that the endpoint can run concurrently.
	Slots int
	// SlownessPercent is the time that work takes at the endpoint at this moment, in percent of the usual time, 0 when it is
	// not reported.
	SlownessPercent int
	// Reason describes the failure in a few words.
	Reason string
}
