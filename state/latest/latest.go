// Package latest holds the latest era of the platform's store.
package latest

import (
	"sync"

	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/state/hooks"
)

// Era is the latest era of a store that a process has seen. The zero value is era 0. Methods may be called concurrently.
type Era struct {
	mu      sync.Mutex
	era     eras.Era
	changes hooks.Hooks
}

// Get returns the latest era.
func (l *Era) Get() eras.Era {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

// Observe records that the store has named an era.
func (l *Era) Observe(e eras.Era) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e <= l.era {
		return
	}
	l.era = e
	l.changes.Run()
}

// OnChange has call called at the next change of the era, unless remove is called before. call must not block.
func (l *Era) OnChange(call func()) (remove func()) { return l.changes.Add(call) }
