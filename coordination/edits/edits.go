// Package edits reads and changes the catalogue in the platform's table by conditional commits.
package edits

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

const (
	// headKey is the key of the row that holds the newest revision.
	headKey = "catalogue/head"
	// historyKey is the format of the key of one revision's row.
	historyKey = "catalogue/revision/%012d"
	// commitTries bounds the attempts to commit one change when others commit first or answers are lost.
	commitTries = 5
	// storeRetryAfter is the time after which clients are asked to retry while the table does not answer.
	storeRetryAfter = 2 * time.Second
)

type store interface {
	Commit(ctx context.Context, t table.Txn) (int64, error)
	Read(ctx context.Context, key string) (record.Record, error)
}

// Edits reads and changes the catalogue in the platform's table.
//
// The head row holds the newest revision in full. Each revision also has a history row of its own, written by the same
// commit. All methods may be called concurrently.
type Edits struct {
	// Store is the platform's table.
	Store store
	// NewID returns a unique write id.
	NewID func() string
	// Now returns the time.
	Now func() time.Time
	// HistoryLimit is the number of revisions kept in the history; zero keeps all. It must be above commitTries, because a
	// change whose answer was lost is looked up there.
	HistoryLimit int64
}

// Head returns the newest revision, or an empty revision 0 if there is none yet.
func (e *Edits) Head(ctx context.Context) (*catlog.Catalogue, error) {
	c, _, err := e.head(ctx)
	return c, err
}

// head returns the newest revision and the version of its row.
func (e *Edits) head(ctx context.Context) (*catlog.Catalogue, int64, error) {
	row, err := e.Store.Read(ctx, headKey)
	if err != nil {
		return nil, 0, unavailable(err)
	}
	c, err := read(row)
	return c, row.Version, err
}

// read decodes a row; a row that does not exist is an empty catalogue.
func read(row record.Record) (*catlog.Catalogue, error) {
	c := &catlog.Catalogue{}
	if row.Version == 0 {
		return c, nil
	}
	err := json.Unmarshal(row.Value, c)
	return c, fault.Wrap(kind.Internal, err, "catalogue row %s is not decodable", row.Key)
}

// unavailable returns the error for a table that does not answer.
func unavailable(err error) error {
	f := fault.New(kind.Unavailable, "", "the table does not answer").WithRetryAfter(storeRetryAfter)
	f.Cause = err
	return f
}

// History returns one revision, or a NotFound error if it does not exist or is no longer kept.
func (e *Edits) History(ctx context.Context, revision int64) (*catlog.Catalogue, error) {
	row, err := e.Store.Read(ctx, fmt.Sprintf(historyKey, revision))
	if err != nil {
		return nil, unavailable(err)
	}
	if row.Version == 0 {
		return nil, fault.New(kind.NotFound, "revision", "no revision %d", revision)
	}
	return read(row)
}

// Put commits a draft as the successor of the revision base, or returns a Conflict error that lists the changes since
// base.
//
// Moves are kept. A draft can't change the version of an existing entry, which requires a move.
func (e *Edits) Put(ctx context.Context, draft *catlog.Catalogue, base int64) (*catlog.Catalogue, error) {
	return e.change(ctx, func(c *catlog.Catalogue) error {
		if c.Revision != base {
			return e.conflict(ctx, c, base)
		}
		if err := checkVersions(c, draft); err != nil {
			return err
		}
		c.Accounts = draft.Accounts
		c.Entries = draft.Entries
		c.Note = draft.Note
		return nil
	})
}

// conflict returns the error for a draft that is not based on the newest revision.
func (e *Edits) conflict(ctx context.Context, c *catlog.Catalogue, base int64) error {
	f := fault.New(kind.Conflict, "base", "the newest revision is %d, not %d", c.Revision, base)
	old, err := e.History(ctx, base)
	if err != nil {
		return f
	}
	f.Reason += "; since then: " + strings.Join(catlog.Diff(old, c), "; ")
	return f
}

// checkVersions returns an error if a draft changes the version of an entry, or removes an entry with a move in
// progress.
func checkVersions(c, draft *catlog.Catalogue) error {
	for i := range draft.Entries {
		next := &draft.Entries[i]
		old := c.Entry(next.Name)
		if old != nil && old.Version != next.Version {
			return fault.New(kind.BadRequest, fmt.Sprintf("entries[%d].version", i), "entry %s has version %s; changing the version requires a move", next.Name, old.Version)
		}
	}
	for i := range c.Moves {
		if !c.Moves[i].Ended() && draft.Entry(c.Moves[i].Entry) == nil {
			return fault.New(kind.Conflict, "entries", "entry %s has a move in progress", c.Moves[i].Entry)
		}
	}
	return nil
}

