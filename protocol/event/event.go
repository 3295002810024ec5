// Package event holds what happened to a placed request.
package event

import "time"

// Event tells the host that placed a request what became of it.
type Event struct {
	// Grant is the id of the grant under which the request was sent.
	Grant int64 `json:"grant"`
	// Begun is set when the answer began, First after the request was sent.
	Begun bool          `json:"begun,omitempty"`
	First time.Duration `json:"first,omitempty"`
	// Slowness is the time that work took at the endpoint then, as a multiple of the usual time, 0 when it is not known.
	Slowness float64 `json:"slowness,omitempty"`
	// Ended is set when the endpoint no longer works on the request, or never got it. Failed is set if it failed to answer.
	Ended  bool `json:"ended,omitempty"`
	Failed bool `json:"failed,omitempty"`
}
