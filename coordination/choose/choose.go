// Package choose picks the endpoint for one attempt of an opaque request.
package choose

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	// runTime is what one more running request adds to the time to the first token.
	runTime = 3 * time.Millisecond
	// queueTime is what one request ahead in an endpoint's queue adds.
	queueTime = 60 * time.Millisecond
	// awayTime is what another data centre counts for, beside the time on the wire: bytes between them are priced.
	awayTime = 8 * time.Millisecond
	// homePart is the part of a prompt's shared tokens that the two homes of a session are taken to know between them, and
	// strayPart that which another endpoint gets from the first of them.
	homePart  = 0.85
	strayPart = 0.6
	// againPart is what reading shared tokens once more counts for beside the time that it takes, as a part of that time:
	// the work is paid for.
	againPart = 2.0
	// defaultSlots stands in until an endpoint has said how many requests it runs at one time.
	defaultSlots = 4
	// firstPause and mostPause bound the time for which an endpoint that failed is left alone; it doubles each time.
	firstPause = 500 * time.Millisecond
	mostPause  = 4 * time.Second
	// fetchTokens is the least part of a prompt that is fetched from another endpoint's memory, and fetchTime what a
	// fetch counts for, beside the time that it takes: it is cheaper than reading, but not free.
	fetchTokens = 64
	fetchTime   = 5 * time.Millisecond
	// compared is the number of random endpoints compared, beside those that have read a part of the prompt.
	compared = 3
	// jitter is the largest random addition, so that hosts with the same view do not all choose the same endpoint.
	jitter = 2 * time.Millisecond
)

type speed interface {
	// First returns the expected time to the first token when the given number of tokens must be read before it.
	First(backend label.Name, tokens int64) time.Duration
}

// Choice compares endpoints by the time until the first part of an answer is expected.
type Choice struct {
	// Rand returns a number in [0, 1).
	Rand func() float64
	// Speed knows how fast engines read prompts.
	Speed speed
	// Home is the process's own data centre.
	Home centre.ID
	// Hosts returns the number of entry hosts, this one included; nil stands for one.
	Hosts func() int

	arrivals arrivals
}

// pick is the choice for one attempt.
type pick struct {
	// Target is the endpoint, nil when none may be used.
	Target *target.Target
	// Donor is an endpoint that knows more of the prompt, nil when none is known.
	Donor *target.Target
	// Unread is the prompt tokens that the endpoint is expected to read.
	Unread int64
	// First is the expected time to the first part of the answer.
	First time.Duration
	// Wait is the time until the first of the endpoints takes requests again, when there is no Target and all of them
	// have asked for a pause.
	Wait time.Duration

	cost time.Duration
}

// Pick returns the best endpoint that may be used.
//
// Endpoints that leave or have asked for a pause are never chosen, those that failed a moment ago only when there is
// no other.
func (c *Choice) Pick(all []*target.Target, w *work.Work, used func(*target.Target) bool, now time.Time) pick {
	if w.PromptTokens == 0 {
		return c.spread(all, w, used, now)
	}
	var best, second pick
	homes := homesOf(all, w.Session(), now)
	sample := c.sample(all)
	donor, known := richest(all, w, now)
	for _, t := range all {
		if !open(t, now) || used(t) {
			continue
		}
		if sample != nil && !homes.has(t) && t != donor && !sample[t] {
			continue
		}
		p := c.estimate(t, w, homes, donor, known, now)
		switch {
		case paused(t, now):
			second = better(second, p)
		default:
			best = better(best, p)
		}
	}
	if best.Target == nil {
		best = second
	}
	if best.Target == nil && sample != nil {
		best = c.any(all, w, used, now)
	}
	if best.Target == nil {
		best.Wait = rest(all, now)
	}
	return best
}

// open reports whether an endpoint takes requests of this process.
func open(t *target.Target, now time.Time) bool { return !t.Leaving() && !t.Resting(now) }

