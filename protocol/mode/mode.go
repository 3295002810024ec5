// Package mode enumerates the delivery semantics of a route's requests.
package mode

//go:generate stringer -type=Mode -linecomment

// Mode is whether a route's requests may be retried and whether their answers are streams.
type Mode uint8

// The modes.
const (
	// Once is a request that runs at most once for each attempt of its caller.
	Once Mode = iota // once
	// Idempotent is a request that may run more than once.
	Idempotent // idempotent
	// Stream is a request that is answered by a stream of events and runs at most once.
	Stream // stream
	// Resumable is a request that is answered by a stream of events, which another endpoint can resume after any event.
	Resumable // resumable
)

// Repeatable reports whether a request that may have run may be sent again.
func (m Mode) Repeatable() bool { return m == Idempotent || m == Resumable }

// Streams reports whether answers are streams of events.
func (m Mode) Streams() bool { return m == Stream || m == Resumable }
