// Package assign decides which version each engine serves.
package assign

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/duty"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/guard"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

const (
	// lead is how many times its share of the traffic a new version's engines are, so that its share can grow.
	lead = 2.0
	// most is the largest part of the engines that a new version gets before its move is done; the rest is kept warm.
	most = 0.7
	// fullUse is how many times its part of the traffic an engine can carry, because it is not busy all the time.
	fullUse = 1.43
	// loadingPart bounds the engines of a back end that load weights at one time.
	loadingPart = 0.25
	// rounding is below any difference of parts that counts.
	rounding = 1e-9
)

// Assign decides the versions of the engines of each back end that takes orders.
type Assign struct {
	// MaxLoading bounds the engines that load weights at one time, from the weight store's rate.
	MaxLoading int
}

// Duties returns the orders that bring the engines nearer to the catalogue, none that changes nothing.
//
// An engine that leaves gets no order, and the last live engine of a version that has traffic keeps it.
func (a *Assign) Duties(c *catlog.Catalogue, rows []roster.Row) []duty.Duty {
	var out []duty.Duty
	for backend, g := range Backends(c) {
		p := newPool(backend, rows)
		p.split = newSplit(c, backend)
		p.want = p.split.apportion(p.size())
		room := min(a.MaxLoading, max(1, int(loadingPart*float64(p.size())))) - p.loading
		for ; room > 0; room-- {
			d, ok := p.next()
			if !ok {
				break
			}
			d.Guard = g
			out = append(out, d)
		}
	}
	return out
}

// Room returns the part of an entry's traffic, 0 to 1, that the engines of a version can carry now, if the entries of a
// back end have equal traffic; all engines but one can carry all.
func Room(c *catlog.Catalogue, rows []roster.Row, e *entry.Entry, version label.Name) float64 {
	all, own := 0, 0
	for _, r := range rows {
		if r.Backend != e.Backend || r.State != roster.Live {
			continue
		}
		all++
		if r.Version == version {
			own++
		}
	}
	if own > 0 && own >= all-1 {
		return 1
	}
	return min(1, fullUse*float64(own*entries(c, e.Backend))/float64(max(1, all)))
}

// Backends returns the back ends whose engines take orders, and how they treat them.
func Backends(c *catlog.Catalogue) map[label.Name]guard.Guard {
	out := map[label.Name]guard.Guard{}
	for i := range c.Entries {
		if g := c.Entries[i].EngineOrders; g != guard.None {
			out[c.Entries[i].Backend] = g
		}
	}
	return out
}
