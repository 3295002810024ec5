// Package kind enumerates the categories of errors.
package kind

//go:generate stringer -type=Kind -linecomment

// Kind is the category of an error. Its name is the type of problem documents (RFC 9457).
type Kind uint8

// The categories of errors.
const (
	// Internal is an unexpected failure of the program.
	Internal Kind = iota // internal
	// BadRequest is invalid input; a retry does not help.
	BadRequest // bad-request
	// Unauthorized is a missing or wrong key.
	Unauthorized // unauthorized
	// NotFound is a name that the catalogue or the process does not have.
	NotFound // not-found
	// Conflict is a write that lost against a concurrent one, or an idempotency key reused for another call.
	Conflict // conflict
	// TooLarge is a body above the size limit.
	TooLarge // too-large
	// OverLimit is a request above the account's rate or concurrency limits.
	OverLimit // over-limit
	// TooLate is a request that cannot be answered within its time limit.
	TooLate // too-late
	// NotRun is a call that no endpoint has run in any attempt.
	NotRun // not-run
	// OutcomeUnknown is a call that may have run and whose answer was lost.
	OutcomeUnknown // outcome-unknown
	// Unavailable is a dependency that does not answer; the attempt has sent nothing.
	Unavailable // unavailable
	// Draining is an entry host that accepts no new requests.
	Draining // draining
)

// Status returns the HTTP status code of the kind.
func (k Kind) Status() int {
	switch k {
	case BadRequest:
		return 400
	case Unauthorized:
		return 401
	case NotFound:
		return 404
	case Conflict:
		return 409
	case TooLarge:
		return 413
	case OverLimit:
		return 429
	case TooLate, NotRun, Unavailable, Draining:
		return 503
	case OutcomeUnknown:
		return 504
	default:
		return 500
	}
}

// Parse returns the kind with the given name, or Internal for an unknown name.
func Parse(name string) Kind {
	for k := Internal; k <= Draining; k++ {
		if k.String() == name {
			return k
		}
	}
	return Internal
}
