// Package kind lists the failures that the system reports.
package kind

//go:generate stringer -type=Kind -linecomment

// Kind is the stable name of a failure, used as the type of problem documents.
type Kind uint8

// The failures, in the order in which a caller should read them.
const (
	// Internal is a fault of the program itself.
	Internal Kind = iota // internal
	// BadRequest is input that no retry can make valid.
	BadRequest // bad-request
	// Unauthorized is a missing or wrong key.
	Unauthorized // unauthorized
	// NotFound is a name that the catalogue or the process does not know.
	NotFound // not-found
	// Conflict is a write that lost against another, or a reused idempotency key.
	Conflict // conflict
	// TooLarge is a body beyond the stated bound.
	TooLarge // too-large
	// OverLimit is a request beyond the account's limits.
	OverLimit // over-limit
	// TooLate is a request that could not be answered within its class's limit.
	TooLate // too-late
	// NotRun is a call of which no byte reached an endpoint in any attempt.
	NotRun // not-run
	// OutcomeUnknown is a call that may have run and whose answer is not known.
	OutcomeUnknown // outcome-unknown
	// Unavailable is a dependency that does not answer; nothing was sent by this attempt.
	Unavailable // unavailable
	// Draining is an entry host that takes no new work.
	Draining // draining
)

// Status returns the HTTP status code that goes with the kind.
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
