package shift

import (
	"context"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/edits"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

// runBaseline moves traffic in fixed steps or all at once, and rolls back when the error rate of the new version
// exceeds that of the old one by a margin.
func (s *Simulation) runBaseline() {
	steps := []float64{0.05, 0.1, 0.25, 0.5, 1}
	if s.Strategy == AllAtOnce {
		steps = []float64{1}
	}
	e := s.edits("twin")
	id := s.processes[0].catalogue.Current().Move(service).ID
	for i, share := range steps {
		s.baselineShare = share
		until := s.started.Add(TimeLimit * time.Duration(i+1) / time.Duration(len(steps)+1))
		for s.sched.Now().Before(until) {
			s.sched.Sleep(moveStep)
			if s.exceedsThreshold(id) {
				s.baselineShare = 0
				s.endMove(e, id, move.RolledBack)
				return
			}
		}
	}
	s.endMove(e, id, move.Done)
}

func (s *Simulation) endMove(e *edits.Edits, id, state string) {
	_, _ = e.StepMove(context.Background(), id, 0, func(m *move.Move) { m.State = state })
}

// exceedsThreshold reports whether the error rate of the new version is more than rollbackMargin above the old one's.
func (s *Simulation) exceedsThreshold(id string) bool {
	var sum trial.Trial
	for _, t := range s.mergedTrials(id) {
		sum = sum.Add(t)
	}
	if sum.New == 0 {
		return false
	}
	old := 0.0
	if sum.Old > 0 {
		old = float64(sum.OldBad) / float64(sum.Old)
	}
	return float64(sum.NewBad)/float64(sum.New) > old+rollbackMargin
}
