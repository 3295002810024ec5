package blame

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/crash"
	"github.com/dragonflyroute/dragonflyroute/protocol/ruling"
)

const (
	// blockScore is the number of crashes after which a part is blocked that was never answered, and answeredBlockScore the
	// number of crashes since the last answer of one that was.
	blockScore         = 3
	answeredBlockScore = 5
	// sameCause is the time within which crashes that do not count fully count as one: several endpoints may fail together
	// for another reason.
	sameCause = 250 * time.Millisecond
	// crashLifetime is how long a crash counts.
	crashLifetime = 2 * time.Minute
	// reportTime is how long a crash, or an answer after it, is reported to other hosts.
	reportTime = 4 * time.Second
	// firstProbe is the time from the first decision to block a part until a request may test it; each test multiplies the
	// time until the next one by probeFactor, up to maxProbe.
	firstProbe  = 30 * time.Second
	probeFactor = 2
	maxProbe    = time.Hour
	// maxStrikes bounds the count of decisions.
	maxStrikes = 1 << 20
	// blockLifetime is how long a part stays blocked after the time of its next test, if no request comes that could test
	// it, and how long a part is remembered whose block has ended.
	blockLifetime = time.Hour
)

// suspect is a part that was under way at a crash, or is blocked.
type suspect struct {
	// crashes holds the crashes since the last answer.
	crashes []sighting
	// depth is the position of the part in its prompts, 0 for the first part.
	depth int
	// answeredAt is the last answer known, of any host.
	answeredAt time.Time
	// changedAt is when a crash was last recorded, or other hosts last needed to hear of an answer.
	changedAt time.Time
	// reachedAt is when the score first reached that which blocks the part, zero below it.
	reachedAt time.Time
	// ruling is the decision in force, if any, and ruledAt its time by this process's clock.
	ruling  ruling.Ruling
	ruledAt time.Time
	// storedAt is the time of the latest decision that was read from the store, and endedAt that of the latest one that has
	// ended; both are by the clock of the host that decided.
	storedAt, endedAt time.Time
}

// sighting is a crash with a part.
type sighting struct {
	process string
	weight  float64
	at      time.Time
	// firstHand is set if this process had the request.
	firstHand bool
}

// addCrash adds a crash, learnt of now, unless an answer came after it.
func (s *suspect) addCrash(c sighting, now time.Time) {
	i := slices.IndexFunc(s.crashes, func(old sighting) bool {
		return old.process == c.process && crash.SameCrash(now.Sub(old.at), now.Sub(c.at))
	})
	if i >= 0 && c.weight <= s.crashes[i].weight {
		return
	}
	s.changedAt = now
	if !c.at.After(s.answeredAt) {
		return
	}
	if i >= 0 {
		s.crashes[i] = c
		return
	}
	s.crashes = append(s.crashes, c)
}

// clear records an answer, learnt of now, before which no crash counts, and reports whether that ended a block.
func (s *suspect) clear(at, now time.Time) (unblocked bool) {
	if !at.After(s.answeredAt) {
		return false
	}
	s.answeredAt = at
	s.crashes = slices.DeleteFunc(s.crashes, func(c sighting) bool { return !c.at.After(at) })
	if !s.ruling.InForce() || !at.After(s.ruledAt) {
		return false
	}
	s.endedAt, s.ruling, s.changedAt = s.ruling.BlockedAt, ruling.Ruling{}, now
	return true
}

// adopt applies another host's decision unless a later one or a later answer is known. A host that tells one which has
// ended has to hear of the answer.
func (s *suspect) adopt(r ruling.Ruling, now time.Time) {
	crashedAt := r.CrashedAt
	if crashedAt.IsZero() {
		crashedAt = r.BlockedAt
	}
	if !r.BlockedAt.After(s.endedAt) || !crashedAt.After(s.answeredAt) {
		s.changedAt = now
		return
	}
	if !r.Supersedes(s.ruling) {
		return
	}
	s.ruling, s.ruledAt = r, r.BlockedAt
	if now.Before(s.ruledAt) {
		s.ruledAt = now
	}
}

