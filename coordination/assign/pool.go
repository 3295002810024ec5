package assign

import (
	"cmp"
	"slices"

	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/deploy"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

// pool is the engines of one back end and their desired versions.
type pool struct {
	live    []roster.Row
	loading int
	// assigned counts engines by version; an engine that is loading counts for the version that it loads.
	assigned map[label.Name]int
	// serving counts live engines by version.
	serving map[label.Name]int
	// byCentre counts engines by data centre and version.
	byCentre map[centreVersion]int
	split    split
	want     map[label.Name]int
}

type centreVersion struct {
	centre  centre.ID
	version label.Name
}

func newPool(backend label.Name, rows []roster.Row) *pool {
	p := &pool{assigned: map[label.Name]int{}, serving: map[label.Name]int{}, byCentre: map[centreVersion]int{}}
	for _, r := range rows {
		switch {
		case r.Backend != backend:
		case r.Loading != "":
			p.loading++
			p.assigned[r.Loading]++
			p.byCentre[centreVersion{r.DataCentre, r.Loading}]++
		case r.State == roster.Live:
			p.live = append(p.live, r)
			p.assigned[r.Version]++
			p.serving[r.Version]++
			p.byCentre[centreVersion{r.DataCentre, r.Version}]++
		}
	}
	return p
}

func (p *pool) size() int { return len(p.live) + p.loading }

// nextOrder returns the order for the engine that is the best one to change next, and counts the change as made.
func (p *pool) nextOrder() (deploy.Order, bool) {
	to, ok := p.mostShort()
	if !ok {
		return deploy.Order{}, false
	}
	best := -1
	for i, r := range p.live {
		if p.canRelease(r.Version) && (best < 0 || p.before(r, p.live[best], to)) {
			best = i
		}
	}
	if best < 0 {
		return deploy.Order{}, false
	}
	r := p.live[best]
	p.live = slices.Delete(p.live, best, best+1)
	p.assigned[r.Version]--
	p.serving[r.Version]--
	p.byCentre[centreVersion{r.DataCentre, r.Version}]--
	p.assigned[to]++
	p.byCentre[centreVersion{r.DataCentre, to}]++
	return deploy.Order{Endpoint: r.ID, Address: r.Address, DataCentre: r.DataCentre, Version: to}, true
}

// mostShort returns the version with the largest deficit of engines.
func (p *pool) mostShort() (version label.Name, ok bool) {
	largest := 0
	for v, want := range p.want {
		short := want - p.assigned[v]
		if short > largest || short == largest && largest > 0 && v < version {
			version, largest = v, short
		}
	}
	return version, largest > 0
}

// canRelease reports whether a version has an engine to spare; a version with traffic keeps one live engine.
func (p *pool) canRelease(version label.Name) bool {
	if p.assigned[version] <= p.want[version] {
		return false
	}
	_, used := p.split.shares[version]
	return !used || p.serving[version] > 1
}

// before orders engines: those in data centres with the fewest engines of the new version first, then those with the
// most of the old one.
func (p *pool) before(a, b roster.Row, to label.Name) bool {
	return cmp.Or(
		cmp.Compare(p.byCentre[centreVersion{a.DataCentre, to}], p.byCentre[centreVersion{b.DataCentre, to}]),
		cmp.Compare(p.byCentre[centreVersion{b.DataCentre, b.Version}], p.byCentre[centreVersion{a.DataCentre, a.Version}]),
		cmp.Compare(a.ID, b.ID),
	) < 0
}
