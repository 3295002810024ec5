// Package target keeps what one process knows of one endpoint of opaque requests.
package target

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/tried"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
)

const (
	// learnPart is the weight of a new sample of how slow the endpoint is.
	learnPart = 0.15
	// leastSlow and mostSlow bound that figure; 1 is as fast as expected.
	leastSlow = 0.5
	mostSlow  = 10.0
	// maxParts bounds the prompt parts that are remembered.
	maxParts = 4_096
	// newsTime is how long a part that was read is told to peers, and newsAge the age from which it is told again.
	newsTime = 2 * time.Second
	newsAge  = 6 * time.Second
	// mostNews bounds the parts told in one heartbeat, for each endpoint.
	mostNews = 32
	// othersAge is the age from which peers' counts are no longer believed.
	othersAge = 4 * time.Second
)

// Target is one endpoint: its row, the work that was sent to it and what its answers showed.
//
// All methods may be called concurrently.
type Target struct {
	row     atomic.Pointer[roster.Row]
	hash    uint64
	mu      sync.Mutex
	left    chan struct{}
	leaving bool
	// announced tells that the endpoint itself said that it leaves.
	announced bool
	// restUntil is when the endpoint takes requests from this process again.
	restUntil time.Time

	running int
	prefill int64
	// others is what the peers have sent to the endpoint, as of othersAt.
	others   counts
	othersAt time.Time
	load     reported
	slow     float64
	parts    map[uint64]time.Time
	news     []news

	failed   time.Time
	failures int
	progress time.Time
}

type counts struct{ running, prefill float64 }

type news struct {
	hash uint64
	at   time.Time
}

type reported struct {
	running, waiting, slots int
	at                      time.Time
}

// New returns a target for a row.
func New(r roster.Row) *Target {
	t := &Target{left: make(chan struct{}), slow: 1, hash: xxhash.Sum64String(string(r.ID))}
	t.SetRow(r)
	return t
}

// SetRow takes a newer row; a target that has been leaving stays so.
func (t *Target) SetRow(r roster.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row.Store(&r)
	if r.State == roster.Leaving {
		t.leave()
	}
}

// Leave records that the endpoint takes no new work.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leave()
}

func (t *Target) leave() {
	if !t.leaving {
		t.leaving = true
		close(t.left)
	}
}

// Announce records that the endpoint itself said that it leaves.
func (t *Target) Announce() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announced = true
	t.leave()
}

// Announced reports whether the endpoint itself said that it leaves.
func (t *Target) Announced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.announced
}

// Rest records that the endpoint wants no request from this process before a time; an earlier time changes nothing.
func (t *Target) Rest(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.restUntil) {
		t.restUntil = until
	}
}

// RestUntil returns when the endpoint takes requests from this process again.
func (t *Target) RestUntil() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.restUntil
}

// Resting reports whether the endpoint wants no request from this process now.
func (t *Target) Resting(now time.Time) bool { return now.Before(t.RestUntil()) }

// Left is closed when the endpoint is known to leave.
func (t *Target) Left() <-chan struct{} { return t.left }

// Row returns the endpoint's row; the caller must not change it.
func (t *Target) Row() *roster.Row { return t.row.Load() }

// Hash returns the hash of the endpoint's id.
func (t *Target) Hash() uint64 { return t.hash }

// Leaving reports whether the endpoint takes no new work.
func (t *Target) Leaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving
}

// Begin records a request sent to the endpoint, which must read tokens of its prompt; begun is called once at the first part of its answer or at the end of
// the attempt, and done once at the end.
func (t *Target) Begin(w *work.Work, tokens int64, now time.Time) (begun, done func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
	t.prefill += tokens
	t.remember(w, now)
	var first, last sync.Once
	begun = func() { first.Do(func() { t.settle(tokens, 0) }) }
	done = func() {
		begun()
		last.Do(func() { t.settle(0, 1) })
	}
	return begun, done
}

func (t *Target) settle(tokens int64, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prefill -= tokens
	t.running -= requests
}

// remember notes that the endpoint has read the parts of a prompt.
func (t *Target) remember(w *work.Work, now time.Time) {
	for i, p := range w.Parts {
		if i < len(w.Parts)-1 && now.Sub(t.parts[p.Hash]) > newsAge {
			t.news = append(t.news, news{hash: p.Hash, at: now})
		}
		t.know(p.Hash, now)
	}
}

func (t *Target) know(hash uint64, now time.Time) {
	if t.parts == nil || len(t.parts) > maxParts {
		t.parts = map[uint64]time.Time{}
	}
	t.parts[hash] = now
}

// News returns the shared parts that the endpoint has read lately for this process and, as far as it knew, not before.
func (t *Target) News(now time.Time) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.news = slices.DeleteFunc(t.news, func(n news) bool { return now.Sub(n.at) > newsTime })
	var out []uint64
	for _, n := range t.news[max(0, len(t.news)-mostNews):] {
		out = append(out, n.hash)
	}
	return out
}

// Learn takes the parts that the endpoint has read for a peer.
func (t *Target) Learn(hashes []uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hash := range hashes {
		t.know(hash, now)
	}
}

// Uncached returns the prompt tokens that the endpoint is expected to read.
func (t *Target) Uncached(w *work.Work, now time.Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.uncached(w, now)
}

// cacheMemory is how long the parts of a prompt are expected to stay in an engine's memory.
const cacheMemory = 30 * time.Second

func (t *Target) uncached(w *work.Work, now time.Time) int64 {
	left := w.PromptTokens
	for _, p := range w.Parts {
		at, ok := t.parts[p.Hash]
		if !ok || now.Sub(at) > cacheMemory {
			break
		}
		left -= p.Tokens
	}
	return max(0, left)
}

// Observe takes what one attempt showed; expected is the time to the first part of the answer that was expected.
func (t *Target) Observe(r tried.Tried, expected time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Known {
		t.load = reported{running: r.Running, waiting: r.Waiting, slots: r.Slots, at: now}
	}
	if r.First > 0 && expected > 0 {
		sample := min(mostSlow, max(leastSlow, float64(r.First)/float64(expected)))
		t.slow += learnPart * (sample - t.slow)
	}
}

// Fail records an attempt that the endpoint failed.
func (t *Target) Fail(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed = now
	t.failures++
}

// Progress records bytes from the endpoint.
func (t *Target) Progress(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.progress = now
	t.failures = 0
}

// Failures returns the failed attempts since the endpoint's last progress and the time since the last of them.
func (t *Target) Failures(now time.Time) (n int, since time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failures, now.Sub(t.failed)
}

// HearAll takes the counts of what all peers together have sent to the endpoint.
func (t *Target) HearAll(running, prefill float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others, t.othersAt = counts{running: running, prefill: prefill}, now
}

// Own returns this process's requests at the endpoint and the prompt tokens of those not begun.
func (t *Target) Own() (running int, prefill int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running, t.prefill
}

// Busy returns the requests at the endpoint and the prompt tokens of those not begun, from all processes.
func (t *Target) Busy(now time.Time) (running int, prefill int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.othersAt) >= othersAge {
		return t.running, t.prefill
	}
	return t.running + int(t.others.running), t.prefill + int64(t.others.prefill)
}

// Slow returns how many times as long as expected the endpoint takes to its first tokens.
func (t *Target) Slow() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slow
}

// Slots returns the number of requests that the endpoint runs at one time, nought when it is not known.
func (t *Target) Slots() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.load.slots > 0 {
		return t.load.slots
	}
	return t.Row().Slots
}
