// Package target holds a process's state of one endpoint that serves opaque requests.
package target

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyroute/dragonflyroute/protocol/cold"
	"github.com/dragonflyroute/dragonflyroute/protocol/notice"
	"github.com/dragonflyroute/dragonflyroute/protocol/result"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/limits"
	"github.com/dragonflyroute/dragonflyroute/state/warmup"
)

const (
	// slowdownWeight is the weight of a new sample in the moving average of the slowdown.
	slowdownWeight = 0.15
	// minSlowdown and maxSlowdown bound a sample of the slowdown; 1 is as fast as expected.
	minSlowdown = 0.5
	maxSlowdown = 10.0
	// maxCachedParts bounds the prompt parts that are recorded as cached.
	maxCachedParts = 4_096
	// announceTime is how long a newly cached part is sent to peers, and reannounceAge the age from which a part that is
	// sent to the endpoint again counts as newly cached.
	announceTime  = 2 * time.Second
	reannounceAge = 6 * time.Second
	// maxAnnounced bounds the parts of each endpoint that one heartbeat carries.
	maxAnnounced = 32
	// othersMaxAge is the age from which the peers' counts are ignored.
	othersMaxAge = 4 * time.Second
)

// Target is one endpoint: its row, the work sent to it and the measurements taken from its answers.
//
// All methods may be called concurrently.
type Target struct {
	// Limit is the request limit that the endpoint names.
	Limit *limits.Limit
	// Warmup limits this process's requests while the endpoint is cold.
	Warmup *warmup.Warmup

	row     atomic.Pointer[roster.Row]
	hash    uint64
	mu      sync.Mutex
	left    chan struct{}
	leaving bool
	// leavingReported is set when the endpoint itself has reported that it is leaving.
	leavingReported bool
	// evacuated is set while no new work may be sent to the endpoint's data centre.
	evacuated atomic.Bool
	// pausedUntil is the time before which the endpoint has asked this process to send no requests.
	pausedUntil time.Time

	// running counts this process's requests at the endpoint, and prefill the prompt tokens of those not begun.
	running int
	prefill int64
	// others counts the outstanding work of all peers together, received at othersAt.
	others      counts
	othersAt    time.Time
	load        loadReport
	slowdown    float64
	cachedParts map[uint64]time.Time
	newlyCached []newPart

	// slownessPercent is the time that work takes at the endpoint, in percent of the usual time, as it last reported it at
	// slownessAt.
	slownessPercent int
	slownessAt      time.Time

	failedAt   time.Time
	failures   int
	progressAt time.Time
}

type counts struct{ running, prefill float64 }

type newPart struct {
	hash uint64
	at   time.Time
}

type loadReport struct {
	running, waiting, slots int
	at                      time.Time
}

// New returns a target for a row.
func New(r roster.Row) *Target {
	t := &Target{Limit: &limits.Limit{}, Warmup: &warmup.Warmup{}, left: make(chan struct{}), slowdown: 1, hash: xxhash.Sum64String(string(r.ID))}
	t.SetRow(r)
	return t
}

// SetRow replaces the row; a target that is leaving stays so.
func (t *Target) SetRow(r roster.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row.Store(&r)
	if r.State == roster.Leaving {
		t.markLeaving()
	}
}

// MarkLeaving marks the endpoint as leaving: it takes no new work.
func (t *Target) MarkLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markLeaving()
}

func (t *Target) markLeaving() {
	if !t.leaving {
		t.leaving = true
		close(t.left)
	}
}

// RecordLeaving records that the endpoint itself has reported that it is leaving.
func (t *Target) RecordLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leavingReported = true
	t.markLeaving()
}

// LeavingReported reports whether the endpoint itself has reported that it is leaving.
func (t *Target) LeavingReported() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leavingReported
}

// SetEvacuated sets whether the endpoint's data centre is evacuated, and reports whether that changed.
func (t *Target) SetEvacuated(evacuated bool) (changed bool) {
	return t.evacuated.Swap(evacuated) != evacuated
}