// decide blocks the part if its crashes call for it, and reports whether it did.
func (s *suspect) decide(settle time.Duration, now time.Time) bool {
	s.crashes = slices.DeleteFunc(s.crashes, func(c sighting) bool { return now.Sub(c.at) > crashLifetime })
	if s.ruling.InForce() || s.score() < s.neededScore() {
		s.reachedAt = time.Time{}
		return false
	}
	if s.reachedAt.IsZero() {
		s.reachedAt = now
	}
	if now.Sub(s.reachedAt) < settle {
		return false
	}
	s.block(now)
	return true
}

// compare returns a negative number if the part is a likelier cause than another one of crashes under both: it was never
// answered, or longer ago, or fewer requests share it, or more crashes speak against it.
func (s *suspect) compare(other *suspect) int {
	return cmp.Or(s.answeredAt.Compare(other.answeredAt), cmp.Compare(other.depth, s.depth), cmp.Compare(other.score(), s.score()))
}

// neededScore returns the score at which the part is blocked.
func (s *suspect) neededScore() float64 {
	if s.answeredAt.IsZero() {
		return blockScore
	}
	return answeredBlockScore
}

// removeCrashes removes crashes that another part explains.
func (s *suspect) removeCrashes(explained []sighting) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c sighting) bool {
		return slices.ContainsFunc(explained, func(e sighting) bool {
			return e.process == c.process && crash.SameCrash(e.at.Sub(c.at), 0)
		})
	})
}

// block refuses the part's requests until the next test.
func (s *suspect) block(now time.Time) {
	wait := firstProbe
	for i := 0; i < s.ruling.Strikes && wait < maxProbe; i++ {
		wait *= probeFactor
	}
	next := ruling.Ruling{BlockedAt: now, ProbeAt: now.Add(min(wait, maxProbe)), CrashedAt: s.ruling.CrashedAt, Strikes: min(max(0, s.ruling.Strikes), maxStrikes) + 1}
	for _, c := range s.crashes {
		if c.at.After(next.CrashedAt) {
			next.CrashedAt = c.at
		}
	}
	s.ruling, s.ruledAt = next, now
}

// score returns the number of crashes by weight. A request whose answer has just begun is rarely under way by chance, so
// its crashes all count; of the others, those within sameCause count as one.
func (s *suspect) score() float64 {
	slices.SortFunc(s.crashes, func(a, b sighting) int { return a.at.Compare(b.at) })
	sum := 0.0
	var from time.Time
	for _, c := range s.crashes {
		switch {
		case c.weight >= certain:
			sum += c.weight
		case from.IsZero() || c.at.Sub(from) > sameCause:
			sum += c.weight
			from = c.at
		}
	}
	return sum
}

// expired reports whether nothing about the part matters any more.
func (s *suspect) expired(now time.Time) bool {
	switch {
	case s.ruling.InForce():
		return now.Sub(s.ruling.ProbeAt) > blockLifetime
	case !s.endedAt.IsZero():
		return now.Sub(s.answeredAt) > blockLifetime
	default:
		return len(s.crashes) == 0 && now.Sub(s.changedAt) > reportTime
	}
}

// report returns what is known of the part.
func (s *suspect) report(now time.Time) crash.Report {
	r := crash.Report{Depth: s.depth}
	for _, c := range s.crashes {
		if c.firstHand && now.Sub(c.at) < reportTime {
			r.AddCrash(c.process, c.weight, now.Sub(c.at))
		}
	}
	if !s.answeredAt.IsZero() {
		r.Answered, r.AnsweredAge = true, now.Sub(s.answeredAt)
	}
	if s.ruling.InForce() {
		told := s.ruling
		r.Ruling = &told
	}
	return r
}
