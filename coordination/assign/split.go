package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

func entryCount(c *catlog.Catalogue, backend label.Name) (n int) {
	for i := range c.Entries {
		if c.Entries[i].Backend == backend {
			n++
		}
	}
	return n
}

// split is the desired split of a back end's engines over versions.
type split struct {
	// shares holds the desired share of the engines by version, the mean over the back end's entries.
	shares map[label.Name]float64
	// incoming marks the new versions of moves.
	incoming map[label.Name]bool
}

func newSplit(c *catlog.Catalogue, backend label.Name) split {
	s, part := split{shares: map[label.Name]float64{}, incoming: map[label.Name]bool{}}, 1/float64(entryCount(c, backend))
	for i := range c.Entries {
		e := &c.Entries[i]
		if e.Backend != backend {
			continue
		}
		m := c.Move(e.Name)
		if m == nil || m.Ended() {
			s.shares[e.Version] += part
			continue
		}
		ahead := min(maxNewShare, capacityLead*m.Share)
		s.incoming[m.To] = true
		s.shares[m.To] += part * ahead
		s.shares[m.From] += part * (1 - ahead)
	}
	return s
}

// order returns the versions, incoming ones first, then by descending share.
func (s *split) order() []label.Name {
	var order []label.Name
	for version := range s.shares {
		order = append(order, version)
	}
	slices.SortFunc(order, func(a, b label.Name) int {
		if s.incoming[a] != s.incoming[b] {
			return cmp.Compare(rank(s.incoming[b]), rank(s.incoming[a]))
		}
		return cmp.Or(cmp.Compare(s.shares[b], s.shares[a]), cmp.Compare(a, b))
	})
	return order
}

func rank(first bool) int {
	if first {
		return 1
	}
	return 0
}

// apportion splits n engines by the shares, rounded up for incoming versions, with at least one engine for each version
// while there are enough; the last version gets the remainder.
func (s *split) apportion(n int) map[label.Name]int {
	want, left, order := map[label.Name]int{}, n, s.order()
	for i, version := range order {
		others := len(order) - 1 - i
		exact := s.shares[version]*float64(n) - roundingTolerance
		share := max(1, int(math.Round(exact)))
		if s.incoming[version] {
			share = max(1, int(math.Ceil(exact)))
		}
		if others == 0 {
			share = left
		}
		want[version] = max(0, min(left-others, share))
		left -= want[version]
	}
	return want
}
