// Package latest holds the latest era of the platform's store.
package latest

import (
	"sync"

	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
)

// Era is the latest era of a store that a process has seen. The zero value is era 0. Methods may be called concurrently.
type Era struct {
	mu  sync.Mutex
	era eras.Era
	// onChange holds what is called at the next change, by registration number.
	onChange map[int]func()
	next     int
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
	for _, call := range l.onChange {
		call()
	}
	l.onChange = nil
}

// OnChange has call called at the next change of the era, unless remove is called before. call must not block.
func (l *Era) OnChange(call func()) (remove func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.onChange == nil {
		l.onChange = map[int]func(){}
	}
	l.next++
	id := l.next
	l.onChange[id] = call
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.onChange, id)
	}
}
