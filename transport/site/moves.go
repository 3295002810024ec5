package site

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/canary"
	"github.com/dragonflyroute/dragonflyroute/coordination/moves"
	"github.com/dragonflyroute/dragonflyroute/coordination/ramp"
	"github.com/dragonflyroute/dragonflyroute/coordination/swap"
)

func (s *Site) buildMoves() {
	steps := ramp.Default()
	s.Proxy.Canary = &canary.Canary{Trials: s.ownTrials, Judge: steps.Judge, Rand: s.Balancer.Rand}
	s.moves = &moves.Moves{
		Canary:       s.Proxy.Canary,
		Trials:       s.ownTrials,
		Ramp:         steps,
		Hosts:        s.rows,
		Status:       &swap.Rows{Store: s.Status},
		Held:         func() (int64, bool) { return s.leases.Held(leaseKey) },
		Decode:       s.DecodeMove,
		EncodeStatus: s.EncodeMoveStatus,
		Now:          time.Now,
		Log:          s.Log,
	}
}
