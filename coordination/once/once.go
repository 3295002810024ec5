// Package once runs non-idempotent calls at most once.
//
// The claim row follows the start marker of the S3A committers: it is created exclusively before an effect that
// can't be repeated, and its outcome is recorded afterwards; no other process runs a started effect that has no
// outcome. Unlike there, the connection to the endpoint is made before the claim, and only the claim's holder records
// a failure.
package once

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

const (
	// commitAttempts bounds the attempts of one write whose response was lost.
	commitAttempts = 3
	// contactAttempts bounds the connection attempts before the claim and after an unsent attempt, and the sends of one
	// call.
	contactAttempts = 3
	// runningRetryAfter is the Retry-After while another attempt with the same key runs.
	runningRetryAfter = time.Second
	// storeRetryAfter is the Retry-After while the table does not respond.
	storeRetryAfter = 2 * time.Second
)

type store interface {
	Commit(ctx context.Context, t table.Txn) (int64, error)
	Read(ctx context.Context, key string) (record.Record, error)
}

// call is one non-idempotent call. Contact connects to an endpoint without sending a byte of the request; Send sends
// the request on the latest connection. Send returns sent=false only when no byte can have reached the endpoint.
type call interface {
	Contact(ctx context.Context) error
	Send(ctx context.Context) (answer claim.Claim, sent bool, err error)
}

// pending is a claim row to write over the given version of the row.
type pending struct {
	version int64
	row     claim.Claim
}

// Ledger runs calls under claims, one for each idempotency key.
//
// Invariants, for each key: over all processes and for ever, at most one Send may have sent a byte; an error of kind
// NotRun is returned only if no byte was ever sent and none ever will be. All methods may be called concurrently.
type Ledger struct {
	// Store is the table that holds the claim rows.
	Store store
	// Self is the id of this process's host.
	Self host.ID
	// Incarnation identifies this start of the process.
	Incarnation int64
	// NewID returns a unique write id.
	NewID func() string
	// Dead reports whether an incarnation of a host is known to have ended.
	Dead func(host.ID, int64) bool

	mu sync.Mutex
	// active holds the keys with an attempt or a reconciliation in progress.
	active map[string]bool
	// pending holds the outcomes that are not known to be written, by key.
	pending map[string]pending
	// uncertain holds the digests of claims whose write may or may not have been carried out, by key.
	uncertain map[string]string
}

// Run runs c under the claim named key, or returns the answer that an earlier attempt recorded.
//
// digest identifies the content of the call; the same key with another digest is an error of kind Conflict.
func (l *Ledger) Run(ctx context.Context, key, digest string, c call) (claim.Claim, error) {
	if !l.begin(key) {
		return claim.Claim{}, stillRunning()
	}
	defer l.end(key)
	row, err := l.Store.Read(ctx, key)
	if err != nil {
		return claim.Claim{}, storeUnavailable(err)
	}
	old, err := l.resolve(row, digest)
	if err != nil || old.State == claim.Finished {
		return old, err
	}
	contactErr := l.contact(ctx, c)
	held, err := l.claim(ctx, key, digest, row)
	if err != nil {
		return claim.Claim{}, err
	}
	if contactErr != nil {
		return claim.Claim{}, l.notRun(ctx, key, held, contactErr)
	}
	return l.send(ctx, key, held, c)
}

func (l *Ledger) begin(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active == nil {
		l.active = map[string]bool{}
		l.pending = map[string]pending{}
		l.uncertain = map[string]string{}
	}
	if l.active[key] {
		return false
	}
	l.active[key] = true
	return true
}

func (l *Ledger) end(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.active, key)
}

func (l *Ledger) contact(ctx context.Context, c call) error {
	var err error
	for range contactAttempts {
		err = c.Contact(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// claim commits the claim row; it succeeds only when the row is known to be this attempt's.
func (l *Ledger) claim(ctx context.Context, key, digest string, old record.Record) (pending, error) {
	row := claim.Claim{Holder: l.Self, Incarnation: l.Incarnation, WriteID: l.NewID(), Digest: digest, State: claim.Held}
	version, err := l.write(ctx, key, old.Version, row)
	if err != nil {
		l.markUncertain(key, digest)
		return pending{}, storeUnavailable(err)
	}
	if version == 0 {
		return pending{}, stillRunning()
	}
	return pending{version: version, row: row}, nil
}

// write commits row if the stored row still has the expected version, and reads the row back when the response was
// lost. It returns the new version, 0 when another write won.
func (l *Ledger) write(ctx context.Context, key string, expected int64, row claim.Claim) (int64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, fault.Wrap(kind.Internal, err, "can't encode the claim")
	}
	txn := table.Txn{}.IfVersion(key, expected).Put(key, value)
	for range commitAttempts {
		var version int64
		version, err = l.Store.Commit(ctx, txn)
		if err == nil && version > 0 {
			return version, nil
		}
		current, readErr := l.Store.Read(ctx, key)
		if readErr != nil {
			err = readErr
			continue
		}
		if writtenBy(current, row.WriteID) {
			return current.Version, nil
		}
		if current.Version != expected {
			return 0, nil
		}
	}
	if err == nil {
		err = fault.New(kind.Unavailable, "", "the table rejected a write although its condition holds")
	}
	return 0, err
}

func writtenBy(current record.Record, writeID string) bool {
	var c claim.Claim
	return current.Version > 0 && json.Unmarshal(current.Value, &c) == nil && c.WriteID == writeID
}

// send sends the call and records the outcome; only a send that is proved to have sent no byte is retried.
func (l *Ledger) send(ctx context.Context, key string, held pending, c call) (claim.Claim, error) {
	for range contactAttempts {
		answer, sent, err := c.Send(ctx)
		if err == nil {
			l.record(ctx, key, held, withAnswer(held.row, answer, l.NewID()))
			return answer, nil
		}
		if sent {
			l.record(ctx, key, held, withState(held.row, claim.Unknown, l.NewID()))
			return claim.Claim{}, unknown(err)
		}
		if contactErr := l.contact(ctx, c); contactErr != nil {
			return claim.Claim{}, l.notRun(ctx, key, held, contactErr)
		}
	}
	return claim.Claim{}, l.notRun(ctx, key, held, fault.New(kind.Unavailable, "", "every connection failed before a byte was sent"))
}

func (l *Ledger) notRun(ctx context.Context, key string, held pending, cause error) error {
	l.record(ctx, key, held, withState(held.row, claim.NotRun, l.NewID()))
	return notRun(cause)
}

func withAnswer(held, answer claim.Claim, writeID string) claim.Claim {
	row := withState(held, claim.Finished, writeID)
	row.Status = answer.Status
	row.ContentType = answer.ContentType
	row.Body = answer.Body
	return row
}

func withState(held claim.Claim, state, writeID string) claim.Claim {
	held.State = state
	held.WriteID = writeID
	return held
}

// record writes the outcome, or leaves it to Reconcile when the write fails.
//
// The outcome is kept in pending before the write, so that a concurrent attempt never treats the row as unsent.
func (l *Ledger) record(ctx context.Context, key string, held pending, row claim.Claim) {
	p := pending{version: held.version, row: row}
	l.mu.Lock()
	l.pending[key] = p
	l.mu.Unlock()
	if _, err := l.write(context.WithoutCancel(ctx), key, p.version, p.row); err == nil {
		l.removePending(key)
	}
}

func (l *Ledger) removePending(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, key)
}

// PendingOutcomes returns the number of outcomes that are not written to the table yet.
func (l *Ledger) PendingOutcomes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}
