// Package endreg holds the endpoints that serve opaque requests, by id and by back end.
package endreg

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

// Registry holds the listed endpoints.
//
// All methods may be called concurrently.
type Registry struct {
	mu   sync.RWMutex
	byID map[endpt.ID]*target.Target
	// removed holds the reports of endpoints that are no longer listed, as they may be listed again.
	removed   map[endpt.ID]selfReport
	byBackend map[label.Name][]*target.Target
	all       []*target.Target
}

// selfReport holds what one incarnation of an endpoint has reported of itself to this process.
type selfReport struct {
	row             roster.Row
	leavingReported bool
	pausedUntil     time.Time
}

// maxRemoved bounds the endpoints whose reports are kept after their removal.
const maxRemoved = 4_096

// Put stores the newest row of an endpoint.
//
// A row with another address, version, back end or start time is a new incarnation, which replaces the old one. What an
// incarnation has reported of itself stays valid when its row was missing for a while.
func (d *Registry) Put(r roster.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byID == nil {
		d.byID = map[endpt.ID]*target.Target{}
	}
	old := d.byID[r.ID]
	if old != nil && sameIncarnation(old.Row(), &r) {
		old.SetRow(r)
		return
	}
	if old != nil {
		old.MarkLeaving()
	}
	t := target.New(r)
	if report, ok := d.removed[r.ID]; ok && sameIncarnation(&report.row, &r) {
		if report.leavingReported {
			t.RecordLeaving()
		}
		t.PauseUntil(report.pausedUntil)
	}
	delete(d.removed, r.ID)
	d.byID[r.ID] = t
	d.rebuildIndex()
}

// RecordLeaving records a peer's message that the incarnation of an endpoint that started at born is leaving. It reports
// whether that is the listed incarnation and was not known.
func (d *Registry) RecordLeaving(id endpt.ID, born int64) bool {
	t := d.Get(id)
	if t == nil || t.Row().StartMillis != born || t.LeavingReported() {
		return false
	}
	t.RecordLeaving()
	return true
}

func sameIncarnation(a, b *roster.Row) bool {
	return a.Address == b.Address && a.Version == b.Version && a.Backend == b.Backend && a.StartMillis == b.StartMillis
}

// Delete removes an endpoint.
func (d *Registry) Delete(id endpt.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remove(id)
	d.rebuildIndex()
}

func (d *Registry) remove(id endpt.ID) {
	t := d.byID[id]
	if t == nil {
		return
	}
	d.keepSelfReport(t)
	t.MarkLeaving()
	delete(d.byID, id)
}

func (d *Registry) keepSelfReport(t *target.Target) {
	if !t.LeavingReported() && t.PausedUntil().IsZero() {
		return
	}
	if d.removed == nil || len(d.removed) >= maxRemoved {
		d.removed = map[endpt.ID]selfReport{}
	}
	d.removed[t.Row().ID] = selfReport{row: *t.Row(), leavingReported: t.LeavingReported(), pausedUntil: t.PausedUntil()}
}

// Retain removes every endpoint whose id is not in ids.
func (d *Registry) Retain(ids map[endpt.ID]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.byID {
		if !ids[id] {
			d.remove(id)
		}
	}
	d.rebuildIndex()
}

func (d *Registry) rebuildIndex() {
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

// ByBackend returns the endpoints of a back end, sorted by id; the caller must not change the slice.
func (d *Registry) ByBackend(backend label.Name) []*target.Target {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byBackend[backend]
}

// Get returns an endpoint, nil when it is not listed.
func (d *Registry) Get(id endpt.ID) *target.Target {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byID[id]
}

// All returns every endpoint, sorted by id; the caller must not change the slice.
func (d *Registry) All() []*target.Target {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.all
}
