package once

import (
	"encoding/json"

	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
)

func stillRunning() error {
	return fault.New(kind.OutcomeUnknown, "idempotency-key", "another attempt with this key is running").WithRetryAfter(runningRetryAfter)
}

func storeUnavailable(err error) error {
	f := fault.New(kind.Unavailable, "", "the table does not respond; this attempt sent nothing").WithRetryAfter(storeRetryAfter)
	f.Cause = err
	return f
}

// resolve returns what an existing row means for an attempt: an answer to replay, an error, or a row that may be
// claimed.
//
// A row that this process holds and has sent nothing under is claimed again; the new version also makes any delayed
// write of the old claim fail.
func (l *Ledger) resolve(row record.Record, digest string) (old claim.Claim, err error) {
	if row.Version == 0 {
		return old, nil
	}
	if err := json.Unmarshal(row.Value, &old); err != nil {
		return old, fault.Wrap(kind.Internal, err, "can't decode claim %s", row.Key)
	}
	if old.Digest != digest {
		return old, fault.New(kind.Conflict, "idempotency-key", "the key was already used for another request")
	}
	switch old.State {
	case claim.Finished, claim.Released:
		return old, nil
	case claim.NotRun:
		return old, notRun(nil)
	case claim.Held:
		return l.resolveHeld(row.Key, old)
	default:
		return old, unknown(nil)
	}
}

func (l *Ledger) resolveHeld(key string, old claim.Claim) (claim.Claim, error) {
	if old.Holder == l.Self && old.Incarnation == l.Incarnation {
		return l.resolveOwn(key, old)
	}
	if l.Dead(old.Holder, old.Incarnation) {
		return old, unknown(nil)
	}
	return old, stillRunning()
}

// resolveOwn resolves a row that this process holds while no other attempt is active. With a pending outcome the call
// has ended; without one the response to the claim's write was lost and nothing was sent.
func (l *Ledger) resolveOwn(key string, old claim.Claim) (claim.Claim, error) {
	l.mu.Lock()
	p, hasOutcome := l.pending[key]
	l.mu.Unlock()
	if !hasOutcome {
		return old, nil
	}
	switch p.row.State {
	case claim.Finished:
		return p.row, nil
	case claim.NotRun:
		return p.row, notRun(nil)
	case claim.Released:
		return old, nil
	default:
		return p.row, unknown(nil)
	}
}

func notRun(cause error) error {
	f := fault.New(kind.NotRun, "", "no byte of the call reached an endpoint, and none will be sent under this key")
	f.Cause = cause
	return f
}

func unknown(cause error) error {
	f := fault.New(kind.OutcomeUnknown, "", "the call may have been sent and its answer is lost; it is never sent again")
	f.Cause = cause
	return f
}
