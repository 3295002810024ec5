// Package ending names how one attempt of a request ended.
package ending

//go:generate stringer -type=Ending -linecomment

// Ending is the end of one attempt at an endpoint.
type Ending uint8

// The endings.
const (
	// Delivered gave the caller the endpoint's whole answer.
	Delivered Ending = iota // delivered
	// Failed holds an endpoint's own failure answer, which was not delivered yet; the request has run.
	Failed // failed
	// NotRun is proof that the endpoint did not and will not run the request.
	NotRun // not-run
	// Moved is proof that another endpoint has the address; nothing has run.
	Moved // moved
	// Unknown is an attempt without a usable answer that may have run.
	Unknown // unknown
	// Broken is a stream that ended early after the caller had got a part of it.
	Broken // broken
	// Gone is a caller that left.
	Gone // gone
)

// Unrun reports whether the attempt is proved not to have run.
func (e Ending) Unrun() bool { return e == NotRun || e == Moved }
