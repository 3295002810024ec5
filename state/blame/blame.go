// Package blame finds the prompt parts that crash endpoints, from the requests that were under way at each crash.
package blame

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/crash"
	"github.com/dragonflyroute/dragonflyroute/protocol/ruling"
)

const (
	// blockScore is the number of crashes without an answer in between after which a part is blocked.
	blockScore = 3
	// certainCrashes is the number of crashed processes from which a part is blocked without waiting for other hosts'
	// answers.
	certainCrashes = 5
	// sameCause is the time within which crashes count as one: several endpoints may fail together for another reason.
	sameCause = 250 * time.Millisecond
	// crashLifetime is how long a crash counts.
	crashLifetime = 2 * time.Minute
	// answerLifetime is how long an answer is remembered in case other hosts suspect one of its parts.
	answerLifetime = 30 * time.Second
	// soundTime is how long an answer excludes a part from being suspected at a crash, for a request of weight 1; for lesser
	// ones it is answerLifetime.
	soundTime = 3 * time.Second
	// reportTime is how long a crash, or an answer after it, is reported to other hosts.
	reportTime = 4 * time.Second
	// maxAnswered bounds the parts with a remembered answer.
	maxAnswered = 1 << 14
	// firstProbe is the time from the first decision to block a part until a request may test it; each further decision
	// multiplies it by probeFactor, up to maxProbe.
	firstProbe  = 30 * time.Second
	probeFactor = 4
	maxProbe    = time.Hour
	// probeTimeout is how long a test may take before another request may test the part.
	probeTimeout = 20 * time.Second
	// blockLifetime is how long a part stays blocked after the time of its next test, if no request comes that could test it.
	blockLifetime = time.Hour
)

// Blame holds what a process knows of prompt parts.
//
// A part is suspected when an endpoint crashes while it begins, or is about to begin, to answer a request with the part.
// Any complete answer to a request with the part clears it: a part that crashes each endpoint gets none. All methods
// may be called concurrently.
type Blame struct {
	// Settle returns the time that other hosts have to report an answer before a suspected part is blocked.
	Settle func() time.Duration

	mu sync.Mutex
	// answered holds when this process last had a complete answer to a request with a part.
	answered map[uint64]time.Time
	suspects map[uint64]*suspect
}

// suspect is a part that was under way at a crash, or is blocked.
type suspect struct {
	// crashes holds the crashes by endpoint process.
	crashes map[string]sighting
	// answeredAt is the last answer known, of any host.
	answeredAt time.Time
	// changedAt is when a crash was last recorded, or an answer ended a block.
	changedAt time.Time
	// reachedAt is when the score first reached blockScore, zero below it.
	reachedAt time.Time
	// ruling is the decision in force, if any.
	ruling ruling.Ruling
	// probing is when a test began, zero if none is under way.
	probing time.Time
	// depth is the greatest known position of the part in a prompt; the first one has position 0.
	depth int
}

// sighting is a crash with a part.
type sighting struct {
	weight float64
	at     time.Time
	// firstHand is set if this process had the request.
	firstHand bool
}

// Crashed records that an endpoint process crashed at a time with a request that has the parts. The weight, from 0 to 1,
// is how likely the request caused it.
func (b *Blame) Crashed(parts []uint64, process string, weight float64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sound := answerLifetime
	if weight >= 1 {
		sound = soundTime
	}
	for depth, hash := range parts {
		if answered, ok := b.answered[hash]; ok && at.Sub(answered) < sound {
			continue
		}
		s := b.suspect(hash)
		s.depth = max(s.depth, depth)
		s.addCrash(process, sighting{weight: weight, at: at, firstHand: true}, at)
	}
}

