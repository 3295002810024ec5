// Package edits changes the catalogue by conditional commits.
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
	// headKey is the row of the newest revision.
	headKey = "catalogue/head"
	// historyKey is the row of one revision.
	historyKey = "catalogue/revision/%012d"
	// commitTries bounds the tries of one change when others commit first or answers are lost.
	commitTries = 5
	// storeRetryAfter is the time to come back while the table does not answer.
	storeRetryAfter = 2 * time.Second
)

type store interface {
	Commit(ctx context.Context, t table.Txn) (int64, error)
	Read(ctx context.Context, key string) (record.Record, error)
}

// Edits reads and changes the catalogue in the platform's table.
//
// The head row holds the newest revision whole; each revision also stands in a history row of its own, written
// by the same commit. All methods may be called concurrently.
type Edits struct {
	// Store is the platform's table.
	Store store
	// NewID returns a fresh write id.
	NewID func() string
	// Now returns the time.
	Now func() time.Time
	// Keep is the number of revisions that stay in the history; zero keeps all. It is above commitTries, because a change
	// whose answer was lost is looked for there.
	Keep int64
}

// Head returns the newest revision, or a revision 0 when none was accepted yet.
func (e *Edits) Head(ctx context.Context) (*catlog.Catalogue, error) {
	c, _, err := e.head(ctx)
	return c, err
}

func (e *Edits) head(ctx context.Context) (*catlog.Catalogue, int64, error) {
	row, err := e.Store.Read(ctx, headKey)
	if err != nil {
		return nil, 0, unavailable(err)
	}
	c, err := read(row)
	return c, row.Version, err
}

func read(row record.Record) (*catlog.Catalogue, error) {
	c := &catlog.Catalogue{}
	if row.Version == 0 {
		return c, nil
	}
	err := json.Unmarshal(row.Value, c)
	return c, fault.Wrap(kind.Internal, err, "row %s is not readable", row.Key)
}

func unavailable(err error) error {
	f := fault.New(kind.Unavailable, "", "the table does not answer").After(storeRetryAfter)
	f.Cause = err
	return f
}

// History returns one revision.
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

// Put accepts a draft over the revision base, or returns a Conflict that lists what another operator changed.
//
// Moves are kept; a draft may not change the version of an entry that exists, which takes a move.
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

func (e *Edits) conflict(ctx context.Context, c *catlog.Catalogue, base int64) error {
	f := fault.New(kind.Conflict, "base", "the newest revision is %d, not %d", c.Revision, base)
	old, err := e.History(ctx, base)
	if err != nil {
		return f
	}
	f.Reason += "; since then: " + strings.Join(catlog.Diff(old, c), "; ")
	return f
}

func checkVersions(c, draft *catlog.Catalogue) error {
	for i := range draft.Entries {
		next := &draft.Entries[i]
		old := c.Entry(next.Name)
		if old != nil && old.Version != next.Version {
			return fault.New(kind.BadRequest, fmt.Sprintf("entries[%d].version", i), "entry %s has version %s; another version takes a move", next.Name, old.Version)
		}
	}
	for i := range c.Moves {
		if !c.Moves[i].Ended() && draft.Entry(c.Moves[i].Entry) == nil {
			return fault.New(kind.Conflict, "entries", "entry %s has a move under way", c.Moves[i].Entry)
		}
	}
	return nil
}

// StartMove accepts a move of an entry to a version by a time.
func (e *Edits) StartMove(ctx context.Context, name, to label.Name, finishBy time.Time) (move.Move, error) {
	var started move.Move
	id := e.NewID()
	_, err := e.change(ctx, func(c *catlog.Catalogue) error {
		target := c.Entry(name)
		if target == nil {
			return fault.New(kind.NotFound, "entry", "no entry %q", name)
		}
		if old := c.Move(name); old != nil && !old.Ended() {
			return fault.New(kind.Conflict, "entry", "move %s to %s is under way", old.ID, old.To)
		}
		if target.Version == to {
			return fault.New(kind.BadRequest, "version", "entry %s has version %s already", name, to)
		}
		now := e.Now().UTC()
		if !finishBy.After(now) {
			return fault.New(kind.BadRequest, "finish-by", "%s is over", finishBy.Format(time.RFC3339))
		}
		started = move.Move{ID: id, Entry: name, From: target.Version, To: to, Started: now, FinishBy: finishBy.UTC(), State: move.Ramping}
		c.SetMove(started)
		c.Note = fmt.Sprintf("move %s to %s", name, to)
		return nil
	})
	return started, err
}

// StepMove lets step change a move that is under way; an ended move is returned unchanged.
//
// A done move sets the entry's version in the same revision. A mover with an older fencing number gets a Conflict.
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
			return fault.New(kind.Conflict, "fence", "a mover with number %d has taken over from %d", m.Fence, fence)
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

// WithdrawMove takes a move back for good; an ended move is returned unchanged.
func (e *Edits) WithdrawMove(ctx context.Context, id, reason string) (move.Move, error) {
	return e.StepMove(ctx, id, math.MaxInt64, func(m *move.Move) {
		m.State = move.TakenBack
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

// errUnchanged tells change that there is nothing to commit.
var errUnchanged = fault.New(kind.Conflict, "", "nothing to change")

// change commits edit's result as the next revision; a lost answer is read back by its write id.
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
		return nil, fault.New(kind.Conflict, "", "%d other changes came first", commitTries)
	}
	return nil, fault.Wrap(kind.OutcomeUnknown, last, "the table's answers were lost; read the catalogue before another try")
}

// findCommitted looks for this change's write id after a lost answer, in the head and in the revisions below it.
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

func (e *Edits) commit(ctx context.Context, next *catlog.Catalogue, over int64) (bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return false, fault.Wrap(kind.Internal, err, "catalogue is not writable")
	}
	history := fmt.Sprintf(historyKey, next.Revision)
	txn := table.Txn{}.IfVersion(headKey, over).Put(headKey, value).Put(history, value)
	if old := next.Revision - e.Keep; e.Keep > 0 && old > 0 {
		txn = txn.Delete(fmt.Sprintf(historyKey, old))
	}
	version, err := e.Store.Commit(ctx, txn)
	return version > 0, err
}
