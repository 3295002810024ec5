// Package blame finds the prompt parts that crash endpoints, from the requests that were under way at each crash.
package blame

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/crash"
	"github.com/dragonflyroute/dragonflyroute/protocol/ruling"
)

const (
	// certain is the weight of a crash that counts fully.
	certain = 1.0
	// soundTime is how long an answer excludes a part from being suspected at a crash that counts fully; for others it is
	// answerLifetime.
	soundTime = time.Second
	// answerLifetime is how long an answer is remembered at least, in case other hosts suspect one of its parts.
	answerLifetime = 30 * time.Second
	// maxSuspects bounds the parts that are suspected, and maxReports those that are reported to other hosts at a time.
	maxSuspects = 1024
	maxReports  = 64
)

// Blame holds what a process knows of prompt parts.
//
// A part is suspected when an endpoint crashes while it begins, or is about to begin, to answer a request with the part.
// Any complete answer to a request with the part clears it: a part that crashes each endpoint gets none. All methods
// may be called concurrently.
type Blame struct {
	// Settle returns the time that other hosts have to report an answer before a suspected part is blocked.
	Settle func() time.Duration

	mu       sync.Mutex
	answered answers
	suspects map[uint64]*suspect
}

// Crashed records that an endpoint process crashed at a time with a request that has the parts. The weight, from 0 to 1,
// is how likely the request caused it.
func (b *Blame) Crashed(parts []uint64, process string, weight float64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, hash := range b.suspicious(parts, weight, at) {
		if s := b.suspect(hash); s != nil {
			s.depth = max(s.depth, slices.Index(parts, hash))
			s.addCrash(sighting{process: process, weight: weight, at: at, firstHand: true}, at)
		}
	}
}

// suspicious returns the parts of a request that may have caused a crash: those without a remembered answer, if there are
// any, and otherwise those whose last answer was some time ago. The caller holds b.mu.
func (b *Blame) suspicious(parts []uint64, weight float64, at time.Time) []uint64 {
	excluded := answerLifetime
	if weight >= certain {
		excluded = soundTime
	}
	var unanswered, stale []uint64
	for _, hash := range parts {
		answered, ok := b.answered.last(hash)
		switch {
		case !ok:
			unanswered = append(unanswered, hash)
		case at.Sub(answered) >= excluded:
			stale = append(stale, hash)
		}
	}
	if len(unanswered) > 0 {
		return unanswered
	}
	return stale
}

// Answered records a complete answer to a request with the parts, and returns those that were blocked until then.
func (b *Blame) Answered(parts []uint64, at time.Time) (unblocked []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, hash := range parts {
		b.answered.record(hash, at)
		if s := b.suspects[hash]; s != nil && s.clear(at, at) {
			unblocked = append(unblocked, hash)
		}
	}
	return unblocked
}

// Merge records what other hosts know of a part.
func (b *Blame) Merge(hash uint64, r crash.Report, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspects[hash] == nil && len(r.Crashes) == 0 && r.Ruling == nil {
		return
	}
	s := b.suspect(hash)
	if s == nil {
		return
	}
	s.depth = max(s.depth, r.Depth)
	for _, c := range r.Crashes {
		s.addCrash(sighting{process: c.Process, weight: c.Weight, at: now.Add(-c.Age)}, now)
	}
	if r.Ruling != nil {
		s.adopt(*r.Ruling, now)
	}
	if r.Answered {
		s.clear(now.Add(-r.AnsweredAge), now)
	}
}

// Restore records a decision on a part that was read from the store. It reports whether the decision may be in force: one that
// this process knows to have ended, by an answer, has no place in the store.
func (b *Blame) Restore(hash uint64, r ruling.Ruling, now time.Time) (current bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspect(hash)
	if s == nil {
		return true
	}
	s.storedAt = r.BlockedAt
	s.adopt(r, now)
	return r.BlockedAt.After(s.endedAt)
}

// Lift ends the block of a part whose decision is no longer in the store: another host has had an answer. A decision that
// the store has not had stays.
func (b *Blame) Lift(hash uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.suspects[hash]; s != nil && s.ruling.InForce() && !s.ruling.BlockedAt.After(s.storedAt) {
		s.clear(now, now)
	}
}

// Reports returns what this process knows of parts that are blocked or have lately been suspected, at most maxReports.
func (b *Blame) Reports(now time.Time) map[uint64]crash.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.suspects) == 0 {
		return nil
	}
	var hashes []uint64
	for hash, s := range b.suspects {
		if s.ruling.InForce() || now.Sub(s.changedAt) < reportTime {
			hashes = append(hashes, hash)
		}
	}
	if len(hashes) > maxReports {
		slices.SortFunc(hashes, func(x, y uint64) int { return b.suspects[y].changedAt.Compare(b.suspects[x].changedAt) })
		hashes = hashes[:maxReports]
	}
	out := make(map[uint64]crash.Report, len(hashes))
	for _, hash := range hashes {
		out[hash] = b.suspects[hash].report(now)
	}
	return out
}

