// Package mode names how often a request may run.
package mode

//go:generate stringer -type=Mode -linecomment

// Mode tells what may be repeated of a route's requests.
type Mode uint8

// The modes.
const (
	// Once is a request that runs at most once for each attempt of its caller.
	Once Mode = iota // once
	// Idempotent is a request that may run more than once.
	Idempotent // idempotent
	// Stream is a stream of events that runs at most once.
	Stream // stream
	// Resumable is a stream of events that another endpoint may go on with after any event.
	Resumable // resumable
)

// Repeatable reports whether a request that may have run may be sent again.
func (m Mode) Repeatable() bool { return m == Idempotent || m == Resumable }

// Streams reports whether answers are streams of events.
func (m Mode) Streams() bool { return m == Stream || m == Resumable }
