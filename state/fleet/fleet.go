// Package fleet tracks the membership and liveness of the other entry hosts.
package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/health"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

type member struct {
	last       beat.Heartbeat
	receivedAt time.Time
	leaving    bool
}

// Fleet is one process's view of the entry hosts, from heartbeats and from the platform's list, which lags.
//
// A heartbeat of a higher incarnation replaces the older one; heartbeats that arrive out of order are dropped. A host
// counts as alive when its last heartbeat is not older than Timeout. It also counts as alive when it is listed as live and
// has since its last heartbeat neither failed to answer this process nor been found gone by several: in a large fleet a
// process gets heartbeats from most others only now and then.
// All methods may be called concurrently.
type Fleet struct {
	// Self names the process's own host, which is left out of the view.
	Self host.ID
	// Timeout is the time after a heartbeat during which the host counts as alive.
	Timeout time.Duration

	mu      sync.RWMutex
	members map[host.ID]*member
	listed  map[host.ID]roster.Row
	// unansweredAt is when the host at each peer address last failed to answer this process.
	unansweredAt map[string]time.Time
	// suspectedBy is when each peer last reported that it could not reach a host, goneAt when a host was found
	// unreachable by several processes, and lastHeartbeat when any process last got a heartbeat from it. A host counts
	// as gone while its goneAt is not before its lastHeartbeat.
	suspectedBy   map[host.ID]map[host.ID]time.Time
	goneAt        map[host.ID]time.Time
	lastHeartbeat map[host.ID]time.Time
}