// Decide blocks the parts whose crashes call for it and forgets what has expired. It returns the parts that it blocked and
// those that it no longer blocks.
func (b *Blame) Decide(now time.Time) (blocked, lifted []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, hash := range b.bySuspicion() {
		s := b.suspects[hash]
		if s.decide(b.Settle(), now) {
			blocked = append(blocked, hash)
		}
		if s.ruling.InForce() {
			b.explain(s)
		}
		if !s.expired(now) {
			continue
		}
		if s.ruling.InForce() {
			lifted = append(lifted, hash)
		}
		delete(b.suspects, hash)
	}
	return blocked, lifted
}

// bySuspicion returns the suspects, the likelier cause of the same crashes first. The caller holds b.mu.
func (b *Blame) bySuspicion() []uint64 {
	return slices.SortedFunc(maps.Keys(b.suspects), func(x, y uint64) int {
		return b.suspects[x].compare(b.suspects[y])
	})
}

// explain removes the crashes under a blocked part from the less likely ones: the requests that caused them had both. The
// caller holds b.mu.
func (b *Blame) explain(blocked *suspect) {
	for _, s := range b.suspects {
		if blocked.compare(s) < 0 {
			s.removeCrashes(blocked.crashes)
		}
	}
}

// Admit reports whether a request with the parts may be sent at present, and otherwise the time until it may be worth a
// retry. mayProbe reports whether this process may test a part whose test is overdue by a time.
func (b *Blame) Admit(parts []uint64, mayProbe func(hash uint64, overdue time.Duration) bool, now time.Time) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.admit(parts, mayProbe, now)
}

// Begin is Admit for a request that is about to be sent. If that is a test of blocked parts, the next test of each is put
// off at once, whatever comes of this one but an answer; tested holds these parts.
func (b *Blame) Begin(parts []uint64, mayProbe func(hash uint64, overdue time.Duration) bool, now time.Time) (tested []uint64, wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if wait, ok := b.admit(parts, mayProbe, now); !ok {
		return nil, wait, false
	}
	for _, hash := range parts {
		if s := b.suspects[hash]; s != nil && s.ruling.InForce() {
			s.block(now)
			tested = append(tested, hash)
		}
	}
	return tested, 0, true
}

// admit implements Admit. The caller holds b.mu.
func (b *Blame) admit(parts []uint64, mayProbe func(hash uint64, overdue time.Duration) bool, now time.Time) (wait time.Duration, ok bool) {
	if len(b.suspects) == 0 {
		return 0, true
	}
	for _, hash := range parts {
		s := b.suspects[hash]
		if s == nil || !s.ruling.InForce() {
			continue
		}
		overdue := now.Sub(s.ruling.ProbeAt)
		if overdue < 0 || !mayProbe(hash, overdue) {
			return max(minWait, -overdue), false
		}
	}
	return 0, true
}

// minWait is the shortest time after which a refused request is worth a retry.
const minWait = time.Second

// Ruling returns the decision on a part, one that is not in force if its requests are sent.
func (b *Blame) Ruling(hash uint64) ruling.Ruling {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.suspects[hash]; s != nil {
		return s.ruling
	}
	return ruling.Ruling{}
}

// suspect returns the state of a part, created if there is none, or nil if there are too many. The caller holds b.mu.
func (b *Blame) suspect(hash uint64) *suspect {
	if b.suspects == nil {
		b.suspects = map[uint64]*suspect{}
	}
	s := b.suspects[hash]
	if s == nil && len(b.suspects) < maxSuspects {
		s = &suspect{}
		s.answeredAt, _ = b.answered.last(hash)
		b.suspects[hash] = s
	}
	return s
}

// answers holds when parts were last answered, for answerLifetime at least and twice that at most.
type answers struct {
	// current holds the answers since, previous those of the time before.
	current, previous map[uint64]time.Time
	since             time.Time
}

func (a *answers) record(hash uint64, at time.Time) {
	if a.current == nil || at.Sub(a.since) > answerLifetime {
		a.previous = a.current
		a.current = make(map[uint64]time.Time, len(a.previous))
		a.since = at
	}
	a.current[hash] = at
}

func (a *answers) last(hash uint64) (at time.Time, ok bool) {
	if at, ok = a.current[hash]; ok {
		return at, true
	}
	at, ok = a.previous[hash]
	return at, ok
}
