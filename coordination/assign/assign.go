// Package assign decides which version of the weights each engine serves.
package assign

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/deploy"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/guard"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

const (
	// capacityLead is the ratio of a new version's share of the engines to its share of the traffic; it gives the share of
	// the traffic room to grow.
	capacityLead = 2.0
	// maxNewShare is the largest share of the engines that a new version gets before its move is done; the rest keeps the
	// old version loaded for a rollback.
	maxNewShare = 0.7
	// headroomFactor is how many times its even share of the traffic an engine can carry, because engines are not fully
	// utilised.
	headroomFactor = 1.43
	// maxLoadingShare bounds the share of a back end's engines that load weights at one time.
	maxLoadingShare = 0.25
	// roundingTolerance absorbs floating-point error before shares are rounded; it is below any significant difference.
	roundingTolerance = 1e-9
)

// Assign decides the versions of the engines of each back end that takes orders to change its version.
type Assign struct {
	// MaxLoading bounds the engines that load weights at one time, by the bandwidth of the weight store.
	MaxLoading int
}

// Orders returns the orders that bring the engines closer to the desired state of the catalogue; an order always changes
// an engine's version.
//
// A leaving engine gets no order, and the last live engine of a version that has traffic keeps its version.
func (a *Assign) Orders(c *catlog.Catalogue, rows []roster.Row) []deploy.Order {
	var out []deploy.Order
	for backend, g := range Backends(c) {
		p := newPool(backend, rows)
		p.split = newSplit(c, backend)
		p.want = p.split.apportion(p.size())
		allowed := min(a.MaxLoading, max(1, int(maxLoadingShare*float64(p.size())))) - p.loading
		for ; allowed > 0; allowed-- {
			d, ok := p.nextOrder()
			if !ok {
				break
			}
			d.Fencing = g
			out = append(out, d)
		}
	}
	return out
}

// CapacityShare returns the share of an entry's traffic, 0 to 1, that the live engines of a version can carry now.
//
// It assumes that the entries of a back end have equal traffic, and that all engines but one can carry all of it.
func CapacityShare(c *catlog.Catalogue, rows []roster.Row, e *entry.Entry, version label.Name) float64 {
	all, serving := 0, 0
	for _, r := range rows {
		if r.Backend != e.Backend || r.State != roster.Live {
			continue
		}
		all++
		if r.Version == version {
			serving++
		}
	}
	if serving > 0 && serving >= all-1 {
		return 1
	}
	return min(1, headroomFactor*float64(serving*entryCount(c, e.Backend))/float64(max(1, all)))
}

// Backends returns the back ends whose engines take orders, and how these guard against outdated ones.
func Backends(c *catlog.Catalogue) map[label.Name]guard.Guard {
	out := map[label.Name]guard.Guard{}
	for i := range c.Entries {
		if g := c.Entries[i].EngineOrders; g != guard.None {
			out[c.Entries[i].Backend] = g
		}
	}
	return out
}
