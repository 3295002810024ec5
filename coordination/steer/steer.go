// Package steer chooses the version that a request goes to.
package steer

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
)

type moves interface {
	// Withdrawn reports whether the move is known to be withdrawn.
	Withdrawn(id string) bool
}

// Steer splits traffic between the versions of an entry under a move.
type Steer struct {
	// Moves knows the withdrawn moves.
	Moves moves
	// Rand returns a number in [0, 1).
	Rand func() float64
}

// Choose returns the version for one attempt on a route, the id of the move it counts for (empty outside a move) and
// whether it is the move's new version.
func (s *Steer) Choose(e *entry.Entry, m *move.Move, route string) (version label.Name, id string, isNew bool) {
	if m == nil || m.Ended() || m.From != e.Version {
		return e.Version, "", false
	}
	if s.Moves.Withdrawn(m.ID) {
		return m.From, "", false
	}
	if s.Rand() < m.ShareOf(route) {
		return m.To, m.ID, true
	}
	return m.From, m.ID, false
}

// Keep reports whether an answer that a version began may go on with it, and what its attempts count for.
func (s *Steer) Keep(e *entry.Entry, m *move.Move, version label.Name) (id string, isNew, ok bool) {
	if m == nil || m.Ended() || m.From != e.Version {
		return "", false, version == e.Version
	}
	if version == m.To {
		return m.ID, true, !s.Moves.Withdrawn(m.ID)
	}
	return m.ID, false, version == m.From
}
