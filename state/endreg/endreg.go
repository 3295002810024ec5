// Package endreg holds the endpoints that serve opaque requests, by id and by back end.
package endreg

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/limits"
	"github.com/dragonflyroute/dragonflyroute/state/target"
	"github.com/dragonflyroute/dragonflyroute/state/warmup"
)

type warmer interface {
	// Time returns how long an endpoint of a back end is cold after its start, 0 if its requests are not limited then.
	Time(backend label.Name) time.Duration
	// Interval returns the least time between two requests of this process to a cold endpoint; ok is false if it must send
	// none.
	Interval(r *roster.Row) (interval time.Duration, ok bool)
}

// Registry holds the listed endpoints.
//
// All methods may be called concurrently.
type Registry struct {
	// Warmer limits the requests to cold endpoints; nil limits none. It is set before the first Put.
	Warmer warmer
	// InTouch reports whether some endpoint has answered this process a moment ago; nil means that one has. It is set before the
	// first Put.
	InTouch func(now time.Time) bool

	mu   sync.RWMutex
	byID map[endpt.ID]*target.Target
	// removed holds the reports of endpoints that are no longer listed, as they may be listed again.
	removed   map[endpt.ID]selfReport
	byBackend map[label.Name][]*target.Target
	all       []*target.Target
	// evacuated holds the data centres to whose endpoints no new work may be sent.
	evacuated map[centre.ID]bool
}

// selfReport holds what one incarnation of an endpoint has reported of itself to this process.
type selfReport struct {
	row             roster.Row
	leavingReported bool
	pausedUntil     time.Time
	limit           *limits.Limit
	warmup          *warmup.Warmup
}

// maxRemoved bounds the endpoints whose reports are kept after their removal.
const maxRemoved = 4_096

// Put stores the newest row of an endpoint.
//
// A row with another address, version, back end or start time is a new incarnation, which replaces the old one. What an
// incarnation has reported of itself stays valid when its row was missing for a while.
func (reg *Registry) Put(r roster.Row) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.byID == nil {
		reg.byID = map[endpt.ID]*target.Target{}
	}
	old := reg.byID[r.ID]
	if old != nil && sameIncarnation(old.Row(), &r) {
		old.SetRow(r)
		old.SetEvacuated(reg.evacuated[r.DataCentre])
		return
	}
	t := reg.newTarget(r)
	if old != nil {
		old.MarkLeaving()
		t.Warmup.Follow(old.Warmup)
	}
	report, ok := reg.removed[r.ID]
	switch {
	case ok && sameIncarnation(&report.row, &r):
		if report.leavingReported {
			t.RecordLeaving()
		}
		t.PauseUntil(report.pausedUntil)
		t.Limit, t.Warmup = report.limit, report.warmup
	case ok:
		t.Warmup.Follow(report.warmup)
	}
	delete(reg.removed, r.ID)
	reg.byID[r.ID] = t
	reg.rebuildIndex()
}

// newTarget returns the target of a new incarnation. The caller holds reg.mu.
func (reg *Registry) newTarget(r roster.Row) *target.Target {
	t := target.New(r)
	t.SetEvacuated(reg.evacuated[r.DataCentre])
	if reg.Warmer != nil {
		t.Warmup.Time = func() time.Duration { return reg.Warmer.Time(r.Backend) }
		t.Warmup.InTouch = reg.InTouch
		t.Warmup.Interval = func() (time.Duration, bool) { return reg.Warmer.Interval(&r) }
	}
	return t
}

// SetEvacuated replaces the data centres to whose endpoints no new work may be sent. The endpoints of one that is no longer
// evacuated count as just restarted: they may have become cold meanwhile.
func (reg *Registry) SetEvacuated(evacuated map[centre.ID]bool, now time.Time) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.evacuated = evacuated
	for _, t := range reg.all {
		isEvacuated := evacuated[t.Row().DataCentre]
		if t.SetEvacuated(isEvacuated) && !isEvacuated {
			t.Warmup.Restarted(now)
		}
	}
}

// Evacuated reports whether no new work may be sent to the endpoints of a data centre.
func (reg *Registry) Evacuated(in centre.ID) bool {
	reg.mu.RLock()
	defer reg.mu.RUnlock()
	return reg.evacuated[in]
}

// RecordLeaving records a peer's message that the incarnation of an endpoint that started at startMillis, in Unix
// milliseconds, is leaving. It reports whether that is the listed incarnation and was not yet known to be leaving.
func (reg *Registry) RecordLeaving(id endpt.ID, startMillis int64) bool {
	t := reg.Get(id)
	if t == nil || t.Row().StartMillis != startMillis || t.LeavingReported() {
		return false
	}
	t.RecordLeaving()
	return true
}

func sameIncarnation(a, b *roster.Row) bool {
	return a.Address == b.Address && a.Version == b.Version && a.Backend == b.Backend && a.StartMillis == b.StartMillis
}

// Delete removes an endpoint.
func (reg *Registry) Delete(id endpt.ID) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.remove(id)
	reg.rebuildIndex()
}

func (reg *Registry) remove(id endpt.ID) {
	t := reg.byID[id]
	if t == nil {
		return
	}
	reg.keepSelfReport(t)
	t.MarkLeaving()
	delete(reg.byID, id)
}

func (reg *Registry) keepSelfReport(t *target.Target) {
	if !t.LeavingReported() && t.PausedUntil().IsZero() && !t.Limit.InForce() && !t.Warmup.Active() {
		return
	}
	if reg.removed == nil || len(reg.removed) >= maxRemoved {
		reg.removed = map[endpt.ID]selfReport{}
	}
	reg.removed[t.Row().ID] = selfReport{row: *t.Row(), leavingReported: t.LeavingReported(), pausedUntil: t.PausedUntil(), limit: t.Limit, warmup: t.Warmup}
}

// Retain removes every endpoint whose id is not in ids.
func (reg *Registry) Retain(ids map[endpt.ID]bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for id := range reg.byID {
		if !ids[id] {
			reg.remove(id)
		}
	}
	reg.rebuildIndex()
}

func (reg *Registry) rebuildIndex() {
	reg.byBackend = map[label.Name][]*target.Target{}
	reg.all = nil
	for _, t := range reg.byID {
		reg.all = append(reg.all, t)
	}
	slices.SortFunc(reg.all, func(a, b *target.Target) int { return cmp.Compare(a.Row().ID, b.Row().ID) })
	for _, t := range reg.all {
		name := t.Row().Backend
		reg.byBackend[name] = append(reg.byBackend[name], t)
	}
}

// ByBackend returns the endpoints of a back end, sorted by id; the caller must not change the slice.
func (reg *Registry) ByBackend(backend label.Name) []*target.Target {
	reg.mu.RLock()
	defer reg.mu.RUnlock()
	return reg.byBackend[backend]
}

// Get returns an endpoint, nil when it is not listed.
func (reg *Registry) Get(id endpt.ID) *target.Target {
	reg.mu.RLock()
	defer reg.mu.RUnlock()
	return reg.byID[id]
}

// All returns every endpoint, sorted by id; the caller must not change the slice.
func (reg *Registry) All() []*target.Target {
	reg.mu.RLock()
	defer reg.mu.RUnlock()
	return reg.all
}
