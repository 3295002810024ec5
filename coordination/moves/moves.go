// Package moves steps the version moves that the operator requests, and keeps their states in the hosts' table.
package moves

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/canary"
	"github.com/dragonflyroute/dragonflyroute/coordination/ramp"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
)

const (
	// statePrefix begins the keys of the states of moves in the hosts' table.
	statePrefix = "move/"
	// margin is the fraction of a move's duration that is reserved for its last step to reach all hosts.
	margin = 0.12
)

// rows are the rows of a table, which are written over the versions that this process knows.
type rows interface {
	Observe(r record.Record)
	Known(key string) record.Record
	Write(ctx context.Context, key string, value []byte) (version int64, err error)
}

// Moves follows the moves that the operator requests, and steps them while this process holds the lease.
//
// Request is called by the watcher of the operator's table, SetState by that of the hosts' table, and Step by the goroutine
// of the lease holder. The other methods may be called concurrently.
type Moves struct {
	// Canary keeps the requested moves and their states, and splits the requests.
	Canary *canary.Canary
	// Trials counts this process's trials of each move's versions.
	Trials *trials.Trials
	// Ramp decides the next step of a move.
	Ramp ramp.Ramp
	// Hosts is the table of the entry hosts, which holds the states of moves, and Status the table in which the operator reads
	// the status of moves.
	Hosts, Status rows
	// Serving returns the version that most endpoints of an entry have, apart from some versions; empty if there is none.
	Serving func(entry label.Name, apart []label.Name) label.Name
	// Held returns the fencing number if this process holds the lease under which moves are stepped.
	Held func() (fence int64, held bool)
	// Decode decodes the operator's request of a move, and EncodeStatus returns the row that reports a move's status to the
	// operator.
	Decode       func(version int64, data []byte) (m move.Move, duration time.Duration, err error)
	EncodeStatus func(m move.Move) (key string, value []byte, err error)
	// Now returns the time.
	Now func() time.Time
	// Log receives a line for each request, step and status.
	Log hclog.Logger

	// requests holds the last request of a move by its key.
	requests map[string]record.Record
	// baseline holds the counts of all hosts at the last change of a move's share, by entry, reported the state last reported
	// for each move, and era is the store's era in which the states were last written. Only Step uses them.
	baseline map[label.Name][]trial.Trial
	reported map[string]string
	era      eras.Era

	mu sync.Mutex
	// peerTrials holds the trials that peers sent, by move.
	peerTrials map[host.ID]map[string][]trial.Trial
}

// IsState reports whether a key of the hosts' table holds the state of a move.
func (ms *Moves) IsState(key string) bool { return strings.HasPrefix(key, statePrefix) }

// Request applies a row of the operator's table that requests a move.
func (ms *Moves) Request(r record.Record) {
	m, duration, err := ms.Decode(r.Version, r.Value)
	if err != nil {
		ms.Log.Error("cannot decode the request of a move; it is ignored", "key", r.Key, "version", r.Version, "error", err)
		return
	}
	if ms.isSameRequest(r) {
		ms.Log.Info("request of a move written again after a restore of the store; the move goes on", "key", r.Key, "version", r.Version)
		return
	}
	now := ms.Now()
	m.Started, m.FinishBy = now, now.Add(time.Duration((1-margin)*float64(duration)))
	ms.Canary.SetRequested(m)
	ms.Log.Info("move requested", "move", m.ID, "to", m.To, "lasts-ms", duration.Milliseconds(), "version", r.Version)
}

// isSameRequest reports whether a row is the last request of its key, read once more or written again in a later era of the
// store. It notes the row.
func (ms *Moves) isSameRequest(r record.Record) bool {
	if ms.requests == nil {
		ms.requests = map[string]record.Record{}
	}
	last, ok := ms.requests[r.Key]
	ms.requests[r.Key] = r
	again := r.Version == last.Version || eras.Of(r.Version) > eras.Of(last.Version)
	return ok && again && bytes.Equal(r.Value, last.Value)
}

