package mover

import (
	"slices"

	"github.com/dragonflyroute/dragonflyroute/coordination/alarm"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

// stage is the leader's state of one route: its share, the trials when the share last changed, the trials of the last
// evaluation, and the alarm over the trials of all hosts.
type stage struct {
	share float64
	start trial.Trial
	last  trial.Trial
	alarm alarm.Alarm
}

// leaderState is the leader's state of one move.
type leaderState struct {
	reports reports
	stages  map[string]*stage
}

// alarmKey identifies one route of one move.
type alarmKey struct{ move, route string }

// updateStages updates the routes' stages with the total trials. It returns each route's trials since its share last
// changed, and a route whose alarm is raised, empty for none.
func (m *Mover) updateStages(mv move.Move, total []trial.Trial) (out []trial.Trial, raised string) {
	stages := m.leading[mv.ID].stages
	for _, t := range total {
		st := stages[t.Route]
		if st == nil {
			st = &stage{last: t, start: t, alarm: alarm.Alarm{Margin: m.Ramp.Judge.Margin}}
			stages[t.Route] = st
		}
		if now := mv.ShareOf(t.Route); st.share != now {
			st.share, st.start = now, t
		}
		step := difference(t, st.last)
		st.last = t
		if st.alarm.Observe(step.New, step.NewBad, t.Old, t.OldBad) {
			raised = t.Route
		}
		out = append(out, difference(t, st.start))
	}
	return out, raised
}

// Record counts one answer of a move, and withdraws the move on this host at once when the route's alarm is raised.
func (m *Mover) Record(id, route string, isNew, bad bool) {
	t := m.Trials.Record(id, route, isNew, bad)
	if !isNew || m.Trials.Withdrawn(id) {
		return
	}
	n := int64(0)
	if bad {
		n = 1
	}
	if m.alarmOf(alarmKey{move: id, route: route}).Observe(1, n, t.Old, t.OldBad) && m.Trials.Withdraw(id) {
		m.Log.Warn("version withdrawn on this host on its own evidence; requests go to the old version", "move", id, "route", route, "new", t.New, "new-bad", t.NewBad, "old", t.Old, "old-bad", t.OldBad)
	}
}

func (m *Mover) alarmOf(k alarmKey) *alarm.Alarm {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.alarms == nil {
		m.alarms = map[alarmKey]*alarm.Alarm{}
	}
	a := m.alarms[k]
	if a == nil {
		a = &alarm.Alarm{Margin: m.Ramp.Judge.Margin}
		m.alarms[k] = a
	}
	return a
}

// dropAlarms removes the alarms of moves that are not listed.
func (m *Mover) dropAlarms(known []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k := range m.alarms {
		if !slices.Contains(known, k.move) {
			delete(m.alarms, k)
		}
	}
}

// difference returns the trials since an earlier count.
func difference(t, earlier trial.Trial) trial.Trial {
	return trial.Trial{Route: t.Route, Old: t.Old - earlier.Old, OldBad: t.OldBad - earlier.OldBad, New: t.New - earlier.New, NewBad: t.NewBad - earlier.NewBad}
}
