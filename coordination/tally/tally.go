// Package tally adds up what the entry hosts of a large fleet have under way.
package tally

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/sums"
	"github.com/dragonflyroute/dragonflyroute/state/words"
)

const (
	// memberAge and groupAge are the ages from which a host's figures, or those of another group, are left out.
	memberAge = 2500 * time.Millisecond
	groupAge  = 3 * time.Second
	// totalTime is the time for which a total is given out again.
	totalTime = 100 * time.Millisecond
)

// Tally holds the figures of the hosts that tell them to this one, and of the groups that others have added up.
//
// A host tells one other, and these tell each other, so that all know the whole with a number of messages that does not
// grow with the fleet. All methods may be called concurrently.
type Tally struct {
	mu      sync.Mutex
	members words.Words[*sums.Sums]
	groups  words.Words[*sums.Sums]
	total   *sums.Sums
	at      time.Time
}

// Hear takes the figures of a host that tells them to this one.
func (t *Tally) Hear(from host.ID, s *sums.Sums, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members.MaxAge = memberAge
	hear(&t.members, from, s, now)
}

// hear takes figures; brief ones leave the others of the same host as they were.
func hear(w *words.Words[*sums.Sums], from host.ID, s *sums.Sums, now time.Time) {
	if last, ok := w.Last(string(from)); ok && s.Brief {
		s = last.Renewed(s)
	}
	w.Hear(string(from), s, now)
}

// HearGroup takes the figures of another group from the host that adds them up, which is no member then.
func (t *Tally) HearGroup(from host.ID, s *sums.Sums, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.groups.MaxAge = groupAge
	hear(&t.groups, from, s, now)
	t.members.Forget(string(from))
}

// HeardGroup reports whether a host told the figures of its group within an age.
func (t *Tally) HeardGroup(from host.ID, age time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.groups.Heard(string(from), age, now)
}

// Group returns the figures of this host and of those that tell it theirs.
func (t *Tally) Group(own *sums.Sums, now time.Time) *sums.Sums {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.group(own, now)
}

func (t *Tally) group(own *sums.Sums, now time.Time) *sums.Sums {
	out := &sums.Sums{}
	out.Add(own)
	t.members.Each(now, aged(out.Add))
	return out
}

// Others returns the figures of all hosts that are known but this one.
func (t *Tally) Others(now time.Time) *sums.Sums {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.others(now)
}

func (t *Tally) others(now time.Time) *sums.Sums {
	out := &sums.Sums{}
	t.members.MaxAge, t.groups.MaxAge = memberAge, groupAge
	t.members.Each(now, aged(out.Add))
	t.groups.Each(now, aged(out.Add))
	return out
}

// Total returns the figures of all hosts that are known; the caller must not change it. One that was given out a moment
// ago is given out again.
func (t *Tally) Total(own *sums.Sums, now time.Time) *sums.Sums {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.total != nil && now.Sub(t.at) < totalTime {
		return t.total
	}
	out := t.others(now)
	out.Add(own)
	t.total, t.at = out, now
	return out
}

// aged hands figures on with the time that has passed since they were told.
func aged(add func(*sums.Sums)) func(s *sums.Sums, age time.Duration) {
	return func(s *sums.Sums, age time.Duration) { add(s.Older(age)) }
}
