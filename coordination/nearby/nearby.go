// Package nearby chooses the entry hosts for the callers of one data centre.
package nearby

import (
	"cmp"
	"slices"

	"github.com/dragonflyroute/dragonflyroute/coordination/place"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/pulse"
)

// remoteFraction is the part of an answer that is kept for hosts of other data centres: callers find one when their own data
// centre is lost.
const remoteFraction = 0.125

// Nearby answers with the hosts of the callers' data centre first, and with some of the others.
//
// Callers leave the hosts that an answer no longer names, so answers of all hosts have most of their names in common. Those
// that do not all fit are drawn by rendezvous hash, weighted by capacity.
type Nearby struct {
	// Most is the number of hosts that callers take from one answer.
	Most int
	// Self names the answering host.
	Self host.ID
}

// Answer returns the callers' addresses of the hosts to use, those of the callers' data centre first; hosts holds the
// live ones.
func (n Nearby) Answer(from centre.ID, hosts []pulse.Pulse) []string {
	if len(hosts) <= n.Most {
		return addresses(hosts)
	}
	var own, others []pulse.Pulse
	for _, h := range hosts {
		if h.DataCentre == from {
			own = append(own, h)
			continue
		}
		others = append(others, h)
	}
	own = topRanked(own, n.Most-int(remoteFraction*float64(n.Most)), string(n.Self))
	others = topRanked(others, n.Most-len(own), n.remoteKey(from, len(own)))
	return append(addresses(own), addresses(others)...)
}

// remoteKey returns the key by which hosts of other data centres are drawn: many are the same in all answers, and few are
// each answering host's own, as all callers of a data centre would else meet on these.
func (n Nearby) remoteKey(from centre.ID, own int) string {
	if own < n.Most/2 {
		return string(from)
	}
	return string(n.Self)
}

// topRanked returns the hosts that rank highest for a key, at most a number of them.
func topRanked(hosts []pulse.Pulse, most int, key string) []pulse.Pulse {
	if len(hosts) <= most {
		return hosts
	}
	type scored struct {
		score float64
		at    int
	}
	ranked := make([]scored, len(hosts))
	for i := range hosts {
		ranked[i] = scored{score: place.Score(key, hosts[i]), at: i}
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]pulse.Pulse, most)
	for i := range out {
		out[i] = hosts[ranked[i].at]
	}
	return out
}

func addresses(hosts []pulse.Pulse) []string {
	out := make([]string, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, h.Callers)
	}
	return out
}