// Evacuated reports whether no new work may be sent to the endpoint because its data centre is evacuated.
func (t *Target) Evacuated() bool { return t.evacuated.Load() }

// PauseUntil records that the endpoint has asked for no requests from this process before until; a time earlier than
// a previous one has no effect.
func (t *Target) PauseUntil(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.pausedUntil) {
		t.pausedUntil = until
	}
}

// PausedUntil returns the time from which the endpoint takes requests from this process again.
func (t *Target) PausedUntil() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pausedUntil
}

// Paused reports whether the endpoint has asked for no requests from this process at now.
func (t *Target) Paused(now time.Time) bool { return now.Before(t.PausedUntil()) }

// LimitNotice returns what this process knows of the request limit of the endpoint's present process. Known is false if
// it has never named one, and firstHand is set if it told this process itself.
func (t *Target) LimitNotice(now time.Time) (n notice.Notice, known, firstHand bool) {
	n, known, firstHand = t.Limit.Notice(now)
	n.StartMillis = t.Row().StartMillis
	return n, known, firstHand
}

// ColdReport returns what this process itself found of how cold the endpoint's present process is; ok is false if there is
// nothing to report.
func (t *Target) ColdReport(now time.Time) (r cold.Report, ok bool) {
	r, ok = t.Warmup.Report(now)
	r.StartMillis = t.Row().StartMillis
	return r, ok
}

// Left returns a channel that is closed when the endpoint is known to be leaving.
func (t *Target) Left() <-chan struct{} { return t.left }

// Row returns the endpoint's row; the caller must not change it.
func (t *Target) Row() *roster.Row { return t.row.Load() }

// Hash returns the hash of the endpoint's id.
func (t *Target) Hash() uint64 { return t.hash }

// Rank returns the endpoint's score for a session by rendezvous hashing: all processes agree on the endpoint that ranks highest.
func (t *Target) Rank(session uint64) uint64 { return mix(t.hash ^ session) }

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Leaving reports whether the endpoint takes no new work.
func (t *Target) Leaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving
}

// Begin counts a request sent to the endpoint, which has to prefill tokens of its prompt. The caller calls onBegun at the
// first part of the answer and done at the end of the attempt; repeated calls have no effect, and done implies onBegun.
func (t *Target) Begin(w *work.Request, tokens int64, now time.Time) (onBegun, done func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
	t.prefill += tokens
	t.recordParts(w, now)
	var first, last sync.Once
	onBegun = func() { first.Do(func() { t.subtract(tokens, 0) }) }
	done = func() {
		onBegun()
		last.Do(func() { t.subtract(0, 1) })
	}
	return onBegun, done
}

func (t *Target) subtract(tokens int64, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prefill -= tokens
	t.running -= requests
}

// recordParts records that the endpoint caches the parts of a prompt. The last part is not announced to peers, as
// other requests do not share it.
func (t *Target) recordParts(w *work.Request, now time.Time) {
	for i, p := range w.Parts {
		if i < len(w.Parts)-1 && now.Sub(t.cachedParts[p.Hash]) > reannounceAge {
			t.newlyCached = append(t.newlyCached, newPart{hash: p.Hash, at: now})
		}
		t.addCached(p.Hash, now)
	}
}

func (t *Target) addCached(hash uint64, now time.Time) {
	if t.cachedParts == nil || len(t.cachedParts) > maxCachedParts {
		t.cachedParts = map[uint64]time.Time{}
	}
	t.cachedParts[hash] = now
}

// NewlyCached returns the hashes of shared prompt parts that the endpoint has lately cached for this process and that
// were not known to be cached before.
func (t *Target) NewlyCached(now time.Time) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newlyCached = slices.DeleteFunc(t.newlyCached, func(n newPart) bool { return now.Sub(n.at) > announceTime })
	var out []uint64
	for _, n := range t.newlyCached[max(0, len(t.newlyCached)-maxAnnounced):] {
		out = append(out, n.hash)
	}
	return out
}

