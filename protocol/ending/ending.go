// Package ending enumerates the outcomes of one attempt of a request.
package ending

//go:generate stringer -type=Ending -linecomment

// Ending is the outcome of one attempt at an endpoint.
type Ending uint8

// The outcomes.
const (
	// Delivered is a complete answer that was forwarded to the caller.
	Delivered Ending = iota // delivered
	// Failed is an error response of the endpoint that has not been forwarded to the caller yet; the request has run.
	Failed // failed
	// NotRun is an attempt that the endpoint certainly has not run and will not run.
	NotRun // not-run
	// AddressReused is an attempt that reached another endpoint at the same address; nothing has run.
	AddressReused // moved
	// Unknown is an attempt that may have run and has no usable answer.
	Unknown // unknown
	// Truncated is an answer that ended early after a part of it had been forwarded to the caller.
	Truncated // broken
	// CallerGone is a caller that closed the connection.
	CallerGone // gone
)

// NotExecuted reports whether the attempt certainly has not run.
func (e Ending) NotExecuted() bool { return e == NotRun || e == AddressReused }
