package shift

import (
	"context"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/edits"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

// twin is the naive mover: steps by clock, or all at once, and a threshold on the rates.
func (s *Shift) twin() {
	steps := []float64{0.05, 0.1, 0.25, 0.5, 1}
	if s.Way == AtOnce {
		steps = []float64{1}
	}
	e := s.edits("twin")
	id := s.processes[0].holder.Current().Move(service).ID
	for i, share := range steps {
		s.share = share
		until := s.started.Add(Given * time.Duration(i+1) / time.Duration(len(steps)+1))
		for s.sched.Now().Before(until) {
			s.sched.Sleep(moveStep)
			if s.worse(id) {
				s.share = 0
				s.end(e, id, move.RolledBack)
				return
			}
		}
	}
	s.end(e, id, move.Done)
}

func (s *Shift) end(e *edits.Edits, id, state string) {
	_, _ = e.StepMove(context.Background(), id, 0, func(m *move.Move) { m.State = state })
}

func (s *Shift) worse(id string) bool {
	var sum trial.Trial
	for _, t := range s.totals(id) {
		sum = sum.Add(t)
	}
	if sum.New == 0 {
		return false
	}
	old := 0.0
	if sum.Old > 0 {
		old = float64(sum.OldBad) / float64(sum.Old)
	}
	return float64(sum.NewBad)/float64(sum.New) > old+clockMargin
}
