package site

import (
	"slices"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/canary"
	"github.com/dragonflyroute/dragonflyroute/coordination/moves"
	"github.com/dragonflyroute/dragonflyroute/coordination/ramp"
	"github.com/dragonflyroute/dragonflyroute/coordination/swap"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

func (s *Site) buildMoves() {
	steps := ramp.Default()
	s.Proxy.Canary = &canary.Canary{Trials: s.ownTrials, Judge: steps.Judge, Rand: s.Balancer.Rand, Now: time.Now}
	s.moves = &moves.Moves{
		Canary:       s.Proxy.Canary,
		Trials:       s.ownTrials,
		Ramp:         steps,
		Hosts:        s.rows,
		Status:       &swap.Rows{Store: s.Status},
		Serving:      s.servingVersion,
		Held:         func() (int64, bool) { return s.leases.Held(leaseKey) },
		Decode:       s.DecodeMove,
		EncodeStatus: s.EncodeMoveStatus,
		Now:          time.Now,
		Log:          s.Log,
	}
}

// servingVersion returns the version that most endpoints of a back end have, apart from some versions; empty if there is none.
func (s *Site) servingVersion(backend label.Name, apart []label.Name) (most label.Name) {
	counts := map[label.Name]int{}
	for _, t := range s.Registry.ByBackend(backend) {
		version := t.Row().Version
		if slices.Contains(apart, version) {
			continue
		}
		counts[version]++
		if n := counts[version]; n > counts[most] || n == counts[most] && version < most {
			most = version
		}
	}
	return most
}

// verdictWait is how long a host that starts during a move takes no requests until it has read which versions were rolled back.
const verdictWait = 3 * time.Second

// knowsVerdicts reports whether this host knows which versions were rolled back, or no longer waits for that.
func (s *Site) knowsVerdicts() bool {
	return s.tables[hostsTable].Version() > 0 || len(s.moves.Canary.Requested()) == 0 || time.Since(s.started) > verdictWait
}
