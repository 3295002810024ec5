// Package cached estimates which prompt prefixes an engine's prefix cache holds.
package cached

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/kvevt"
)

const (
	slotCount = 256
	// halfAge is the age at which the probability of an unconfirmed prefix has fallen to half.
	halfAge = 60 * time.Second
	// likelyHit is the probability from which a cache hit is expected.
	likelyHit = 0.5
)

// slot is the estimate for one prefix. fromEvents is set while the prefix is cached according to the engine's events.
type slot struct {
	hash, confirmedAt atomic.Uint64
	fromEvents        atomic.Bool
}

// Cached estimates whether each of the last prefixes is cached, by hash.
//
// A prefix that this process sent counts as cached with a probability that decays with time. One stored according to the
// engine's events counts as cached while events arrive without a gap; after a gap its probability decays from the time of
// the last gapless events. A late event misleads for no longer than its delay, because later events correct it.
// All methods may be called concurrently; Probability and RecordSent neither lock nor allocate.
type Cached struct {
	slots          [slotCount]slot
	eventsAt       atomic.Int64
	eventsDisabled atomic.Bool

	mu      sync.Mutex
	lastSeq uint64
}

// RecordSent records that a prompt with the given prefix was sent at now.
func (c *Cached) RecordSent(hash uint64, now time.Time) {
	s := &c.slots[hash%slotCount]
	if s.hash.Swap(hash) != hash {
		s.fromEvents.Store(false)
	}
	s.confirmedAt.Store(uint64(now.UnixNano()))
}

// Probability returns the probability, 0 to 1, that the engine still caches the prefix.
func (c *Cached) Probability(hash uint64, now time.Time) float64 {
	s := &c.slots[hash%slotCount]
	if s.hash.Load() != hash {
		return 0
	}
	age := max(0, now.UnixNano()-c.lastConfirmed(s))
	return float64(halfAge) / float64(int64(halfAge)+age)
}

// lastConfirmed returns when the prefix was last known to be cached, in Unix nanoseconds.
func (c *Cached) lastConfirmed(s *slot) int64 {
	at := int64(s.confirmedAt.Load())
	if s.fromEvents.Load() {
		return max(at, c.eventsAt.Load())
	}
	return at
}

// ObserveResult records whether a prompt hit the prefix cache; expected is the estimated probability of a hit.
//
// A miss where a hit was likely means that the cache evicts faster than assumed, or that events were wrong, so all
// prefixes are made older by halfAge.
func (c *Cached) ObserveResult(expected float64, hit bool) {
	if hit || expected < likelyHit {
		return
	}
	c.startAging()
	for i := range c.slots {
		if at := c.slots[i].confirmedAt.Load(); at > uint64(halfAge) {
			c.slots[i].confirmedAt.Store(at - uint64(halfAge))
		}
	}
}

// LastSeq returns the sequence number of the last event received.
func (c *Cached) LastSeq() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastSeq
}

// Apply applies the events after LastSeq, in order; some may be missing. last is the sequence number of the engine's
// newest event; one below LastSeq means that the engine has restarted.
func (c *Cached) Apply(last uint64, events []kvevt.Event, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last < c.lastSeq {
		c.clear()
		c.lastSeq = 0
	}
	for _, ev := range events {
		c.applyEvent(ev, now)
	}
	if c.lastSeq < last {
		c.startAging()
		c.lastSeq = last
	}
	c.eventsAt.Store(now.UnixNano())
}

func (c *Cached) applyEvent(ev kvevt.Event, now time.Time) {
	if ev.Seq <= c.lastSeq {
		return
	}
	if ev.Seq > c.lastSeq+1 {
		c.startAging()
	}
	c.lastSeq = ev.Seq
	if ev.Cleared {
		c.clear()
		return
	}
	if ev.Prefix == 0 {
		return
	}
	s := &c.slots[ev.Prefix%slotCount]
	if ev.Stored {
		s.hash.Store(ev.Prefix)
		s.confirmedAt.Store(uint64(now.UnixNano()))
		s.fromEvents.Store(true)
		return
	}
	if s.hash.CompareAndSwap(ev.Prefix, 0) {
		s.fromEvents.Store(false)
	}
}

// startAging lets prefixes known from events decay from the time of the last gapless events.
func (c *Cached) startAging() {
	for i := range c.slots {
		s := &c.slots[i]
		if s.fromEvents.Load() {
			s.confirmedAt.Store(uint64(c.lastConfirmed(s)))
			s.fromEvents.Store(false)
		}
	}
}

func (c *Cached) clear() {
	for i := range c.slots {
		c.slots[i].hash.Store(0)
		c.slots[i].fromEvents.Store(false)
	}
}

// DisableEvents records that the engine publishes no cache events.
func (c *Cached) DisableEvents() { c.eventsDisabled.Store(true) }

// EventsDisabled reports whether the engine publishes no cache events.
func (c *Cached) EventsDisabled() bool { return c.eventsDisabled.Load() }
