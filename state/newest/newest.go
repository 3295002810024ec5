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
func (n *Catalogue) Offer(c *catlog.Catalogue) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c == nil || c.Revision <= n.revision() {
		return false
	}
	n.current = c
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
	return true
}

func (n *Catalogue) revision() int64 {
	if n.current == nil {
		return 0
	}
	return n.current.Revision
}

// Current returns the newest catalogue, or nil before the first one.
func (n *Catalogue) Current() *catlog.Catalogue {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.current
}

// Revision returns the newest revision, or 0 before the first one.
func (n *Catalogue) Revision() int64 {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.revision()
}

// Confirm records that the table's newest revision was the given one at the given time; other revisions are ignored.
func (n *Catalogue) Confirm(revision int64, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if revision == n.revision() && at.After(n.confirmedAt) {
		n.confirmedAt = at
	}
}

// neverConfirmedAge is the age of a revision that has not been confirmed yet; it converts to milliseconds and back without
// overflow.
const neverConfirmedAge = 100 * 365 * 24 * time.Hour

// Age returns the time since the current revision was last confirmed, a hundred years when it never was.
func (n *Catalogue) Age(now time.Time) time.Duration {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.confirmedAt.IsZero() {
		return neverConfirmedAge
	}
	return now.Sub(n.confirmedAt)
}

// Changed returns a channel that is closed when the next higher revision is stored.
func (n *Catalogue) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}
