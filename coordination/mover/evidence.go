package mover

import (
	"slices"
	"strings"

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

// watched is one route of one move.
type watched struct{ move, route string }

// look brings the stages up to date; it returns the trials of each route's stage, and a route whose alarm is raised.
func (m *Mover) look(mv move.Move, total []trial.Trial) (out []trial.Trial, raised string) {
	stages := m.stages[mv.ID]
	if stages == nil {
		stages = map[string]*stage{}
		m.stages[mv.ID] = stages
	}
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

// sum adds the hosts' trials by route, sorted.
func sum(evidence map[string][]trial.Trial) []trial.Trial {
	var out []trial.Trial
	for _, trials := range evidence {
		for _, t := range trials {
			out = add(out, t)
		}
	}
	slices.SortFunc(out, func(a, b trial.Trial) int { return strings.Compare(a.Route, b.Route) })
	return out
}

// less returns what came since an earlier look.
//
// A host that restarted counts from nought; a sum that fell for that reason is taken whole.
func less(t, earlier trial.Trial) trial.Trial {
	if earlier.Old > t.Old || earlier.New > t.New || earlier.OldBad > t.OldBad || earlier.NewBad > t.NewBad {
		return t
	}
	return trial.Trial{Route: t.Route, Old: t.Old - earlier.Old, OldBad: t.OldBad - earlier.OldBad, New: t.New - earlier.New, NewBad: t.NewBad - earlier.NewBad}
}

func add(out []trial.Trial, t trial.Trial) []trial.Trial {
	for i := range out {
		if out[i].Route == t.Route {
			out[i] = out[i].Add(t)
			return out
		}
	}
	return append(out, t)
}