// Observe records a heartbeat received at now and reports whether it is newer than the last one.
func (f *Fleet) Observe(hb beat.Heartbeat, now time.Time) bool {
	if hb.Host == f.Self {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members == nil {
		f.members = map[host.ID]*member{}
	}
	m := f.members[hb.Host]
	if m != nil && !newer(hb, m.last) {
		return false
	}
	f.members[hb.Host] = &member{last: hb, receivedAt: now, leaving: hb.State == beat.Leaving}
	delete(f.unansweredAt, hb.PeerAddress)
	delete(f.suspectedBy, hb.Host)
	f.recordHeartbeat(hb.Host, now)
	return true
}

func newer(hb, old beat.Heartbeat) bool {
	if hb.Incarnation != old.Incarnation {
		return hb.Incarnation > old.Incarnation
	}
	return hb.Seq > old.Seq
}

// Suspect records that the host with the given peer address did not answer at now; its next heartbeat clears that.
func (f *Fleet) Suspect(peerAddress string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unansweredAt == nil {
		f.unansweredAt = map[string]time.Time{}
	}
	f.unansweredAt[peerAddress] = now
}

// suspected reports whether a host has failed to answer this process since any process last got a heartbeat from it.
func (f *Fleet) suspected(id host.ID, peerAddress string) bool {
	at, ok := f.unansweredAt[peerAddress]
	return ok && !f.lastHeartbeat[id].After(at)
}

// isGone reports whether several processes found a host unreachable since any process last got a heartbeat from it.
func (f *Fleet) isGone(id host.ID) bool {
	at, ok := f.goneAt[id]
	return ok && !f.lastHeartbeat[id].After(at)
}

// recordHeartbeat records that some process got a heartbeat from a host at a time.
func (f *Fleet) recordHeartbeat(id host.ID, at time.Time) {
	if f.lastHeartbeat == nil {
		f.lastHeartbeat = map[host.ID]time.Time{}
	}
	if at.After(f.lastHeartbeat[id]) {
		f.lastHeartbeat[id] = at
	}
}

const (
	// suspicionTime is how long a report that a host could not be reached counts.
	suspicionTime = 5 * time.Second
	// goneQuorum is the number of processes that must have failed to reach a host before it is taken as gone.
	goneQuorum = 2
	// recoveryTime is how long after a host was found gone a later heartbeat from it is passed on to peers.
	recoveryTime = 10 * time.Second
)

// Suspicions returns this process's report to its peers on hosts that may be gone.
func (f *Fleet) Suspicions(now time.Time) health.Suspicions {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := health.Suspicions{Gone: map[host.ID]int64{}, Recovered: map[host.ID]int64{}}
	for id, row := range f.listed {
		if f.suspected(id, row.PeerAddress) && now.Sub(f.unansweredAt[row.PeerAddress]) < suspicionTime {
			out.Unreachable = append(out.Unreachable, id)
		}
	}
	for id, at := range f.goneAt {
		switch {
		case f.isGone(id):
			out.Gone[id] = now.Sub(at).Milliseconds()
		case now.Sub(at) < recoveryTime:
			out.Recovered[id] = now.Sub(f.lastHeartbeat[id]).Milliseconds()
		}
	}
	return out
}

// MergeSuspicions merges the Suspicions of a peer.
//
// A process that cannot reach a host may be cut off itself, so goneQuorum processes must agree. The finding then spreads
// by gossip, and so does the time of a later heartbeat from the host.
func (f *Fleet) MergeSuspicions(from host.ID, s health.Suspicions, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, age := range s.Recovered {
		f.recordHeartbeat(id, now.Add(-time.Duration(age)*time.Millisecond))
	}
	for _, id := range s.Unreachable {
		f.addSuspicion(id, from, now)
	}
	for id, age := range s.Gone {
		f.markGone(id, now.Add(-time.Duration(age)*time.Millisecond), now)
	}
}

func (f *Fleet) addSuspicion(id, from host.ID, now time.Time) {
	if f.suspectedBy == nil {
		f.suspectedBy = map[host.ID]map[host.ID]time.Time{}
	}
	if f.suspectedBy[id] == nil {
		f.suspectedBy[id] = map[host.ID]time.Time{}
	}
	f.suspectedBy[id][from] = now
	n := 0
	if f.suspected(id, f.listed[id].PeerAddress) {
		n++
	}
	for _, at := range f.suspectedBy[id] {
		if now.Sub(at) < suspicionTime {
			n++
		}
	}
	if n >= goneQuorum {
		f.markGone(id, now, now)
	}
}

// markGone takes a host as gone at a time, unless this process got a heartbeat from it within Timeout.
func (f *Fleet) markGone(id host.ID, at, now time.Time) {
	if m := f.members[id]; id == f.Self || m != nil && now.Sub(m.receivedAt) <= f.Timeout {
		return
	}
	if f.goneAt == nil {
		f.goneAt = map[host.ID]time.Time{}
	}
	if at.After(f.goneAt[id]) {
		f.goneAt[id] = at
	}
}

// SetListed replaces the platform's rows of entry hosts and forgets hosts that have left and are no longer listed.
func (f *Fleet) SetListed(rows []roster.Row) {
	listed := map[host.ID]roster.Row{}
	for _, r := range rows {
		if r.PeerAddress != "" && host.ID(r.ID) != f.Self {
			listed[host.ID(r.ID)] = r
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = listed
	maps.DeleteFunc(f.goneAt, func(id host.ID, _ time.Time) bool { _, ok := listed[id]; return !ok })
	maps.DeleteFunc(f.lastHeartbeat, func(id host.ID, _ time.Time) bool { _, ok := listed[id]; return !ok && f.members[id] == nil })
	for id, m := range f.members {
		if _, ok := listed[id]; !ok && m.leaving {
			delete(f.members, id)
		}
	}
}

// Listed returns the other hosts on the platform's list, whether they answer or not.
func (f *Fleet) Listed() []beat.Heartbeat {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make([]beat.Heartbeat, 0, len(f.listed))
	for id, row := range f.listed {
		out = append(out, beat.Heartbeat{Host: id, DataCentre: row.DataCentre, Weight: row.Weight})
	}
	return out
}

// Contacts returns the peer addresses to send heartbeats to, sorted and without duplicates.
func (f *Fleet) Contacts() []string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	seen := map[string]bool{}
	for _, r := range f.listed {
		seen[r.PeerAddress] = true
	}
	for _, m := range f.members {
		if !m.leaving {
			seen[m.last.PeerAddress] = true
		}
	}
	var out []string
	for address := range seen {
		out = append(out, address)
	}
	slices.Sort(out)
	return out
}

// Alive returns the last heartbeats of the hosts that are alive at now, sorted by host.
func (f *Fleet) Alive(now time.Time) []beat.Heartbeat {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []beat.Heartbeat
	for id, m := range f.members {
		row, listed := f.listed[id]
		if now.Sub(m.receivedAt) <= f.Timeout || listed && row.State == roster.Live && !f.isGone(id) && !f.suspected(id, m.last.PeerAddress) {
			out = append(out, m.last)
		}
	}
	for id, row := range f.listed {
		if f.members[id] == nil && row.State == roster.Live && !f.isGone(id) && !f.suspected(id, row.PeerAddress) {
			out = append(out, beat.Heartbeat{Host: id, CallerAddress: row.Address, PeerAddress: row.PeerAddress, DataCentre: row.DataCentre, State: beat.Live, Weight: row.Weight})
		}
	}
	slices.SortFunc(out, func(a, b beat.Heartbeat) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return out
}

// Dead reports whether the given incarnation of a host is known to have ended.
//
// Only a heartbeat of a later incarnation proves that; missing heartbeats do not.
func (f *Fleet) Dead(id host.ID, incarnation int64) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	m := f.members[id]
	return m != nil && m.last.Incarnation > incarnation
}

// InTopRanks reports whether the process is among the n live hosts with the highest rendezvous hash for a key. Hosts'
// views may differ for a while, so this only selects which hosts attempt something; it does not provide mutual
// exclusion.
func (f *Fleet) InTopRanks(key string, n int, now time.Time) bool {
	own := rank(key, f.Self)
	above := 0
	for _, hb := range f.Alive(now) {
		if hb.State == beat.Live && rank(key, hb.Host) > own {
			above++
		}
	}
	return above < n
}

func rank(key string, id host.ID) uint64 { return xxhash.Sum64String(key + "\x00" + string(id)) }