// StartMove commits a new move of an entry to a version, to be finished by a time.
func (e *Edits) StartMove(ctx context.Context, name, to label.Name, finishBy time.Time) (move.Move, error) {
	var started move.Move
	id := e.NewID()
	_, err := e.change(ctx, func(c *catlog.Catalogue) error {
		target := c.Entry(name)
		if target == nil {
			return fault.New(kind.NotFound, "entry", "no entry %q", name)
		}
		if old := c.Move(name); old != nil && !old.Ended() {
			return fault.New(kind.Conflict, "entry", "move %s to %s is in progress", old.ID, old.To)
		}
		if target.Version == to {
			return fault.New(kind.BadRequest, "version", "entry %s already has version %s", name, to)
		}
		now := e.Now().UTC()
		if !finishBy.After(now) {
			return fault.New(kind.BadRequest, "finish-by", "finish time %s has passed", finishBy.Format(time.RFC3339))
		}
		started = move.Move{ID: id, Entry: name, From: target.Version, To: to, Started: now, FinishBy: finishBy.UTC(), State: move.Ramping}
		c.SetMove(started)
		c.Note = fmt.Sprintf("move %s to %s", name, to)
		return nil
	})
	return started, err
}

// StepMove commits the change that step makes to a move in progress; an ended move is returned unchanged.
//
// A move that becomes done sets the entry's version in the same revision. A lower fencing number than the move's gives a
// Conflict error.
func (e *Edits) StepMove(ctx context.Context, id string, fence int64, step func(m *move.Move)) (move.Move, error) {
	var result move.Move
	_, err := e.change(ctx, func(c *catlog.Catalogue) error {
		m := findMove(c, id)
		if m == nil {
			return fault.New(kind.NotFound, "move", "no move %q", id)
		}
		result = *m
		if m.Ended() {
			return errUnchanged
		}
		if m.Fence > fence {
			return fault.New(kind.Conflict, "fence", "the move was taken over with fencing number %d; this process has the lower number %d", m.Fence, fence)
		}
		step(m)
		if fence != math.MaxInt64 {
			m.Fence = fence
		}
		result = *m
		if m.State == move.Done {
			c.Entry(m.Entry).Version = m.To
		}
		c.Note = fmt.Sprintf("move %s to %s: %s at %.3f", m.Entry, m.To, m.State, m.Share)
		return nil
	})
	return result, err
}

// WithdrawMove rolls a move back for good; an ended move is returned unchanged.
func (e *Edits) WithdrawMove(ctx context.Context, id, reason string) (move.Move, error) {
	return e.StepMove(ctx, id, math.MaxInt64, func(m *move.Move) {
		m.State = move.RolledBack
		m.Share = 0
		m.Reason = reason
	})
}

func findMove(c *catlog.Catalogue, id string) *move.Move {
	for i := range c.Moves {
		if c.Moves[i].ID == id {
			return &c.Moves[i]
		}
	}
	return nil
}

// errUnchanged is returned to change by an edit that has nothing to commit.
var errUnchanged = fault.New(kind.Conflict, "", "nothing to change")

// change commits edit's result as the next revision. After a lost answer, the write id shows whether the commit
// succeeded.
func (e *Edits) change(ctx context.Context, edit func(c *catlog.Catalogue) error) (*catlog.Catalogue, error) {
	id := e.NewID()
	var last error
	for range commitTries {
		c, version, err := e.head(ctx)
		if err != nil {
			return nil, err
		}
		if done, err := e.findCommitted(ctx, c, id, last); done != nil || err != nil {
			return done, err
		}
		next := c.Clone()
		if err := edit(next); err != nil {
			if err == error(errUnchanged) {
				return c, nil
			}
			return nil, err
		}
		next.Revision = c.Revision + 1
		next.WriteID = id
		written, err := e.commit(ctx, next, version)
		if err == nil && written {
			return next, nil
		}
		if err != nil {
			last = err
		}
	}
	if last == nil {
		return nil, fault.New(kind.Conflict, "", "%d concurrent changes were committed first", commitTries)
	}
	return nil, fault.Wrap(kind.OutcomeUnknown, last, "the table did not answer, so the change may have been committed; read the catalogue before retrying")
}

// findCommitted looks for this change's write id in the newest revisions after a lost answer, and returns the revision
// with it, nil if there is none.
func (e *Edits) findCommitted(ctx context.Context, head *catlog.Catalogue, id string, lost error) (*catlog.Catalogue, error) {
	if lost == nil {
		return nil, nil
	}
	for revision := head.Revision; revision > 0 && revision > head.Revision-commitTries; revision-- {
		c := head
		if revision != head.Revision {
			var err error
			c, err = e.History(ctx, revision)
			if err != nil {
				return nil, err
			}
		}
		if c.WriteID == id {
			return c, nil
		}
	}
	return nil, nil
}

// commit writes the next revision if the head row still has the expected version, and reports whether it was written.
// The oldest revision beyond HistoryLimit is deleted.
func (e *Edits) commit(ctx context.Context, next *catlog.Catalogue, expected int64) (bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return false, fault.Wrap(kind.Internal, err, "catalogue is not encodable")
	}
	history := fmt.Sprintf(historyKey, next.Revision)
	txn := table.Txn{}.IfVersion(headKey, expected).Put(headKey, value).Put(history, value)
	if old := next.Revision - e.HistoryLimit; e.HistoryLimit > 0 && old > 0 {
		txn = txn.Delete(fmt.Sprintf(historyKey, old))
	}
	version, err := e.Store.Commit(ctx, txn)
	return version > 0, err
}
