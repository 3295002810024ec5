// Package tally aggregates the figures of the entry hosts of a large fleet.
package tally

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/stats"
	"github.com/dragonflyroute/dragonflyroute/state/recent"
)

const (
	// maxMemberAge and maxGroupAge are the ages from which the figures of a host, or of another group, are left out.
	maxMemberAge = 2500 * time.Millisecond
	maxGroupAge  = 3 * time.Second
	// totalTTL is how long a computed total is reused.
	totalTTL = 100 * time.Millisecond
)

// Tally holds the figures of the hosts that report to this one (its group), and the totals of other groups.
//
// A host reports to one reader, and the readers exchange their groups' totals, so that every host gets the fleet's
// totals while the messages per host do not grow with the fleet. All methods may be called concurrently.
type Tally struct {
	mu      sync.Mutex
	members recent.Reports[*stats.Stats]
	groups  recent.Reports[*stats.Stats]
	total   *stats.Stats
	totalAt time.Time
}

// Update records the figures of a host that reports to this one.
func (t *Tally) Update(from host.ID, s *stats.Stats, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members.MaxAge = maxMemberAge
	update(&t.members, from, s, now)
}

// update records figures; brief ones replace the accounts' figures only.
func update(reports *recent.Reports[*stats.Stats], from host.ID, s *stats.Stats, now time.Time) {
	if last, ok := reports.Get(string(from)); ok && s.AccountsOnly {
		s = last.WithAccounts(s)
	}
	reports.Put(string(from), s, now)
}

// UpdateGroup records the totals of another group from the host that aggregates them, which is then no longer a member
// of this group.
func (t *Tally) UpdateGroup(from host.ID, s *stats.Stats, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.groups.MaxAge = maxGroupAge
	update(&t.groups, from, s, now)
	t.members.Delete(string(from))
}

// GroupReported reports whether a host's group totals were received within age.
func (t *Tally) GroupReported(from host.ID, age time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.groups.Fresh(string(from), age, now)
}

// Group returns the totals of this host and of those that report to it.
func (t *Tally) Group(own *stats.Stats, now time.Time) *stats.Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.group(own, now)
}

func (t *Tally) group(own *stats.Stats, now time.Time) *stats.Stats {
	out := &stats.Stats{}
	out.Add(own)
	t.members.Each(now, aged(out.Add))
	return out
}

// Others returns the totals of all known hosts except this one.
func (t *Tally) Others(now time.Time) *stats.Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.others(now)
}

func (t *Tally) others(now time.Time) *stats.Stats {
	out := &stats.Stats{}
	t.members.MaxAge, t.groups.MaxAge = maxMemberAge, maxGroupAge
	t.members.Each(now, aged(out.Add))
	t.groups.Each(now, aged(out.Add))
	return out
}

// Total returns the totals of all known hosts; the caller must not change them. Within totalTTL the previous result
// is returned.
func (t *Tally) Total(own *stats.Stats, now time.Time) *stats.Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.total != nil && now.Sub(t.totalAt) < totalTTL {
		return t.total
	}
	out := t.others(now)
	out.Add(own)
	t.total, t.totalAt = out, now
	return out
}

// aged passes figures on with the time since their receipt added to their age.
func aged(add func(*stats.Stats)) func(s *stats.Stats, age time.Duration) {
	return func(s *stats.Stats, age time.Duration) { add(s.AgedBy(age)) }
}
