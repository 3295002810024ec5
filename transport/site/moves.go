package site

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/canary"
	"github.com/dragonflyroute/dragonflyroute/coordination/ramp"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/pulse"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

const (
	// movePrefix begins the rows of moves in the hosts' table.
	movePrefix = "move/"
	// moveMargin is the part of the time given that is left for the last step to be told.
	moveMargin = 0.12
)

func (s *Site) buildMoves() {
	s.ramp = ramp.Default()
	s.Pass.Canary = &canary.Canary{Trials: s.scores, Judge: s.ramp.Judge, Rand: s.Choice.Rand}
}

// askMove takes a row of the operator that asks for a move.
func (s *Site) askMove(r record.Record) {
	m, lasts, err := s.MoveAsked(r.Version, r.Value)
	if err != nil {
		s.Log.Error("move not taken", "key", r.Key, "version", r.Version, "error", err)
		return
	}
	now := time.Now()
	m.Started, m.FinishBy = now, now.Add(time.Duration((1-moveMargin)*float64(lasts)))
	s.Pass.Canary.SetRequested(m)
	s.Log.Info("move asked for", "move", m.ID, "to", m.To, "lasts-ms", lasts.Milliseconds(), "version", r.Version)
}

// takeMove takes a move's state from the hosts' table.
func (s *Site) takeMove(r record.Record) {
	var m move.Move
	if err := json.Unmarshal(r.Value, &m); err != nil {
		s.Log.Error("state of a move not taken", "key", r.Key, "version", r.Version, "error", err)
		return
	}
	s.Pass.Canary.SetState(m)
	s.Log.Info("move's state", "move", m.ID, "state", m.State, "share", m.Share, "reason", m.Reason, "version", r.Version)
}

func isMoveRow(key string) bool { return strings.HasPrefix(key, movePrefix) }

// hearTrials keeps what a peer tells of the running moves.
func (s *Site) hearTrials(p pulse.Pulse) {
	s.movesMu.Lock()
	defer s.movesMu.Unlock()
	if s.told == nil {
		s.told = map[host.ID]map[string][]trial.Trial{}
	}
	s.told[p.Host] = p.Trials
}

// trials returns the evidence on a move from all hosts, by route.
func (s *Site) trials(id string) []trial.Trial {
	sums := map[string]trial.Trial{}
	add := func(all []trial.Trial) {
		for _, t := range all {
			sums[t.Route] = t.Add(sums[t.Route])
		}
	}
	add(s.scores.ByRoute(id))
	s.movesMu.Lock()
	defer s.movesMu.Unlock()
	for _, told := range s.told {
		add(told[id])
	}
	var out []trial.Trial
	for _, t := range sums {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b trial.Trial) int { return strings.Compare(a.Route, b.Route) })
	return out
}

// ownTrials returns this process's evidence on the running moves.
func (s *Site) ownTrials() map[string][]trial.Trial {
	out := map[string][]trial.Trial{}
	for _, m := range s.Pass.Canary.Requested() {
		if all := s.scores.ByRoute(m.ID); len(all) > 0 {
			out[m.ID] = all
		}
	}
	return out
}

// lead takes each running move one step further, under the duties' lease.
func (s *Site) lead(ctx context.Context) {
	for _, asked := range s.Pass.Canary.Requested() {
		m, begun := s.Pass.Canary.State(asked.Entry, asked.ID)
		if begun && m.Ended() {
			s.tellStatus(ctx, m)
			continue
		}
		if !begun {
			m = asked
			m.State = move.Ramping
		}
		total := s.trials(m.ID)
		next := s.ramp.Next(m, total, s.since(m, total), time.Now())
		if s.scores.Withdrawn(m.ID) && !next.Ended() {
			next = ramp.RolledBack(next, "a host withdrew it on its own evidence")
		}
		if begun && next.Share == m.Share && next.State == m.State {
			continue
		}
		s.writeMove(ctx, next, total)
	}
}

// since returns the evidence since the move's shares last changed.
func (s *Site) since(m move.Move, total []trial.Trial) []trial.Trial {
	var out []trial.Trial
	for _, t := range total {
		for _, b := range s.base[m.Entry] {
			if b.Route == t.Route {
				t = trial.Trial{Route: t.Route, Old: t.Old - b.Old, OldBad: t.OldBad - b.OldBad, New: t.New - b.New, NewBad: t.NewBad - b.NewBad}
			}
		}
		out = append(out, t)
	}
	return out
}

// writeMove writes a move's state for all hosts, then tells the operator.
func (s *Site) writeMove(ctx context.Context, m move.Move, total []trial.Trial) {
	fence, held := s.leases.Held(dutyLease)
	if !held {
		return
	}
	m.Fence = fence
	value, err := json.Marshal(m)
	if err != nil {
		s.Log.Error("move not encoded", "move", m.ID, "error", err)
		return
	}
	if _, err := s.Hosts.Commit(ctx, table.Txn{}.Put(movePrefix+string(m.Entry), value)); err != nil {
		s.Log.Warn("move's state not written", "move", m.ID, "state", m.State, "error", err)
		return
	}
	if s.base == nil {
		s.base = map[label.Name][]trial.Trial{}
	}
	s.base[m.Entry] = total
	s.Pass.Canary.SetState(m)
	s.Log.Info("move led", "move", m.ID, "state", m.State, "share", m.Share, "reason", m.Reason, "evidence", total, "fence", fence)
	s.tellStatus(ctx, m)
}

// tellStatus writes the operator's row for a move, once for each state.
func (s *Site) tellStatus(ctx context.Context, m move.Move) {
	if s.statuses[m.ID] == m.State {
		return
	}
	key, value, err := s.MoveStatus(m)
	if err == nil {
		_, err = s.Status.Commit(ctx, table.Txn{}.Put(key, value))
	}
	if err != nil {
		s.Log.Warn("move's status not told", "move", m.ID, "state", m.State, "error", err)
		return
	}
	if s.statuses == nil {
		s.statuses = map[string]string{}
	}
	s.statuses[m.ID] = m.State
	s.Log.Info("move's status told", "move", m.ID, "state", m.State)
}
