// Package cached keeps what a process believes of an engine's prefix cache.
package cached

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/change"
)

const (
	size = 256
	// halfAge is the age at which a belief that nothing confirmed is worth half.
	halfAge = 60 * time.Second
	// likely is the chance from which a cached prefix is expected.
	likely = 0.5
)

// slot is the belief on one prefix; told means that the engine's events say it, until they say otherwise.
type slot struct {
	hash, at atomic.Uint64
	told     atomic.Bool
}

// Cached is a belief on each of the last prefixes, by hash.
//
// A prefix that this process sent counts as cached, less so with time. One that the engine's events told of counts as
// cached while they are heard without a gap; after a gap it ages as if it had been sent when they were last whole. An
// event that comes late is wrong for no longer than its lateness, because the events after it put it right.
// All methods may be called concurrently; Chance and Remember neither lock nor allocate.
type Cached struct {
	slots [size]slot
	heard atomic.Int64
	mute  atomic.Bool

	mu   sync.Mutex
	last uint64
}

// Remember records that a prompt with the given prefix was sent at now.
func (c *Cached) Remember(hash uint64, now time.Time) {
	s := &c.slots[hash%size]
	if s.hash.Swap(hash) != hash {
		s.told.Store(false)
	}
	s.at.Store(uint64(now.UnixNano()))
}

// Chance returns the probability, 0 to 1, that the engine still caches the prefix.
func (c *Cached) Chance(hash uint64, now time.Time) float64 {
	s := &c.slots[hash%size]
	if s.hash.Load() != hash {
		return 0
	}
	age := max(0, now.UnixNano()-c.confirmed(s))
	return float64(halfAge) / float64(int64(halfAge)+age)
}

// confirmed returns when the belief was last known to be true.
func (c *Cached) confirmed(s *slot) int64 {
	at := int64(s.at.Load())
	if s.told.Load() {
		return max(at, c.heard.Load())
	}
	return at
}

// Learn takes what an engine said of a prompt whose prefix it was expected to cache with the given probability.
//
// A miss where a hit was likely means that the cache turns over faster than assumed, or that events were wrong, so all
// beliefs count as older.
func (c *Cached) Learn(expected float64, hit bool) {
	if hit || expected < likely {
		return
	}
	c.doubt()
	for i := range c.slots {
		if at := c.slots[i].at.Load(); at > uint64(halfAge) {
			c.slots[i].at.Store(at - uint64(halfAge))
		}
	}
}

// Last returns the number of the last event heard.
func (c *Cached) Last() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// Hear takes the events after Last, in order; some may be missing. last is the number of the newest event that the
// engine has made known; one below Last means that the engine started anew.
func (c *Cached) Hear(last uint64, changes []change.Change, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last < c.last {
		c.clear()
		c.last = 0
	}
	for _, ch := range changes {
		c.hear(ch, now)
	}
	if c.last < last {
		c.doubt()
		c.last = last
	}
	c.heard.Store(now.UnixNano())
}

func (c *Cached) hear(ch change.Change, now time.Time) {
	if ch.Seq <= c.last {
		return
	}
	if ch.Seq > c.last+1 {
		c.doubt()
	}
	c.last = ch.Seq
	if ch.Cleared {
		c.clear()
		return
	}
	if ch.Prefix == 0 {
		return
	}
	s := &c.slots[ch.Prefix%size]
	if ch.Stored {
		s.hash.Store(ch.Prefix)
		s.at.Store(uint64(now.UnixNano()))
		s.told.Store(true)
		return
	}
	if s.hash.CompareAndSwap(ch.Prefix, 0) {
		s.told.Store(false)
	}
}

// doubt makes what events told as old as the last time that they were whole.
func (c *Cached) doubt() {
	for i := range c.slots {
		s := &c.slots[i]
		if s.told.Load() {
			s.at.Store(uint64(c.confirmed(s)))
			s.told.Store(false)
		}
	}
}

func (c *Cached) clear() {
	for i := range c.slots {
		c.slots[i].hash.Store(0)
		c.slots[i].told.Store(false)
	}
}

// Mute records that the engine makes no events known.
func (c *Cached) Mute() { c.mute.Store(true) }

// Muted reports whether the engine makes no events known.
func (c *Cached) Muted() bool { return c.mute.Load() }