// rest returns the time until the first endpoint's pause ends, nought when one of them has asked for none.
func rest(all []*target.Target, now time.Time) time.Duration {
	var first time.Duration
	for _, t := range all {
		if t.Leaving() {
			continue
		}
		left := t.RestUntil().Sub(now)
		if left <= 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}

func better(a, b pick) pick {
	if a.Target == nil || b.cost < a.cost {
		return b
	}
	return a
}

// any returns an endpoint that may be used when the sample held none.
func (c *Choice) any(all []*target.Target, w *work.Work, used func(*target.Target) bool, now time.Time) pick {
	for _, t := range all {
		if open(t, now) && !used(t) {
			return c.estimate(t, w, homes{}, nil, 0, now)
		}
	}
	return pick{}
}

// richest returns the endpoint that is known to have read most of the prompt, and the tokens that it would read.
func richest(all []*target.Target, w *work.Work, now time.Time) (donor *target.Target, unread int64) {
	unread = w.PromptTokens
	for _, t := range all {
		if !open(t, now) {
			continue
		}
		if n := t.Uncached(w, now); n < unread {
			donor, unread = t, n
		}
	}
	return donor, unread
}

// sample draws a few endpoints to compare, nil for all: with counts that are a moment old, hosts that all take the
// least busy of many would take the same one.
func (c *Choice) sample(all []*target.Target) map[*target.Target]bool {
	if len(all) <= compared {
		return nil
	}
	out := map[*target.Target]bool{}
	for range compared {
		out[all[int(c.Rand()*float64(len(all)))]] = true
	}
	return out
}

// Backend chooses one of a route's back ends by their parts of the traffic; a route without any has an empty name.
func (c *Choice) Backend(p *path.Path) label.Name {
	left := c.Rand()
	for _, b := range p.Backends {
		if left -= b.Share; left < 0 {
			return label.Name(b.Name)
		}
	}
	if n := len(p.Backends); n > 0 {
		return label.Name(p.Backends[n-1].Name)
	}
	return ""
}

// homes are the two endpoints that keep a session's shared parts, as far as all hosts agree without a word; nil ones are missing.
type homes struct{ first, second *target.Target }

// homesOf returns the endpoints that rank highest for a session by rendezvous hash, none without a session.
func homesOf(all []*target.Target, session uint64, now time.Time) homes {
	var h homes
	if session == 0 {
		return h
	}
	var highest, next uint64
	for _, t := range all {
		if !open(t, now) {
			continue
		}
		rank := mix(t.Hash() ^ session)
		switch {
		case h.first == nil || rank > highest:
			h.first, h.second = t, h.first
			highest, next = rank, highest
		case h.second == nil || rank > next:
			h.second, next = t, rank
		}
	}
	return h
}

func (h homes) has(t *target.Target) bool { return t == h.first || t == h.second }

// other returns the home from which an endpoint fetches what it lacks, nil for none.
func (h homes) other(t *target.Target) *target.Target {
	if t == h.first {
		return h.second
	}
	return h.first
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func paused(t *target.Target, now time.Time) bool {
	n, since := t.Failures(now)
	if n == 0 {
		return false
	}
	return since < min(mostPause, firstPause<<min(n-1, 4))
}

// estimate returns the choice of one endpoint and its cost; donor is known to have all but known tokens of the prompt.
func (c *Choice) estimate(t *target.Target, w *work.Work, home homes, donor *target.Target, known int64, now time.Time) pick {
	running, prefill := t.Busy(now)
	slots := slotsOf(t)
	p := pick{Target: t, Unread: t.Uncached(w, now)}
	if w.PromptTokens > 0 {
		again := c.share(&p, w, home, donor, known)
		p.First = times(t.Slow(), c.Speed.First(w.Backend, prefill+p.Unread))
		p.cost = times(againPart, c.Speed.First(w.Backend, again)-c.Speed.First(w.Backend, 0))
	}
	if over := running - slots + 1; over > 0 {
		p.First += time.Duration(over) * queueTime
	}
	p.cost += p.First + time.Duration(running)*runTime + time.Duration(c.Rand()*float64(jitter))
	if p.Donor != nil && !home.has(t) {
		p.cost += fetchTime
	}
	if t.Row().DataCentre != c.Home {
		p.cost += awayTime
	}
	return p
}

// slotsOf returns the number of requests that an endpoint runs at one time, a guess while that is not known.
func slotsOf(t *target.Target) int {
	if slots := t.Slots(); slots > 0 {
		return slots
	}
	return defaultSlots
}

// share decides what the endpoint fetches, corrects what it must read, and returns the shared tokens that it is likely
// to read though another endpoint has.
//
// Where no endpoint is known to have as much, the session's homes are taken for endpoints that know it; each fetches from the
// other what it lacks. Nearly all endpoints have the first part of a prompt, which says nothing of the others.
func (c *Choice) share(p *pick, w *work.Work, home homes, donor *target.Target, known int64) (again int64) {
	shared := w.Shared()
	if p.Unread <= w.PromptTokens-shared {
		return 0
	}
	part := strayPart
	if home.has(p.Target) {
		part = homePart
	}
	guess := int64(part * float64(shared))
	if home.first == nil || shared < fetchTokens {
		guess = 0
	}
	if donor != nil && w.PromptTokens-known >= guess {
		if donor != p.Target && p.Unread-known >= fetchTokens {
			p.Donor, p.Unread = donor, known
		}
		return 0
	}
	if guess == 0 {
		return 0
	}
	p.Unread = min(p.Unread, w.PromptTokens-guess)
	p.Donor = home.other(p.Target)
	return shared - guess
}

func times(x float64, d time.Duration) time.Duration { return time.Duration(x * float64(d)) }
