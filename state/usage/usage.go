// Package usage counts requests by account and time window, in this process and at its peers.
package usage

import (
	"maps"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/window"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
)

// keptWindows is the number of this process's newest windows that are kept and sent to peers. Of each peer, twice
// as many are kept.
const keptWindows = 4

// Usage holds this process's counts and those received from its peers.
//
// All methods may be called concurrently.
type Usage struct {
	// WindowLength is the length of a window.
	WindowLength time.Duration

	mu    sync.Mutex
	own   map[int64]map[acct.ID]int64
	peers map[origin]map[int64]map[acct.ID]int64
}

// origin is one incarnation of a peer; a restarted peer counts from 0 again.
type origin struct {
	host        host.ID
	incarnation int64
}

// WindowNumber returns the number of the window that contains a time.
func (u *Usage) WindowNumber(at time.Time) int64 { return at.UnixNano() / int64(u.WindowLength) }

// WindowEnd returns the end of a window.
func (u *Usage) WindowEnd(number int64) time.Time {
	return time.Unix(0, (number+1)*int64(u.WindowLength))
}

// RecordBegun counts a request that an endpoint has begun to run; one without an account is not counted.
func (u *Usage) RecordBegun(w *work.Request, now time.Time) {
	if w.Account == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	number := u.WindowNumber(now)
	if u.own == nil {
		u.own = map[int64]map[acct.ID]int64{}
	}
	if u.own[number] == nil {
		u.own[number] = map[acct.ID]int64{}
		maps.DeleteFunc(u.own, func(k int64, _ map[acct.ID]int64) bool { return k <= number-keptWindows })
	}
	u.own[number][w.Account]++
}

// Own returns this process's newest windows.
func (u *Usage) Own() []window.Window {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []window.Window
	for number, counts := range u.own {
		out = append(out, window.Window{Number: number, Counts: maps.Clone(counts)})
	}
	return out
}

// MergePeer merges a peer's newest windows.
func (u *Usage) MergePeer(from host.ID, incarnation int64, windows []window.Window, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.peers == nil {
		u.peers = map[origin]map[int64]map[acct.ID]int64{}
	}
	o := origin{host: from, incarnation: incarnation}
	known := u.peers[o]
	if known == nil {
		known = map[int64]map[acct.ID]int64{}
		u.peers[o] = known
	}
	for _, w := range windows {
		known[w.Number] = larger(known[w.Number], w.Counts)
	}
	u.dropBefore(u.WindowNumber(now) - 2*keptWindows)
}

// larger returns the maximum of each count: heartbeats may arrive out of order, and counts only grow.
func larger(a, b map[acct.ID]int64) map[acct.ID]int64 {
	out := maps.Clone(b)
	for account, n := range a {
		if n > out[account] {
			if out == nil {
				out = map[acct.ID]int64{}
			}
			out[account] = n
		}
	}
	return out
}

func (u *Usage) dropBefore(before int64) {
	for o, known := range u.peers {
		maps.DeleteFunc(known, func(k int64, _ map[acct.ID]int64) bool { return k < before })
		if len(known) == 0 {
			delete(u.peers, o)
		}
	}
}

// Sum returns the counts of a window over this process and all known peers.
func (u *Usage) Sum(number int64) map[acct.ID]int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := map[acct.ID]int64{}
	for account, n := range u.own[number] {
		out[account] += n
	}
	for _, known := range u.peers {
		for account, n := range known[number] {
			out[account] += n
		}
	}
	return out
}
