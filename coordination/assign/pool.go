package assign

import (
	"cmp"
	"slices"

	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/duty"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

// pool is the engines of one back end and what they shall become.
type pool struct {
	live    []roster.Row
	loading int
	// have counts engines by version, those that load by the one that they will serve.
	have map[label.Name]int
	// alive counts live engines by version.
	alive map[label.Name]int
	// near counts engines by data centre and version.
	near  map[spot]int
	split split
	want  map[label.Name]int
}

type spot struct {
	centre  centre.ID
	version label.Name
}

func newPool(backend label.Name, rows []roster.Row) *pool {
	p := &pool{have: map[label.Name]int{}, alive: map[label.Name]int{}, near: map[spot]int{}}
	for _, r := range rows {
		switch {
		case r.Backend != backend:
		case r.Loading != "":
			p.loading++
			p.have[r.Loading]++
			p.near[spot{r.DataCentre, r.Loading}]++
		case r.State == roster.Live:
			p.live = append(p.live, r)
			p.have[r.Version]++
			p.alive[r.Version]++
			p.near[spot{r.DataCentre, r.Version}]++
		}
	}
	return p
}

func (p *pool) size() int { return len(p.live) + p.loading }

// next takes the engine that is best changed next, and returns its new version.
func (p *pool) next() (duty.Duty, bool) {
	to, ok := p.lacking()
	if !ok {
		return duty.Duty{}, false
	}
	best := -1
	for i, r := range p.live {
		if p.spare(r.Version) && (best < 0 || p.before(r, p.live[best], to)) {
			best = i
		}
	}
	if best < 0 {
		return duty.Duty{}, false
	}
	r := p.live[best]
	p.live = slices.Delete(p.live, best, best+1)
	p.have[r.Version]--
	p.alive[r.Version]--
	p.near[spot{r.DataCentre, r.Version}]--
	p.have[to]++
	p.near[spot{r.DataCentre, to}]++
	return duty.Duty{Endpoint: r.ID, Address: r.Address, DataCentre: r.DataCentre, Version: to}, true
}

// lacking returns the version that lacks most engines.
func (p *pool) lacking() (version label.Name, ok bool) {
	lack := 0
	for v, want := range p.want {
		short := want - p.have[v]
		if short > lack || short == lack && lack > 0 && v < version {
			version, lack = v, short
		}
	}
	return version, lack > 0
}

// spare reports whether a version can give an engine up.
func (p *pool) spare(version label.Name) bool {
	if p.have[version] <= p.want[version] {
		return false
	}
	_, used := p.split.parts[version]
	return !used || p.alive[version] > 1
}

// before orders engines: first those in data centres that have fewest of the new version, then most of the old one.
func (p *pool) before(a, b roster.Row, to label.Name) bool {
	return cmp.Or(
		cmp.Compare(p.near[spot{a.DataCentre, to}], p.near[spot{b.DataCentre, to}]),
		cmp.Compare(p.near[spot{b.DataCentre, b.Version}], p.near[spot{a.DataCentre, a.Version}]),
		cmp.Compare(a.ID, b.ID),
	) < 0
}
