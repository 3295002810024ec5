// Package outbox holds the usage of other hosts until the store has taken it.
package outbox

import (
	"sync"

	"github.com/dragonflyroute/dragonflyroute/protocol/host"
)

// Outbox holds one row for each host, and knows which windows of each the store has taken.
//
// All methods may be called concurrently.
type Outbox[T any] struct {
	mu      sync.Mutex
	pending map[host.ID]item[T]
	stored  map[host.ID]int64
}

// item is a row and the newest window whose counts in it are final.
type item[T any] struct {
	Window int64
	Row    T
}

// Put adds a host's row, which replaces an older one, and returns the newest window of that host that the store has
// taken, 0 for none.
func (o *Outbox[T]) Put(from host.ID, window int64, row T) (stored int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if window > o.stored[from] {
		o.put(from, item[T]{Window: window, Row: row})
	}
	return o.stored[from]
}

// Take removes and returns at most limit rows, to be written to the store.
func (o *Outbox[T]) Take(limit int) map[host.ID]item[T] {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[host.ID]item[T]{}
	for id, row := range o.pending {
		if len(out) == limit {
			break
		}
		out[id] = row
		delete(o.pending, id)
	}
	return out
}

// Written records that the store has taken rows.
func (o *Outbox[T]) Written(rows map[host.ID]item[T]) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stored == nil {
		o.stored = map[host.ID]int64{}
	}
	for id, row := range rows {
		o.stored[id] = max(o.stored[id], row.Window)
	}
}

// Return puts rows back that the store did not take, except where a newer one has come.
func (o *Outbox[T]) Return(rows map[host.ID]item[T]) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, row := range rows {
		o.put(id, row)
	}
}

// put adds a row unless a newer one is pending. The caller holds o.mu.
func (o *Outbox[T]) put(from host.ID, row item[T]) {
	if old, ok := o.pending[from]; ok && old.Window > row.Window {
		return
	}
	if o.pending == nil {
		o.pending = map[host.ID]item[T]{}
	}
	o.pending[from] = row
}
