// Package place chooses the entry hosts for an account's callers by rendezvous hashing.
package place

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
)

const (
	// spareHosts is the number of entry hosts returned besides an account's homes, as failover when those do not answer.
	spareHosts = 2
	// scalePerHome is the account scale that one home host carries.
	scalePerHome = 2.0
)

// Place ranks entry hosts by weighted rendezvous hashing of account and host, with the weights that the hosts publish in
// their heartbeats.
//
// The highest-ranked hosts are an account's homes. Only large accounts have more than one, so that the state of an
// account's limits and of its prompts' prefixes is kept on few hosts.
type Place struct {
	// Shuffle permutes n elements; it spreads a large account's callers over its homes.
	Shuffle func(n int, swap func(i, j int))
}

// Homes returns the number of home hosts of an account of the given scale, at least one.
func Homes(scale float64) int { return max(1, int(scale/scalePerHome)) }

// Addresses returns the addresses that an account's callers shall use, in order of preference.
//
// Only live hosts are returned; when there is none, all known hosts are, because any is better than an empty answer.
func (p Place) Addresses(account acct.ID, scale float64, hosts []beat.Heartbeat) []string {
	ranked := usable(hosts)
	slices.SortFunc(ranked, func(a, b beat.Heartbeat) int {
		return cmp.Compare(Score(string(account), b), Score(string(account), a))
	})
	homes := ranked[:min(Homes(scale), len(ranked))]
	p.Shuffle(len(homes), func(i, j int) { homes[i], homes[j] = homes[j], homes[i] })
	var out []string
	for _, h := range ranked[:min(len(homes)+spareHosts, len(ranked))] {
		out = append(out, h.CallerAddress)
	}
	return out
}

func usable(hosts []beat.Heartbeat) []beat.Heartbeat {
	var live []beat.Heartbeat
	for _, h := range hosts {
		if h.State == beat.Live {
			live = append(live, h)
		}
	}
	if len(live) == 0 {
		return slices.Clone(hosts)
	}
	return live
}

// Score returns a host's rendezvous hashing score for a key, weighted by the weight that the host publishes.
func Score(key string, h beat.Heartbeat) float64 {
	x := xxhash.Sum64String(key + "\x00" + string(h.Host))
	uniform := (float64(x>>11) + 0.5) / (1 << 53)
	return -weightOf(h) / math.Log(uniform)
}

func weightOf(h beat.Heartbeat) float64 {
	if h.Weight <= 0 {
		return 1
	}
	return h.Weight
}
