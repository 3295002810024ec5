// Package nearby selects the entry hosts that the callers of one data centre use.
package nearby

import (
	"cmp"
	"slices"

	"github.com/dragonflyroute/dragonflyroute/coordination/place"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
)

// remoteFraction is the fraction of an answer that is reserved for hosts of other data centres, so that callers can
// still reach one when their own data centre is lost.
const remoteFraction = 0.125

// Nearby selects a subset of the hosts: those of the callers' data centre first, then some of the others.
//
// Callers stop using hosts that are not in the latest answer, so the answers of different hosts must mostly agree.
// Where not all hosts fit, they are selected by rendezvous hashing, weighted by capacity.
type Nearby struct {
	// MaxHosts is the number of hosts that callers use of one answer.
	MaxHosts int
	// Self names the answering host.
	Self host.ID
}

// Addresses returns the addresses of the hosts that callers shall use, those of the callers' data centre first; hosts
// holds the live hosts.
func (n Nearby) Addresses(from centre.ID, hosts []beat.Heartbeat) []string {
	if len(hosts) <= n.MaxHosts {
		return addresses(hosts)
	}
	var local, remote []beat.Heartbeat
	for _, h := range hosts {
		if h.DataCentre == from {
			local = append(local, h)
			continue
		}
		remote = append(remote, h)
	}
	local = topRanked(local, n.MaxHosts-int(remoteFraction*float64(n.MaxHosts)), string(n.Self))
	remote = topRanked(remote, n.MaxHosts-len(local), n.remoteKey(from, len(local)))
	return append(addresses(local), addresses(remote)...)
}

// remoteKey returns the hash key by which hosts of other data centres are selected. If they make up more than half of
// the answer, the key is the callers' data centre, so that all answers agree. If they are few, it is the answering
// host, as otherwise all callers of a data centre would use the same few.
func (n Nearby) remoteKey(from centre.ID, localCount int) string {
	if localCount < n.MaxHosts/2 {
		return string(from)
	}
	return string(n.Self)
}

// topRanked returns the n hosts with the highest score for a key.
func topRanked(hosts []beat.Heartbeat, n int, key string) []beat.Heartbeat {
	if len(hosts) <= n {
		return hosts
	}
	type scored struct {
		score float64
		index int
	}
	ranked := make([]scored, len(hosts))
	for i := range hosts {
		ranked[i] = scored{score: place.Score(key, hosts[i]), index: i}
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]beat.Heartbeat, n)
	for i := range out {
		out[i] = hosts[ranked[i].index]
	}
	return out
}

func addresses(hosts []beat.Heartbeat) []string {
	out := make([]string, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, h.CallerAddress)
	}
	return out
}