// AddCached records parts that the endpoint has cached for a peer, and returns those that were not known to be cached.
func (t *Target) AddCached(hashes []uint64, now time.Time) (added []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hash := range hashes {
		if !t.cached(hash, now) {
			added = append(added, hash)
		}
		t.addCached(hash, now)
	}
	return added
}

// ForgetCached removes parts that were recorded as cached at a time and not since.
func (t *Target) ForgetCached(hashes []uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hash := range hashes {
		if t.cachedParts[hash].Equal(at) {
			delete(t.cachedParts, hash)
		}
	}
}

// Uncached returns the prompt tokens that the endpoint is expected to prefill because they are not in its prefix cache.
func (t *Target) Uncached(w *work.Request, now time.Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.uncached(w, now)
}

// cacheLifetime is how long the parts of a prompt are expected to stay in an engine's prefix cache.
const cacheLifetime = 30 * time.Second

func (t *Target) uncached(w *work.Request, now time.Time) int64 {
	remaining := w.PromptTokens
	for _, p := range w.Parts {
		if !t.cached(p.Hash, now) {
			break
		}
		remaining -= p.Tokens
	}
	return max(0, remaining)
}

// cached reports whether the endpoint is expected to have a part cached. The caller holds t.mu.
func (t *Target) cached(hash uint64, now time.Time) bool {
	at, ok := t.cachedParts[hash]
	return ok && now.Sub(at) <= cacheLifetime
}

// Observe updates the load and the slowdown from one attempt; expected is the expected time to the first part of its
// answer, 0 when there is none.
func (t *Target) Observe(r result.Result, expected time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.LoadKnown {
		t.load = loadReport{running: r.Running, waiting: r.Waiting, slots: r.Slots, at: now}
	}
	if r.TimeToFirst > 0 && expected > 0 {
		sample := min(maxSlowdown, max(minSlowdown, float64(r.TimeToFirst)/float64(expected)))
		t.slowdown += slowdownWeight * (sample - t.slowdown)
	}
}

// ReportSlowness records the time that work takes at the endpoint at this moment, in percent of the usual time; 0 is none.
func (t *Target) ReportSlowness(percent int, now time.Time) {
	if percent <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slownessPercent, t.slownessAt = percent, now
}

// slownessTime is how long a report of the momentary slowness holds.
const slownessTime = 400 * time.Millisecond

// Slowness returns the time that work takes at the endpoint at present as a multiple of the usual time, 0 when the last report
// is too old.
func (t *Target) Slowness(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.slownessAt) > slownessTime {
		return 0
	}
	return float64(t.slownessPercent) / 100
}

// RecordFailure records a failed attempt.
func (t *Target) RecordFailure(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failedAt = now
	t.failures++
}

// RecordProgress records that the endpoint sent bytes of an answer, which resets the count of failures.
func (t *Target) RecordProgress(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.progressAt = now
	t.failures = 0
}

// Failures returns the number of failed attempts since the endpoint's last progress and the time since the last of them.
func (t *Target) Failures(now time.Time) (n int, since time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failures, now.Sub(t.failedAt)
}

// SetOthers replaces the sums over the peers of their requests at the endpoint and of the prompt tokens of those not
// begun.
func (t *Target) SetOthers(running, prefill float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others, t.othersAt = counts{running: running, prefill: prefill}, now
}

// OwnOutstanding returns the number of this process's requests at the endpoint and the prompt tokens of those not begun.
func (t *Target) OwnOutstanding() (running int, prefill int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running, t.prefill
}

// Outstanding returns the number of requests at the endpoint and the prompt tokens of those not begun, from all processes.
func (t *Target) Outstanding(now time.Time) (running int, prefill int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.othersAt) >= othersMaxAge {
		return t.running, t.prefill
	}
	return t.running + int(t.others.running), t.prefill + int64(t.others.prefill)
}

// Slowdown returns the moving average of the time to first token as a multiple of the expected one.
func (t *Target) Slowdown() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slowdown
}

// Slots returns the number of requests that the endpoint runs concurrently, 0 when it is not known.
func (t *Target) Slots() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.load.slots > 0 {
		return t.load.slots
	}
	return t.Row().Slots
}
