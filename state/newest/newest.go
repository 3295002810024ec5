// Package newest holds the newest catalogue that a process has received.
package newest

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
)

// Catalogue holds the newest catalogue and the time when the platform's table last confirmed its revision.
//
// The revision never decreases. All methods may be called concurrently.
type Catalogue struct {
	mu          sync.RWMutex
	current     *catlog.Catalogue
	confirmedAt time.Time
	changed     chan struct{}
}

// Offer stores c if its revision is higher than the current one and reports whether it did.
func (h *Catalogue) Offer(c *catlog.Catalogue) bool {
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

func (h *Catalogue) revision() int64 {
	if h.current == nil {
		return 0
	}
	return h.current.Revision
}

// Current returns the newest catalogue, or nil before the first one.
func (h *Catalogue) Current() *catlog.Catalogue {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.current
}

// Revision returns the newest revision, or 0 before the first one.
func (h *Catalogue) Revision() int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.revision()
}

// Confirm records that the table's newest revision was the given one at the given time; other revisions are ignored.
func (h *Catalogue) Confirm(revision int64, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision == h.revision() && at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}

// neverConfirmedAge is the age of a revision that has not been confirmed yet; it converts to milliseconds and back without
// overflow.
const neverConfirmedAge = 100 * 365 * 24 * time.Hour

// Age returns the time since the current revision was last confirmed, a hundred years when it never was.
func (h *Catalogue) Age(now time.Time) time.Duration {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.confirmedAt.IsZero() {
		return neverConfirmedAge
	}
	return now.Sub(h.confirmedAt)
}

// Changed returns a channel that is closed when the next higher revision is stored.
func (h *Catalogue) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}
