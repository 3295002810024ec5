// Package place chooses the entry hosts that an account's callers shall use.
package place

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/pulse"
)

const (
	// minHosts is the number of entry hosts given to the smallest account.
	minHosts = 2
	// scalePerHost is the account scale that adds one entry host.
	scalePerHost = 2.0
)

// Place orders entry hosts by rendezvous hash of account and host.
type Place struct{}

// Answer returns the callers' addresses for an account, best first.
//
// Hosts that are live come first; when there is none, any known host is better than an empty answer.
func (Place) Answer(account acct.ID, scale float64, hosts []pulse.Pulse) []string {
	ranked := usable(hosts)
	slices.SortFunc(ranked, func(a, b pulse.Pulse) int {
		return cmp.Compare(weight(account, b), weight(account, a))
	})
	n := minHosts + int(scale/scalePerHost)
	var out []string
	for _, h := range ranked[:min(n, len(ranked))] {
		out = append(out, h.Callers)
	}
	return out
}

func usable(hosts []pulse.Pulse) []pulse.Pulse {
	var live []pulse.Pulse
	for _, h := range hosts {
		if h.State == pulse.Live {
			live = append(live, h)
		}
	}
	if len(live) == 0 {
		return slices.Clone(hosts)
	}
	return live
}

func weight(account acct.ID, h pulse.Pulse) float64 {
	x := xxhash.Sum64String(string(account) + "\x00" + string(h.Host))
	uniform := (float64(x>>11) + 0.5) / (1 << 53)
	return -1 / math.Log(uniform)
}
