// Package fleet keeps what a process knows of the other entry hosts.
package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/pulse"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

type member struct {
	last  pulse.Pulse
	heard time.Time
	left  bool
}

// Fleet is one process's view of the entry hosts, from heartbeats and from the platform's lagging list.
//
// A heartbeat of a higher incarnation replaces the older one; heartbeats that are late or out of order are dropped.
// A host counts as alive while it was heard within Timeout. All methods may be called concurrently.
type Fleet struct {
	// Self names the process's own host, which is never reported.
	Self host.ID
	// Timeout is the silence after which a host counts as dead.
	Timeout time.Duration

	mu      sync.RWMutex
	members map[host.ID]*member
	listed  map[host.ID]string
}

// Observe takes a heartbeat heard at now and reports whether it was news.
func (f *Fleet) Observe(p pulse.Pulse, now time.Time) bool {
	if p.Host == f.Self {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members == nil {
		f.members = map[host.ID]*member{}
	}
	m := f.members[p.Host]
	if m != nil && !newer(p, m.last) {
		return false
	}
	f.members[p.Host] = &member{last: p, heard: now, left: p.State == pulse.Leaving}
	return true
}

func newer(p, than pulse.Pulse) bool {
	if p.Incarnation != than.Incarnation {
		return p.Incarnation > than.Incarnation
	}
	return p.Seq > than.Seq
}

// List takes the platform's rows of entry hosts; they say whom to contact, never who is alive.
func (f *Fleet) List(rows []roster.Row) {
	listed := map[host.ID]string{}
	for _, r := range rows {
		if r.Peers != "" && host.ID(r.ID) != f.Self {
			listed[host.ID(r.ID)] = r.Peers
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = listed
	for id, m := range f.members {
		if _, ok := listed[id]; !ok && m.left {
			delete(f.members, id)
		}
	}
}

// Contacts returns the peer addresses to send heartbeats to, sorted, each once.
func (f *Fleet) Contacts() []string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	seen := map[string]bool{}
	for _, address := range f.listed {
		seen[address] = true
	}
	for _, m := range f.members {
		if !m.left {
			seen[m.last.Peers] = true
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
func (f *Fleet) Alive(now time.Time) []pulse.Pulse {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []pulse.Pulse
	for _, m := range f.members {
		if now.Sub(m.heard) <= f.Timeout {
			out = append(out, m.last)
		}
	}
	slices.SortFunc(out, func(a, b pulse.Pulse) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return out
}

// Dead reports whether the given incarnation of a host is known to be over.
//
// Only a later incarnation or a graceful leave proves that; silence does not.
func (f *Fleet) Dead(id host.ID, incarnation int64) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	m := f.members[id]
	return m != nil && m.last.Incarnation > incarnation
}
