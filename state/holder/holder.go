// Package holder keeps the newest catalogue that a process knows.
package holder

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
)

// Holder keeps the newest catalogue and when the table last confirmed it.
//
// The revision never decreases. All methods may be called concurrently.
type Holder struct {
	mu        sync.RWMutex
	current   *catlog.Catalogue
	confirmed time.Time
	changed   chan struct{}
}

// Offer takes c if its revision is higher than the current one and reports whether it did.
func (h *Holder) Offer(c *catlog.Catalogue) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c == nil || c.Revision <= h.revision() {
		return false
	}
	h.current = c
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	return true
}

func (h *Holder) revision() int64 {
	if h.current == nil {
		return 0
	}
	return h.current.Revision
}

// Current returns the newest catalogue, or nil before the first one.
func (h *Holder) Current() *catlog.Catalogue {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.current
}

// Revision returns the newest revision, or 0 before the first one.
func (h *Holder) Revision() int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.revision()
}

// Confirm records that the table's head had the given revision at the given time.
func (h *Holder) Confirm(revision int64, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision == h.revision() && at.After(h.confirmed) {
		h.confirmed = at
	}
}

// never is the age of a revision that was not confirmed yet.
const never = 100 * 365 * 24 * time.Hour

// Age returns the time since the current revision was last confirmed.
func (h *Holder) Age(now time.Time) time.Duration {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.confirmed.IsZero() {
		return never
	}
	return now.Sub(h.confirmed)
}

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}
