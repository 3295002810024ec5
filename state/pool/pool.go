// Package pool holds the subset of endpoints to which a process sends model requests.
package pool

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/server"
)

type group struct {
	backend, version label.Name
}

type index struct {
	byID    map[endpt.ID]*server.Server
	byGroup map[group][]*server.Server
	// sizes counts the listed endpoints of each group, in the subset or not.
	sizes map[group]int
}

// Pool holds, for each back end and version, the subset of endpoints to which the process sends requests.
//
// The subset is the Subset endpoints with the highest rendezvous hash of process and endpoint, so that a change of one
// endpoint changes the subset by at most one, and each endpoint is in the subsets of about the same number of processes.
// All methods may be called concurrently; Candidates does not lock or allocate.
type Pool struct {
	// Self names the process's own host.
	Self host.ID
	// Subset is the largest number of endpoints of each back end and version in the subset.
	Subset int

	mu      sync.Mutex
	current atomic.Pointer[index]
}

// Update replaces the list of endpoints and keeps the state of those whose address and version have not changed.
func (p *Pool) Update(rows []roster.Row, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.current.Load()
	next := &index{byID: map[endpt.ID]*server.Server{}, byGroup: map[group][]*server.Server{}, sizes: map[group]int{}}
	for g, members := range groups(rows) {
		next.sizes[g] = len(members)
		for _, r := range p.subset(members) {
			s := old.reuse(r, now)
			next.byID[r.ID] = s
			next.byGroup[g] = append(next.byGroup[g], s)
		}
	}
	p.current.Store(next)
}

func (x *index) reuse(r roster.Row, now time.Time) *server.Server {
	var s *server.Server
	if x != nil {
		s = x.byID[r.ID]
	}
	if s == nil || s.Row().Address != r.Address || s.Row().Version != r.Version {
		return server.New(r, now)
	}
	s.SetRow(r, now)
	return s
}

func groups(rows []roster.Row) map[group][]roster.Row {
	out := map[group][]roster.Row{}
	for _, r := range rows {
		if r.PeerAddress != "" {
			continue
		}
		g := group{backend: r.Backend, version: r.Version}
		out[g] = append(out[g], r)
	}
	return out
}

func (p *Pool) subset(rows []roster.Row) []roster.Row {
	slices.SortFunc(rows, func(a, b roster.Row) int { return cmp.Compare(p.rank(b.ID), p.rank(a.ID)) })
	return rows[:min(len(rows), p.Subset)]
}

func (p *Pool) rank(id endpt.ID) uint64 {
	return xxhash.Sum64String(string(p.Self) + "\x00" + string(id))
}

// Candidates returns the subset for a back end and version; the caller must not change it.
func (p *Pool) Candidates(backend, version label.Name) []*server.Server {
	x := p.current.Load()
	if x == nil {
		return nil
	}
	return x.byGroup[group{backend: backend, version: version}]
}

// All returns every endpoint in a subset, sorted by id.
func (p *Pool) All() []*server.Server {
	x := p.current.Load()
	if x == nil {
		return nil
	}
	var out []*server.Server
	for _, s := range x.byID {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *server.Server) int { return cmp.Compare(a.Row().ID, b.Row().ID) })
	return out
}

// Demand returns the sum of the utilization of a back end's endpoints over all versions, which is the number of fully used
// endpoints that the load amounts to.
//
// It extrapolates from the endpoints in the subset, assuming the same average for the others.
func (p *Pool) Demand(backend label.Name) float64 {
	x := p.current.Load()
	if x == nil {
		return 0
	}
	sum := 0.0
	for g, servers := range x.byGroup {
		if g.backend != backend {
			continue
		}
		utilization := 0.0
		for _, s := range servers {
			utilization += s.Utilization()
		}
		sum += utilization * float64(x.sizes[g]) / float64(len(servers))
	}
	return sum
}