// Answered records a complete answer to a request with the parts, and returns those that were blocked until then.
func (b *Blame) Answered(parts []uint64, at time.Time) (unblocked []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.answered == nil {
		b.answered = map[uint64]time.Time{}
	}
	if len(b.answered) > maxAnswered {
		maps.DeleteFunc(b.answered, func(_ uint64, t time.Time) bool { return at.Sub(t) > answerLifetime })
	}
	for _, hash := range parts {
		b.answered[hash] = at
		if s := b.suspects[hash]; s != nil && s.clear(at) {
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
	s.depth = max(s.depth, r.Depth)
	for process, c := range r.Crashes {
		s.addCrash(process, sighting{weight: c.Weight, at: now.Add(-c.Age)}, now)
	}
	if r.Ruling != nil {
		s.merge(*r.Ruling)
	}
	if r.Answered {
		s.clear(now.Add(-r.AnsweredAge))
	}
}

// Restore records a decision on a part that was read from the store.
func (b *Blame) Restore(hash uint64, r ruling.Ruling) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspect(hash).merge(r)
}

// Lift ends the block of a part whose decision is no longer in the store.
func (b *Blame) Lift(hash uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.suspects[hash]; s != nil && s.ruling.InForce() {
		s.answeredAt = s.ruling.BlockedAt
		s.ruling = ruling.Ruling{}
	}
}

// Reports returns what this process knows of parts that are suspected or blocked.
func (b *Blame) Reports(now time.Time) map[uint64]crash.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.suspects) == 0 {
		return nil
	}
	out := map[uint64]crash.Report{}
	for hash, s := range b.suspects {
		if s.ruling.InForce() || now.Sub(s.changedAt) < reportTime {
			out[hash] = s.report(now)
		}
	}
	return out
}

