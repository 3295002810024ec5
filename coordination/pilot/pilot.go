// Package pilot splits a back end's requests between two versions while the operator has it moved from one to the other.
package pilot

import (
	"sync"

	"github.com/dragonflyroute/dragonflyroute/coordination/judge"
	"github.com/dragonflyroute/dragonflyroute/protocol/ending"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/tried"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/score"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

// Pilot knows the moves that the operator asked for and how far each one is.
//
// Until a move's state is known, and whenever it was withdrawn, all requests stay with the old version. All methods may
// be called concurrently.
type Pilot struct {
	// Scores keeps this process's own evidence and the withdrawn moves.
	Scores *score.Score
	// Judge finds bad versions by this process's own evidence.
	Judge judge.Judge
	// Rand returns a number in [0, 1).
	Rand func() float64

	mu    sync.RWMutex
	asked map[label.Name]move.Move
	moves map[label.Name]move.Move
}

// Ask takes what the operator asks for: a move without shares or state, whose entry is the back end.
func (p *Pilot) Ask(m move.Move) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked == nil {
		p.asked = map[label.Name]move.Move{}
	}
	if p.asked[m.Entry].ID != m.ID {
		p.asked[m.Entry] = m
	}
}

// Asked returns what the operator asks for.
func (p *Pilot) Asked() []move.Move {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []move.Move
	for _, m := range p.asked {
		out = append(out, m)
	}
	return out
}

// Take takes a move's state as its leader has written it.
func (p *Pilot) Take(m move.Move) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.moves == nil {
		p.moves = map[label.Name]move.Move{}
	}
	p.moves[m.Entry] = m
}

// State returns a move's state as its leader has written it.
func (p *Pilot) State(backend label.Name, id string) (m move.Move, ok bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	m, ok = p.moves[backend]
	return m, ok && m.ID == id
}

// side is what a request counts for.
type side struct {
	// Move is the id of the running move, empty for none.
	Move string
	// New tells that the request goes to the new version.
	New bool

	to     label.Name
	active bool
}

// Choose decides which version serves a request.
func (p *Pilot) Choose(w *work.Work) side {
	p.mu.RLock()
	asked, ok := p.asked[w.Backend]
	m := p.moves[w.Backend]
	p.mu.RUnlock()
	if !ok {
		return side{}
	}
	s := side{to: asked.To, active: true}
	if m.ID != asked.ID || p.Scores.Withdrawn(asked.ID) {
		return s
	}
	switch m.State {
	case move.Done:
		s.New = true
	case move.Ramping:
		s.Move = m.ID
		s.New = p.Rand() < m.ShareOf(string(w.Path.Name))
	}
	return s
}

// Filter returns the endpoints of the version chosen; the old version's stand in for a new one that has none.
func (s side) Filter(all []*target.Target) []*target.Target {
	if !s.active {
		return all
	}
	out := s.of(all, s.New)
	if len(out) == 0 && s.New {
		return s.of(all, false)
	}
	return out
}

func (s side) of(all []*target.Target, isNew bool) []*target.Target {
	var out []*target.Target
	for _, t := range all {
		if (t.Row().Version == s.to) == isNew {
			out = append(out, t)
		}
	}
	return out
}

// Record counts the end of one attempt, and withdraws the move when this process's own evidence is enough.
func (p *Pilot) Record(s side, t *target.Target, w *work.Work, r tried.Tried) {
	if s.Move == "" || r.Ending.Unrun() || r.Ending == ending.Gone {
		return
	}
	bad := r.Ending != ending.Delivered || w.Path.Target > 0 && r.First > w.Path.Target
	p.Scores.Record(s.Move, string(w.Path.Name), t.Row().Version == s.to, bad)
	if _, stop := p.Judge.Bad(p.Scores.Trials(s.Move)); stop {
		p.Scores.Withdraw(s.Move)
	}
}
