package mover

import (
	"slices"

	"github.com/dragonflyroute/dragonflyroute/coordination/alarm"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

// stage is what a leader knows of one route: its share, the trials when it last changed, the last look, and the
// alarm over all hosts.
type stage struct {
	share float64
	start trial.Trial
	last  trial.Trial
	alarm alarm.Alarm
}

// lead is what the leader of a move knows.
type lead struct {
	heard  heard
	stages map[string]*stage
}

// watched is one route of one move.
type watched struct{ move, route string }

// look brings the stages up to date; it returns the trials of each route's stage, and a route whose alarm is raised.
func (m *Mover) look(mv move.Move, total []trial.Trial) (out []trial.Trial, raised string) {
	stages := m.led[mv.ID].stages
	for _, t := range total {
		st := stages[t.Route]
		if st == nil {
			st = &stage{last: t, start: t, alarm: alarm.Alarm{Margin: m.Ramp.Judge.Margin}}
			stages[t.Route] = st
		}
		if now := mv.ShareOf(t.Route); st.share != now {
			st.share, st.start = now, t
		}
		step := less(t, st.last)
		st.last = t
		if st.alarm.Observe(step.New, step.NewBad, t.Old, t.OldBad) {
			raised = t.Route
		}
		out = append(out, less(t, st.start))
	}
	return out, raised
}

// Record counts one answer of a move, and stops the new version here at once when it shows itself bad.
func (m *Mover) Record(id, route string, isNew, bad bool) {
	t := m.Scores.Record(id, route, isNew, bad)
	if !isNew || m.Scores.Withdrawn(id) {
		return
	}
	n := int64(0)
	if bad {
		n = 1
	}
	if m.alarm(watched{move: id, route: route}).Observe(1, n, t.Old, t.OldBad) && m.Scores.Withdraw(id) {
		m.Log.Warn("version stopped on own evidence", "move", id, "route", route, "new", t.New, "new-bad", t.NewBad, "old", t.Old, "old-bad", t.OldBad)
	}
}

func (m *Mover) alarm(w watched) *alarm.Alarm {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.alarms == nil {
		m.alarms = map[watched]*alarm.Alarm{}
	}
	a := m.alarms[w]
	if a == nil {
		a = &alarm.Alarm{Margin: m.Ramp.Judge.Margin}
		m.alarms[w] = a
	}
	return a
}

// forget drops the alarms of moves that are not listed.
func (m *Mover) forget(known []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for w := range m.alarms {
		if !slices.Contains(known, w.move) {
			delete(m.alarms, w)
		}
	}
}

// less returns what came since an earlier look.
func less(t, earlier trial.Trial) trial.Trial {
	return trial.Trial{Route: t.Route, Old: t.Old - earlier.Old, OldBad: t.OldBad - earlier.OldBad, New: t.New - earlier.New, NewBad: t.NewBad - earlier.NewBad}
}
