// Package once runs non-idempotent calls at most once.
//
// The claim row follows the start marker of the S3A committers: an exclusive create before an effect that
// can't be repeated, an outcome after it, and a started effect without an outcome is never run by anyone else.
// Unlike there, contact with the endpoint is checked before the claim, and only the holder records a failure.
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
	// commitTries bounds the tries of one write whose answer was lost.
	commitTries = 3
	// contactTries bounds the endpoints tried before the claim and after an unsent attempt.
	contactTries = 3
	// askAgain is the time to come back while another attempt runs.
	askAgain = time.Second
	// storeWait is the time to come back while the table does not answer.
	storeWait = 2 * time.Second
)

type store interface {
	Commit(ctx context.Context, t table.Txn) (int64, error)
	Read(ctx context.Context, key string) (record.Record, error)
}

// call is one non-idempotent call; Contact connects without sending a byte of the request, Send sends it on
// the last contact. Send reports sent=false only when no byte can have reached the endpoint.
type call interface {
	Contact(ctx context.Context) error
	Send(ctx context.Context) (answer claim.Claim, sent bool, err error)
}

type pending struct {
	version int64
	row     claim.Claim
}

// Ledger runs calls under claims.
//
// Promises, for each key: at most one Send in which a byte may have left, over all processes and for ever; an
// error of kind NotRun is returned only if no byte was ever sent and none ever will be. All methods may be
// called concurrently.
type Ledger struct {
	// Store is the platform's table.
	Store store
	// Self names the process's host.
	Self host.ID
	// Incarnation is this start of the process.
	Incarnation int64
	// NewID returns a fresh write id.
	NewID func() string
	// Dead reports whether an incarnation of a host is known to be over.
	Dead func(host.ID, int64) bool

	mu      sync.Mutex
	active  map[string]bool
	pending map[string]pending
	unsure  map[string]string
}

// Run runs c under the claim named key, or returns the answer that an earlier attempt recorded.
//
// digest identifies the content; the same key with another digest is a Conflict.
func (l *Ledger) Run(ctx context.Context, key, digest string, c call) (claim.Claim, error) {
	if !l.begin(key) {
		return claim.Claim{}, running()
	}
	defer l.end(key)
	row, err := l.Store.Read(ctx, key)
	if err != nil {
		return claim.Claim{}, storeDown(err)
	}
	old, err := l.settle(row, digest)
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
		l.unsure = map[string]string{}
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
	for range contactTries {
		err = c.Contact(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// claim commits the row; it returns only when the row is known to be this attempt's.
func (l *Ledger) claim(ctx context.Context, key, digest string, old record.Record) (pending, error) {
	row := claim.Claim{Holder: l.Self, Incarnation: l.Incarnation, WriteID: l.NewID(), Digest: digest, State: claim.Held}
	version, err := l.write(ctx, key, old.Version, row)
	if err != nil {
		l.doubt(key, digest)
		return pending{}, storeDown(err)
	}
	if version == 0 {
		return pending{}, running()
	}
	return pending{version: version, row: row}, nil
}

// write commits row over the given version and reads back a lost answer; 0 means that another write won.
func (l *Ledger) write(ctx context.Context, key string, over int64, row claim.Claim) (int64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, fault.Wrap(kind.Internal, err, "claim is not writable")
	}
	txn := table.Txn{}.IfVersion(key, over).Put(key, value)
	for range commitTries {
		var version int64
		version, err = l.Store.Commit(ctx, txn)
		if err == nil && version > 0 {
			return version, nil
		}
		now, readErr := l.Store.Read(ctx, key)
		if readErr != nil {
			err = readErr
			continue
		}
		if written(now, row.WriteID) {
			return now.Version, nil
		}
		if now.Version != over {
			return 0, nil
		}
	}
	if err == nil {
		err = fault.New(kind.Unavailable, "", "the table refuses a write whose condition holds")
	}
	return 0, err
}

func written(now record.Record, writeID string) bool {
	var c claim.Claim
	return now.Version > 0 && json.Unmarshal(now.Value, &c) == nil && c.WriteID == writeID
}

// send sends the call once and records the outcome; an attempt that was proved unsent may be made elsewhere.
func (l *Ledger) send(ctx context.Context, key string, held pending, c call) (claim.Claim, error) {
	for range contactTries {
		answer, sent, err := c.Send(ctx)
		if err == nil {
			l.record(ctx, key, held, finished(held.row, answer, l.NewID()))
			return answer, nil
		}
		if sent {
			l.record(ctx, key, held, ended(held.row, claim.Unknown, l.NewID()))
			return claim.Claim{}, unknown(err)
		}
		if contactErr := l.contact(ctx, c); contactErr != nil {
			return claim.Claim{}, l.notRun(ctx, key, held, contactErr)
		}
	}
	return claim.Claim{}, l.notRun(ctx, key, held, fault.New(kind.Unavailable, "", "every connection broke before a byte was sent"))
}

func (l *Ledger) notRun(ctx context.Context, key string, held pending, cause error) error {
	l.record(ctx, key, held, ended(held.row, claim.NotRun, l.NewID()))
	return notRun(cause)
}

func finished(held, answer claim.Claim, writeID string) claim.Claim {
	row := ended(held, claim.Finished, writeID)
	row.Status = answer.Status
	row.ContentType = answer.ContentType
	row.Body = answer.Body
	return row
}

func ended(held claim.Claim, state, writeID string) claim.Claim {
	held.State = state
	held.WriteID = writeID
	return held
}

// record writes the outcome now, or leaves it to Reconcile when the table does not answer.
//
// The outcome is noted before the write, so that an attempt that comes meanwhile never sees the row as unsent.
func (l *Ledger) record(ctx context.Context, key string, held pending, row claim.Claim) {
	p := pending{version: held.version, row: row}
	l.mu.Lock()
	l.pending[key] = p
	l.mu.Unlock()
	if _, err := l.write(context.WithoutCancel(ctx), key, p.version, p.row); err == nil {
		l.forget(key)
	}
}

func (l *Ledger) forget(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, key)
}

// Pending returns the number of outcomes that wait for the table.
func (l *Ledger) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}
