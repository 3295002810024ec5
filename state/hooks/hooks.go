// Package hooks keeps functions to be called at the next event.
package hooks

import "sync"

// Hooks holds functions that wait for one event. The zero value holds none. Methods may be called concurrently.
type Hooks struct {
	mu    sync.Mutex
	calls map[int]func()
	next  int
}

// Add has call called at the next event, unless remove is called before. call must not block.
func (h *Hooks) Add(call func()) (remove func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.calls == nil {
		h.calls = map[int]func(){}
	}
	h.next++
	id := h.next
	h.calls[id] = call
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.calls, id)
	}
}

// Run calls the functions and forgets them.
func (h *Hooks) Run() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, call := range h.calls {
		call()
	}
	h.calls = nil
}
