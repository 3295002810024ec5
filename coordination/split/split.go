// Package split chooses the version that serves an attempt.
package split

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
)

type moves interface {
	// Withdrawn reports whether the move is known to be withdrawn.
	Withdrawn(id string) bool
}

// Splitter splits an entry's traffic between the two versions of a move.
type Splitter struct {
	// Moves reports which moves are withdrawn.
	Moves moves
	// Rand returns a number in [0, 1).
	Rand func() float64
}

// Choose returns the version for one attempt on a route, the id of the move for which the attempt is counted (empty
// outside a move), and whether the version is the move's new one.
func (s *Splitter) Choose(e *entry.Entry, m *move.Move, route string) (version label.Name, id string, isNew bool) {
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

// MayContinue reports whether a version that has begun an answer may continue it, the id of the move for which its
// attempts are counted (empty outside a move), and whether the version is the move's new one.
func (s *Splitter) MayContinue(e *entry.Entry, m *move.Move, version label.Name) (id string, isNew, ok bool) {
	if m == nil || m.Ended() || m.From != e.Version {
		return "", false, version == e.Version
	}
	if version == m.To {
		return m.ID, true, !s.Moves.Withdrawn(m.ID)
	}
	return m.ID, false, version == m.From
}