// SetState applies a move's state from the hosts' table.
func (ms *Moves) SetState(r record.Record) {
	// The row is known, and may be written over, once its state was applied.
	defer ms.Hosts.Observe(r)
	m, err := decodeState(r)
	if err != nil {
		ms.Log.Error("cannot decode the state of a move; it is ignored", "key", r.Key, "version", r.Version, "error", err)
		return
	}
	if ms.isOlderState(m, r.Version) {
		ms.Log.Info("state of move returned with a restore of the store; the newer one stays", "move", m.ID, "state", m.State, "share", m.Share, "version", r.Version)
		return
	}
	if !ms.Canary.SetState(m) {
		ms.Log.Info("state of move is older than the known one; it changes nothing", "move", m.ID, "state", m.State, "share", m.Share, "version", r.Version)
		return
	}
	ms.Log.Info("state of move received", "move", m.ID, "from", m.From, "rejected", m.Rejected, "state", m.State, "share", m.Share, "reason", m.Reason, "version", r.Version)
}

// decodeState decodes the row of a move's state.
func decodeState(r record.Record) (m move.Move, err error) {
	err = json.Unmarshal(r.Value, &m)
	m.Version = r.Version
	return m, err
}

// isOlderState reports whether the row of a move's state returned with a restore of the store, and the known state, of the same
// move or of the requested one, is at least as new.
func (ms *Moves) isOlderState(m move.Move, version int64) bool {
	if eras.Of(version) <= eras.Of(m.Fence) {
		return false
	}
	_, known := ms.Canary.State(m.Entry, m.ID)
	for _, requested := range ms.Canary.Requested() {
		_, begun := ms.Canary.State(m.Entry, requested.ID)
		known = known || requested.Entry == m.Entry && begun
	}
	return known
}

// SetPeer stores a peer's counts of trials of the running moves.
func (ms *Moves) SetPeer(p beat.Heartbeat) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.peerTrials == nil {
		ms.peerTrials = map[host.ID]map[string][]trial.Trial{}
	}
	ms.peerTrials[p.Host] = p.Trials
}

// allTrials returns the sum of all hosts' trials of a move for each route, sorted by route.
func (ms *Moves) allTrials(id string) []trial.Trial {
	sums := map[string]trial.Trial{}
	add := func(all []trial.Trial) {
		for _, t := range all {
			sums[t.Route] = t.Add(sums[t.Route])
		}
	}
	add(ms.Trials.ByRoute(id))
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, peer := range ms.peerTrials {
		add(peer[id])
	}
	var out []trial.Trial
	for _, t := range sums {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b trial.Trial) int { return strings.Compare(a.Route, b.Route) })
	return out
}

// Running returns this process's own trials of the requested moves, by the move's id.
func (ms *Moves) Running() map[string][]trial.Trial {
	out := map[string][]trial.Trial{}
	for _, m := range ms.Canary.Requested() {
		if all := ms.Trials.ByRoute(m.ID); len(all) > 0 {
			out[m.ID] = all
		}
	}
	return out
}

// Step decides the next step of each requested move, and writes it if the share or state changes. Only the lease holder
// calls it.
func (ms *Moves) Step(ctx context.Context) {
	fence, _ := ms.Held()
	if era := eras.Of(fence); era > ms.era {
		ms.rewrite(ctx, era)
	}
	for _, requested := range ms.Canary.Requested() {
		m, begun := ms.Canary.State(requested.Entry, requested.ID)
		if begun && m.Ended() {
			ms.keepEnd(ctx, m)
			continue
		}
		if !begun {
			m = ms.begin(requested)
		}
		total := ms.allTrials(m.ID)
		next := ms.Ramp.Next(m, total, ms.sinceStep(m, total), ms.Now())
		if ms.Trials.Withdrawn(m.ID) && !next.Ended() {
			next = ramp.RolledBack(next, "a host withdrew it on its own evidence")
		}
		if begun && next.Share == m.Share && next.State == m.State {
			continue
		}
		ms.writeState(ctx, next, total)
	}
}

// begin returns a requested move as it begins, with what the moves before it say of versions.
func (ms *Moves) begin(m move.Move) move.Move {
	m.State = move.Ramping
	m.From, m.Rejected = ms.Canary.Earlier(m.Entry)
	if m.From == "" {
		m.From = ms.Serving(m.Entry, append([]label.Name{m.To}, m.Rejected...))
	}
	return m
}

// keepEnd keeps the end of a move in both tables: it writes the state again if the table has another one of the move.
func (ms *Moves) keepEnd(ctx context.Context, m move.Move) {
	stored, err := decodeState(ms.Hosts.Known(statePrefix + string(m.Entry)))
	if err == nil && stored.ID == m.ID && stored.State != m.State {
		ms.Log.Warn("state of an ended move was written over; it is written again", "move", m.ID, "state", m.State, "stored", stored.State, "version", stored.Version)
		ms.writeState(ctx, m, ms.baseline[m.Entry])
		return
	}
	ms.writeStatus(ctx, m)
}

