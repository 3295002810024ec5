// Package depot keeps the endpoints of opaque requests by back end.
package depot

import (
	"cmp"
	"slices"
	"sync"

	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

// Depot holds the endpoints that a process knows.
//
// All methods may be called concurrently.
type Depot struct {
	mu        sync.RWMutex
	byID      map[endpt.ID]*target.Target
	byBackend map[label.Name][]*target.Target
	all       []*target.Target
}

// Put takes the newest row of an endpoint.
//
// A row with another address, version or start is another endpoint: the one before is gone.
func (d *Depot) Put(r roster.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byID == nil {
		d.byID = map[endpt.ID]*target.Target{}
	}
	old := d.byID[r.ID]
	if old != nil && same(old.Row(), &r) {
		old.SetRow(r)
		return
	}
	if old != nil {
		old.Leave()
	}
	d.byID[r.ID] = target.New(r)
	d.index()
}

func same(a, b *roster.Row) bool {
	return a.Address == b.Address && a.Version == b.Version && a.Backend == b.Backend && a.Born == b.Born
}

// Drop forgets an endpoint.
func (d *Depot) Drop(id endpt.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drop(id)
	d.index()
}

func (d *Depot) drop(id endpt.ID) {
	if t := d.byID[id]; t != nil {
		t.Leave()
		delete(d.byID, id)
	}
}

// Keep forgets every endpoint that is not listed.
func (d *Depot) Keep(ids map[endpt.ID]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.byID {
		if !ids[id] {
			d.drop(id)
		}
	}
	d.index()
}

func (d *Depot) index() {
	d.byBackend = map[label.Name][]*target.Target{}
	d.all = nil
	for _, t := range d.byID {
		d.all = append(d.all, t)
	}
	slices.SortFunc(d.all, func(a, b *target.Target) int { return cmp.Compare(a.Row().ID, b.Row().ID) })
	for _, t := range d.all {
		name := t.Row().Backend
		d.byBackend[name] = append(d.byBackend[name], t)
	}
}

// Of returns the endpoints of a back end, sorted by id; the caller must not change the slice.
func (d *Depot) Of(backend label.Name) []*target.Target {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byBackend[backend]
}

// Get returns an endpoint, or nil.
func (d *Depot) Get(id endpt.ID) *target.Target {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byID[id]
}

// All returns every endpoint, sorted by id; the caller must not change the slice.
func (d *Depot) All() []*target.Target {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.all
}
