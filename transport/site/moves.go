package site

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/canary"
	"github.com/dragonflyroute/dragonflyroute/coordination/ramp"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

const (
	// movePrefix begins the keys of moves in the hosts' table.
	movePrefix = "move/"
	// moveMargin is the fraction of a move's duration that is reserved for its last step to reach all hosts.
	moveMargin = 0.12
)

func (s *Site) buildMoves() {
	s.ramp = ramp.Default()
	s.Proxy.Canary = &canary.Canary{Trials: s.ownTrials, Judge: s.ramp.Judge, Rand: s.Balancer.Rand}
}

// requestMove applies a row of the operator's table that requests a move.
func (s *Site) requestMove(r record.Record) {
	m, duration, err := s.DecodeMove(r.Version, r.Value)
	if err != nil {
		s.Log.Error("cannot decode the request of a move; it is ignored", "key", r.Key, "version", r.Version, "error", err)
		return
	}
	if s.isSameRequest(r) {
		s.Log.Info("request of a move written again after a restore of the store; the move goes on", "key", r.Key, "version", r.Version)
		return
	}
	now := time.Now()
	m.Started, m.FinishBy = now, now.Add(time.Duration((1-moveMargin)*float64(duration)))
	s.Proxy.Canary.SetRequested(m)
	s.Log.Info("move requested", "move", m.ID, "to", m.To, "lasts-ms", duration.Milliseconds(), "version", r.Version)
}

// isSameRequest reports whether a row repeats, in a later era of the store, the last request of its key. It notes the row.
func (s *Site) isSameRequest(r record.Record) bool {
	if s.moveRequests == nil {
		s.moveRequests = map[string]record.Record{}
	}
	last, ok := s.moveRequests[r.Key]
	s.moveRequests[r.Key] = r
	return ok && eras.Of(r.Version) > eras.Of(last.Version) && bytes.Equal(r.Value, last.Value)
}

// setMoveState applies a move's state from the hosts' table.
func (s *Site) setMoveState(r record.Record) {
	var m move.Move
	if err := json.Unmarshal(r.Value, &m); err != nil {
		s.Log.Error("cannot decode the state of a move; it is ignored", "key", r.Key, "version", r.Version, "error", err)
		return
	}
	if s.isOlderState(m, r.Version) {
		s.Log.Info("state of move returned with a restore of the store; the newer one stays", "move", m.ID, "state", m.State, "share", m.Share, "version", r.Version)
		return
	}
	s.Proxy.Canary.SetState(m)
	s.Log.Info("state of move received", "move", m.ID, "state", m.State, "share", m.Share, "reason", m.Reason, "version", r.Version)
}

// isOlderState reports whether the row of a move's state returned with a restore of the store, so that the known state of
// the same move is at least as new.
func (s *Site) isOlderState(m move.Move, version int64) bool {
	_, known := s.Proxy.Canary.State(m.Entry, m.ID)
	return known && eras.Of(version) > eras.Of(m.Fence)
}

func isMoveRow(key string) bool { return strings.HasPrefix(key, movePrefix) }

// setPeerTrials stores a peer's counts of trials of the running moves.
func (s *Site) setPeerTrials(p beat.Heartbeat) {
	s.movesMu.Lock()
	defer s.movesMu.Unlock()
	if s.peerTrials == nil {
		s.peerTrials = map[host.ID]map[string][]trial.Trial{}
	}
	s.peerTrials[p.Host] = p.Trials
}

// allTrials returns the sum of all hosts' trials of a move for each route, sorted by route.
func (s *Site) allTrials(id string) []trial.Trial {
	sums := map[string]trial.Trial{}
	add := func(all []trial.Trial) {
		for _, t := range all {
			sums[t.Route] = t.Add(sums[t.Route])
		}
	}
	add(s.ownTrials.ByRoute(id))
	s.movesMu.Lock()
	defer s.movesMu.Unlock()
	for _, peer := range s.peerTrials {
		add(peer[id])
	}
	var out []trial.Trial
	for _, t := range sums {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b trial.Trial) int { return strings.Compare(a.Route, b.Route) })
	return out
}