// rewrite writes the known states of moves again in a new era of the store, as they may be lost.
func (ms *Moves) rewrite(ctx context.Context, era eras.Era) {
	ms.era = era
	ms.reported = nil
	for _, requested := range ms.Canary.Requested() {
		m, begun := ms.Canary.State(requested.Entry, requested.ID)
		if begun && !ms.writeState(ctx, m, ms.baseline[m.Entry]) {
			ms.era = 0
		}
	}
}

// sinceStep returns the trials since the move's share last changed.
func (ms *Moves) sinceStep(m move.Move, total []trial.Trial) []trial.Trial {
	var out []trial.Trial
	for _, t := range total {
		for _, b := range ms.baseline[m.Entry] {
			if b.Route == t.Route {
				t = trial.Trial{Route: t.Route, Old: t.Old - b.Old, OldBad: t.OldBad - b.OldBad, New: t.New - b.New, NewBad: t.NewBad - b.NewBad}
			}
		}
		out = append(out, t)
	}
	return out
}

// writeState writes a move's state into the hosts' table, from which all hosts read it, and then its status for the
// operator. It reports whether the table took the state.
func (ms *Moves) writeState(ctx context.Context, m move.Move, total []trial.Trial) bool {
	fence, held := ms.Held()
	if !held {
		return false
	}
	m.Fence = fence
	value, err := json.Marshal(m)
	if err == nil {
		m.Version, err = ms.commitState(ctx, m, value)
	}
	if err != nil {
		ms.Log.Warn("cannot write the state of a move; retrying at the next step", "move", m.ID, "state", m.State, "error", err)
		return false
	}
	if ms.baseline == nil {
		ms.baseline = map[label.Name][]trial.Trial{}
	}
	ms.baseline[m.Entry] = total
	ms.Canary.SetState(m)
	ms.Log.Info("move stepped", "move", m.ID, "from", m.From, "rejected", m.Rejected, "state", m.State, "share", m.Share, "reason", m.Reason, "evidence", total, "fence", fence)
	ms.writeStatus(ctx, m)
	return true
}

// commitState writes the row of a move's state over the known one, or over the one that another write has put there unless
// that one says more: it is applied then, so that the next step goes on from it.
func (ms *Moves) commitState(ctx context.Context, m move.Move, value []byte) (version int64, err error) {
	key := statePrefix + string(m.Entry)
	version, err = ms.Hosts.Write(ctx, key, value)
	if fault.KindOf(err) != kind.Conflict {
		return version, err
	}
	if current := ms.Hosts.Known(key); !mayReplace(current, m) {
		ms.SetState(current)
		return 0, err
	}
	return ms.Hosts.Write(ctx, key, value)
}

// mayReplace reports whether a move's state may be written over a row that was not known: not over the end of the same move, nor
// over the state of another one, which may hold a verdict, nor over what a later holder of the lease wrote. A row that returned
// with a restore of the store is older than what is known.
func mayReplace(current record.Record, m move.Move) bool {
	stored, err := decodeState(current)
	if !current.Exists() || err != nil || eras.Of(current.Version) > eras.Of(stored.Fence) {
		return true
	}
	return stored.ID == m.ID && stored.Fence <= m.Fence && (!stored.Ended() || stored.State == m.State)
}

// writeStatus writes a move's status for the operator, once for each state.
func (ms *Moves) writeStatus(ctx context.Context, m move.Move) {
	if ms.reported[m.ID] == m.State {
		return
	}
	key, value, err := ms.EncodeStatus(m)
	if err == nil {
		err = ms.commitStatus(ctx, key, value)
	}
	if err != nil {
		ms.Log.Warn("cannot write the status of a move for the operator", "move", m.ID, "state", m.State, "error", err)
		return
	}
	if ms.reported == nil {
		ms.reported = map[string]string{}
	}
	ms.reported[m.ID] = m.State
	ms.Log.Info("status of move written for the operator", "move", m.ID, "state", m.State)
}

// commitStatus writes the row of a status over the known one, or over the one that another write has put there as long as this
// process holds the lease.
func (ms *Moves) commitStatus(ctx context.Context, key string, value []byte) error {
	_, err := ms.Status.Write(ctx, key, value)
	if _, held := ms.Held(); held && fault.KindOf(err) == kind.Conflict {
		_, err = ms.Status.Write(ctx, key, value)
	}
	return err
}