// Decide blocks the parts whose crashes call for it and forgets what has expired. It returns the parts that it blocked and
// those that it no longer blocks.
func (b *Blame) Decide(now time.Time) (blocked, lifted []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for hash, s := range b.suspects {
		if s.decide(b.Settle(), func() bool { return b.explained(hash, s) }, now) {
			blocked = append(blocked, hash)
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

// explained reports whether another part is the likelier cause of a part's crashes: it was in most of them, and without those
// there are too few to block the part. Requests with a part that crashes endpoints share their other parts with sound ones,
// which a host that has just started has not seen answered. The caller holds b.mu.
func (b *Blame) explained(hash uint64, s *suspect) bool {
	for other, o := range b.suspects {
		if other == hash || !o.likelierThan(s, other < hash) {
			continue
		}
		if 2*s.common(o) > len(s.crashes) && s.score(o.crashes) < blockScore {
			return true
		}
	}
	return false
}

// Admit reports whether a request with the parts may be sent, and otherwise the time until it may be worth a retry. A
// request may be sent as a test of a blocked part once that is due; mayProbe reports whether this process may test a
// part.
func (b *Blame) Admit(parts []uint64, mayProbe func(hash uint64) bool, now time.Time) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.suspects) == 0 {
		return 0, true
	}
	for _, hash := range parts {
		s := b.suspects[hash]
		if s == nil || !s.ruling.InForce() {
			continue
		}
		if s.probeDue(now) && mayProbe(hash) {
			s.probing = now
			continue
		}
		return max(time.Second, s.ruling.ProbeAt.Sub(now)), false
	}
	return 0, true
}

// ProbeEnded records that a request with the parts has ended without showing anything about them.
func (b *Blame) ProbeEnded(parts []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, hash := range parts {
		if s := b.suspects[hash]; s != nil {
			s.probing = time.Time{}
		}
	}
}

// Ruling returns the decision on a part, one that is not in force if its requests are sent.
func (b *Blame) Ruling(hash uint64) ruling.Ruling {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.suspects[hash]; s != nil {
		return s.ruling
	}
	return ruling.Ruling{}
}

// suspect returns the state of a part and creates it if there is none. The caller holds b.mu.
func (b *Blame) suspect(hash uint64) *suspect {
	if b.suspects == nil {
		b.suspects = map[uint64]*suspect{}
	}
	s := b.suspects[hash]
	if s == nil {
		s = &suspect{crashes: map[string]sighting{}, answeredAt: b.answered[hash]}
		b.suspects[hash] = s
	}
	return s
}

// addCrash adds a crash, learnt of now, unless an answer came after it.
func (s *suspect) addCrash(process string, c sighting, now time.Time) {
	old, known := s.crashes[process]
	if known && c.weight <= old.weight {
		return
	}
	s.changedAt = now
	if c.at.After(s.answeredAt) {
		s.crashes[process] = c
	}
}

// clear records an answer, before which no crash counts, and reports whether that ended a block.
func (s *suspect) clear(at time.Time) (unblocked bool) {
	if !at.After(s.answeredAt) {
		return false
	}
	s.answeredAt = at
	s.probing = time.Time{}
	maps.DeleteFunc(s.crashes, func(_ string, c sighting) bool { return !c.at.After(at) })
	if !s.ruling.InForce() || !at.After(s.ruling.BlockedAt) {
		return false
	}
	s.ruling, s.changedAt = ruling.Ruling{}, at
	return true
}

// merge applies a decision unless a later one or a later answer is known.
func (s *suspect) merge(r ruling.Ruling) {
	if r.BlockedAt.After(s.answeredAt) && r.Supersedes(s.ruling) {
		s.ruling = r
	}
}

// decide blocks the part if its crashes call for it and are not explained by another one, and reports whether it did.
func (s *suspect) decide(settle time.Duration, explained func() bool, now time.Time) bool {
	maps.DeleteFunc(s.crashes, func(_ string, c sighting) bool { return now.Sub(c.at) > crashLifetime })
	if s.ruling.InForce() {
		return s.decideAgain(now)
	}
	if s.score(nil) < blockScore || explained() {
		s.reachedAt = time.Time{}
		return false
	}
	if s.reachedAt.IsZero() {
		s.reachedAt = now
	}
	if now.Sub(s.reachedAt) < settle && len(s.crashes) < certainCrashes {
		return false
	}
	s.block(now)
	return true
}

// decideAgain extends the block after a test that ended in a crash.
func (s *suspect) decideAgain(now time.Time) bool {
	if s.probing.IsZero() {
		return false
	}
	for _, c := range s.crashes {
		if c.at.After(s.probing) {
			s.block(now)
			return true
		}
	}
	return false
}

// block refuses the part's requests until the next test.
func (s *suspect) block(now time.Time) {
	wait := firstProbe
	for range s.ruling.Strikes {
		wait = min(maxProbe, wait*probeFactor)
	}
	s.ruling = ruling.Ruling{BlockedAt: now, ProbeAt: now.Add(wait), Strikes: s.ruling.Strikes + 1}
	s.probing = time.Time{}
}

// likelierThan reports whether the part rather than another one causes crashes that both were in: it was answered longer ago,
// or is deeper in prompts, so that fewer requests share it, or was in more crashes. Of two equal parts, one is preferred.
func (s *suspect) likelierThan(other *suspect, preferred bool) bool {
	order := cmp.Or(
		other.answeredAt.Compare(s.answeredAt),
		cmp.Compare(s.depth, other.depth),
		cmp.Compare(s.score(nil), other.score(nil)))
	return order > 0 || order == 0 && preferred
}

// common returns the number of crashes that another part was in too.
func (s *suspect) common(other *suspect) (n int) {
	for process := range s.crashes {
		if _, ok := other.crashes[process]; ok {
			n++
		}
	}
	return n
}

// score returns the number of crashes without those of the given processes, weighted, where those within sameCause count as
// one.
func (s *suspect) score(except map[string]sighting) float64 {
	var all []sighting
	for process, c := range s.crashes {
		if _, ok := except[process]; !ok {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b sighting) int { return a.at.Compare(b.at) })
	sum, weight := 0.0, 0.0
	var from time.Time
	for _, c := range all {
		if from.IsZero() || c.at.Sub(from) > sameCause {
			sum += weight
			from, weight = c.at, 0
		}
		weight = max(weight, c.weight)
	}
	return sum + weight
}

// probeDue reports whether a request may test the part.
func (s *suspect) probeDue(now time.Time) bool {
	return !now.Before(s.ruling.ProbeAt) && (s.probing.IsZero() || now.Sub(s.probing) > probeTimeout)
}

// expired reports whether nothing about the part matters any more.
func (s *suspect) expired(now time.Time) bool {
	if s.ruling.InForce() {
		return now.Sub(s.ruling.ProbeAt) > blockLifetime
	}
	return len(s.crashes) == 0 && now.Sub(s.changedAt) > reportTime
}

// report returns what is known of the part.
func (s *suspect) report(now time.Time) crash.Report {
	r := crash.Report{Depth: s.depth}
	for process, c := range s.crashes {
		if c.firstHand && now.Sub(c.at) < reportTime {
			r.AddCrash(process, c.weight, now.Sub(c.at))
		}
	}
	if !s.answeredAt.IsZero() {
		r.Answered, r.AnsweredAge = true, now.Sub(s.answeredAt)
	}
	if s.ruling.InForce() {
		r.Ruling = &ruling.Ruling{BlockedAt: s.ruling.BlockedAt, ProbeAt: s.ruling.ProbeAt, Strikes: s.ruling.Strikes}
	}
	return r
}
