package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

func entries(c *catlog.Catalogue, backend label.Name) (n int) {
	for i := range c.Entries {
		if c.Entries[i].Backend == backend {
			n++
		}
	}
	return n
}

// split is what the engines of a back end are for.
type split struct {
	// parts holds the part of the engines that each version shall have, the mean over the back end's entries.
	parts map[label.Name]float64
	// growing marks the versions that a move brings in.
	growing map[label.Name]bool
}

func newSplit(c *catlog.Catalogue, backend label.Name) split {
	s, part := split{parts: map[label.Name]float64{}, growing: map[label.Name]bool{}}, 1/float64(entries(c, backend))
	for i := range c.Entries {
		e := &c.Entries[i]
		if e.Backend != backend {
			continue
		}
		m := c.Move(e.Name)
		if m == nil || m.Ended() {
			s.parts[e.Version] += part
			continue
		}
		ahead := min(most, lead*m.Share)
		s.growing[m.To] = true
		s.parts[m.To] += part * ahead
		s.parts[m.From] += part * (1 - ahead)
	}
	return s
}

// order returns the versions, growing ones first, then those of the largest parts.
func (s *split) order() []label.Name {
	var order []label.Name
	for version := range s.parts {
		order = append(order, version)
	}
	slices.SortFunc(order, func(a, b label.Name) int {
		if s.growing[a] != s.growing[b] {
			return cmp.Compare(rank(s.growing[b]), rank(s.growing[a]))
		}
		return cmp.Or(cmp.Compare(s.parts[b], s.parts[a]), cmp.Compare(a, b))
	})
	return order
}

func rank(first bool) int {
	if first {
		return 1
	}
	return 0
}

// apportion splits n engines by the parts, rounded up for growing versions, at least one to each version while there
// are enough; the last version takes what is left.
func (s *split) apportion(n int) map[label.Name]int {
	want, left, order := map[label.Name]int{}, n, s.order()
	for i, version := range order {
		others := len(order) - 1 - i
		exact := s.parts[version]*float64(n) - rounding
		share := max(1, int(math.Round(exact)))
		if s.growing[version] {
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