// runningTrials returns this process's own trials of the requested moves, by the move's id.
func (s *Site) runningTrials() map[string][]trial.Trial {
	out := map[string][]trial.Trial{}
	for _, m := range s.Proxy.Canary.Requested() {
		if all := s.ownTrials.ByRoute(m.ID); len(all) > 0 {
			out[m.ID] = all
		}
	}
	return out
}

// stepMoves decides the next step of each requested move, and writes it if the share or state changes. Only the lease
// holder calls it.
func (s *Site) stepMoves(ctx context.Context) {
	fence, _ := s.leases.Held(leaseKey)
	if era := eras.Of(fence); era > s.movesEra {
		s.rewriteMoves(ctx, era)
	}
	for _, requested := range s.Proxy.Canary.Requested() {
		m, begun := s.Proxy.Canary.State(requested.Entry, requested.ID)
		if begun && m.Ended() {
			s.writeMoveStatus(ctx, m)
			continue
		}
		if !begun {
			m = requested
			m.State = move.Ramping
		}
		total := s.allTrials(m.ID)
		next := s.ramp.Next(m, total, s.trialsSinceStep(m, total), time.Now())
		if s.ownTrials.Withdrawn(m.ID) && !next.Ended() {
			next = ramp.RolledBack(next, "a host withdrew it on its own evidence")
		}
		if begun && next.Share == m.Share && next.State == m.State {
			continue
		}
		s.writeMoveState(ctx, next, total)
	}
}

// rewriteMoves writes the known states of moves again in a new era of the store, as they may be lost.
func (s *Site) rewriteMoves(ctx context.Context, era eras.Era) {
	s.movesEra = era
	s.reportedStates = nil
	for _, requested := range s.Proxy.Canary.Requested() {
		m, begun := s.Proxy.Canary.State(requested.Entry, requested.ID)
		if begun && !s.writeMoveState(ctx, m, s.allTrials(m.ID)) {
			s.movesEra = 0
		}
	}
}

// trialsSinceStep returns the trials since the move's share last changed.
func (s *Site) trialsSinceStep(m move.Move, total []trial.Trial) []trial.Trial {
	var out []trial.Trial
	for _, t := range total {
		for _, b := range s.baseline[m.Entry] {
			if b.Route == t.Route {
				t = trial.Trial{Route: t.Route, Old: t.Old - b.Old, OldBad: t.OldBad - b.OldBad, New: t.New - b.New, NewBad: t.NewBad - b.NewBad}
			}
		}
		out = append(out, t)
	}
	return out
}

// writeMoveState writes a move's state into the hosts' table, from which all hosts read it, and then its status for the
// operator. It reports whether the table took the state.
func (s *Site) writeMoveState(ctx context.Context, m move.Move, total []trial.Trial) bool {
	fence, held := s.leases.Held(leaseKey)
	if !held {
		return false
	}
	m.Fence = fence
	value, err := json.Marshal(m)
	if err != nil {
		s.Log.Error("cannot encode the state of a move", "move", m.ID, "error", err)
		return false
	}
	if _, err := s.Hosts.Commit(ctx, table.Txn{}.Put(movePrefix+string(m.Entry), value)); err != nil {
		s.Log.Warn("cannot write the state of a move; retrying at the next step", "move", m.ID, "state", m.State, "error", err)
		return false
	}
	if s.baseline == nil {
		s.baseline = map[label.Name][]trial.Trial{}
	}
	s.baseline[m.Entry] = total
	s.Proxy.Canary.SetState(m)
	s.Log.Info("move stepped", "move", m.ID, "state", m.State, "share", m.Share, "reason", m.Reason, "evidence", total, "fence", fence)
	s.writeMoveStatus(ctx, m)
	return true
}

// writeMoveStatus writes a move's status for the operator, once for each state.
func (s *Site) writeMoveStatus(ctx context.Context, m move.Move) {
	if s.reportedStates[m.ID] == m.State {
		return
	}
	key, value, err := s.EncodeMoveStatus(m)
	if err == nil {
		_, err = s.Status.Commit(ctx, table.Txn{}.Put(key, value))
	}
	if err != nil {
		s.Log.Warn("cannot write the status of a move for the operator", "move", m.ID, "state", m.State, "error", err)
		return
	}
	if s.reportedStates == nil {
		s.reportedStates = map[string]string{}
	}
	s.reportedStates[m.ID] = m.State
	s.Log.Info("status of move written for the operator", "move", m.ID, "state", m.State)
}
