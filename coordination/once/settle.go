package once

import (
	"encoding/json"

	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
)

func running() error {
	return fault.New(kind.OutcomeUnknown, "idempotency-key", "an attempt with this key is running").After(askAgain)
}

func storeDown(err error) error {
	f := fault.New(kind.Unavailable, "", "the table does not answer; this attempt sent nothing").After(storeWait)
	f.Cause = err
	return f
}

// settle reads an existing row: an answer to replay, a refusal, or a row that may be claimed.
//
// A row that this process holds unsent is claimed again, which also fences off any write of it still on its way.
func (l *Ledger) settle(row record.Record, digest string) (old claim.Claim, err error) {
	if row.Version == 0 {
		return old, nil
	}
	if err := json.Unmarshal(row.Value, &old); err != nil {
		return old, fault.Wrap(kind.Internal, err, "claim %s is not readable", row.Key)
	}
	if old.Digest != digest {
		return old, fault.New(kind.Conflict, "idempotency-key", "the key was used for another request")
	}
	switch old.State {
	case claim.Finished, claim.Released:
		return old, nil
	case claim.NotRun:
		return old, notRun(nil)
	case claim.Held:
		return l.settleHeld(row.Key, old)
	default:
		return old, unknown(nil)
	}
}

func (l *Ledger) settleHeld(key string, old claim.Claim) (claim.Claim, error) {
	if old.Holder == l.Self && old.Incarnation == l.Incarnation {
		return l.settleOwn(key, old)
	}
	if l.Dead(old.Holder, old.Incarnation) {
		return old, unknown(nil)
	}
	return old, running()
}

// settleOwn reads a row that this process holds while no attempt is active: with a pending outcome it is
// ended, without one the claim's answer was lost and nothing was sent.
func (l *Ledger) settleOwn(key string, old claim.Claim) (claim.Claim, error) {
	l.mu.Lock()
	p, ended := l.pending[key]
	l.mu.Unlock()
	if !ended {
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
	f := fault.New(kind.NotRun, "", "no byte of the call reached an endpoint, and none will under this key")
	f.Cause = cause
	return f
}

func unknown(cause error) error {
	f := fault.New(kind.OutcomeUnknown, "", "the call was sent and its answer is lost; it is never sent again")
	f.Cause = cause
	return f
}
