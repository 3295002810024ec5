// Package reader selects the entry hosts that read the platform's tables and pass them on to the others.
package reader

import (
	"cmp"
	"slices"

	"github.com/dragonflyroute/dragonflyroute/coordination/place"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/roles"
)

const (
	// minReaders is the smallest number of readers in a data centre with enough hosts; there is one more for each
	// hostsPerReader of its hosts.
	minReaders     = 2
	hostsPerReader = 48
	// maxUpstreams is the number of readers that a host queries in turn.
	maxUpstreams = 2
	// rankKey is the rendezvous hash key by which readers are ranked.
	rankKey = "tables"
)

// Reader selects readers by rendezvous hashing, so that hosts with the same membership view agree without coordination.
// Views may differ: updates carry their age, which is what makes them safe to use.
type Reader struct {
	// Self names the process's host.
	Self host.ID
	// DataCentre is its data centre.
	DataCentre centre.ID
}

// Readers returns the readers of a data centre, the primary first; live holds the live hosts.
func (r Reader) Readers(in centre.ID, live []beat.Heartbeat) []beat.Heartbeat {
	var own []beat.Heartbeat
	for _, h := range live {
		if h.DataCentre == in {
			own = append(own, h)
		}
	}
	rank(own, rankKey)
	return own[:min(len(own), minReaders+len(own)/hostsPerReader)]
}

// Role returns the host's own role.
func (r Reader) Role(live []beat.Heartbeat) roles.Role {
	readers := r.Readers(r.DataCentre, live)
	switch at := slices.IndexFunc(readers, func(h beat.Heartbeat) bool { return h.Host == r.Self }); {
	case at == 0:
		return roles.Primary
	case at > 0:
		return roles.Secondary
	default:
		return roles.Other
	}
}

// Upstreams returns the hosts that this host queries, in order. A reader queries the readers ranked above it, the
// primary first. Any other host queries readers in an order of its own, so that they get about the same number of hosts
// each.
func (r Reader) Upstreams(live []beat.Heartbeat) []beat.Heartbeat {
	readers := r.Readers(r.DataCentre, live)
	if at := slices.IndexFunc(readers, func(h beat.Heartbeat) bool { return h.Host == r.Self }); at >= 0 {
		return readers[:at]
	}
	for i := range readers {
		// Capacity is already taken into account by the selection of readers.
		readers[i].Weight = 1
	}
	rank(readers, string(r.Self))
	return readers[:min(len(readers), maxUpstreams)]
}

// Primaries returns the primary reader of each data centre except the host's own.
func (r Reader) Primaries(live []beat.Heartbeat) []beat.Heartbeat {
	seen := map[centre.ID]bool{r.DataCentre: true}
	var out []beat.Heartbeat
	for _, h := range live {
		if seen[h.DataCentre] {
			continue
		}
		seen[h.DataCentre] = true
		out = append(out, r.Readers(h.DataCentre, live)[0])
	}
	return out
}

// rank sorts hosts by their score for a key, highest first.
func rank(hosts []beat.Heartbeat, key string) {
	scores := make(map[host.ID]float64, len(hosts))
	for _, h := range hosts {
		scores[h.Host] = place.Score(key, h)
	}
	slices.SortFunc(hosts, func(a, b beat.Heartbeat) int { return cmp.Compare(scores[b.Host], scores[a.Host]) })
}
