// Package syncer keeps the endpoint registry in sync with the platform's endpoint list.
package syncer

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/endreg"
)

const (
	// returnGrace is how long after an outage of the list an endpoint may still be missing before it is removed.
	returnGrace = 1900 * time.Millisecond
	// maxGone bounds the endpoints that are remembered as gone.
	maxGone = 4_096
)

// Syncer applies rows of the endpoint list to the registry.
//
// Rows that expired while the list was unavailable are written again shortly after its recovery, so that a missing
// endpoint stays in use during a grace period. A row that can't be decoded counts as missing, and so does one without the
// endpoint's start if the endpoint has named it: it is another writer's.
//
// When the store is restored from a copy, rows return that are older than what this process knows: of endpoints that have
// left or have been started anew since. Such a row is not used unless it is written again, or is still there after the
// time in which the platform removes the row of an endpoint that is silent. Methods may be called concurrently.
type Syncer struct {
	// Registry is the registry of endpoints.
	Registry *endreg.Registry
	// Decode decodes the row that an endpoint wrote under its id.
	Decode func(id string, data []byte) (roster.Row, error)
	// Expiry is the time after which the platform has removed the row of an endpoint that is silent.
	Expiry time.Duration
	// Now returns the time.
	Now func() time.Time
	// OnReclaim is called when a reclaimable endpoint announces that it leaves, and when one is removed; may be nil.
	OnReclaim func()
	// Log takes one line for each change of an endpoint's state.
	Log hclog.Logger

	mu sync.Mutex
	// graceUntil is the end of the grace period after an outage of the list.
	graceUntil time.Time
	// missing holds the endpoints that are kept only until graceUntil.
	missing map[endpt.ID]bool
	// version is the highest version of a row seen.
	version int64
	// gone holds the start times of endpoints that were removed, in Unix milliseconds, by id.
	gone map[endpt.ID]int64
	// returned holds the rows of such endpoints that returned with a restore of the store, and returnedUntil is when those
	// that are still listed are used.
	returned      map[endpt.ID]record.Record
	returnedUntil time.Time
	// unreadable holds the keys of the rows that were logged as not decodable.
	unreadable map[string]bool
	// states holds the endpoints' states as last logged.
	states map[endpt.ID]string
}

// Recovered starts the grace period after an outage of the list; ago is the time since the list answered again.
func (s *Syncer) Recovered(outage, ago time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.graceUntil = s.Now().Add(returnGrace - ago)
	s.Log.Info("endpoint list available again; keeping missing endpoints for a grace period", "outage-ms", outage.Milliseconds(), "for-ms", (returnGrace - ago).Milliseconds())
}

// Replace applies a snapshot of the list; endpoints that are not in it are missing.
func (s *Syncer) Replace(rows []record.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returned = nil
	restored := s.restored(rows)
	if restored {
		s.returnedUntil = s.Now().Add(s.Expiry)
	}
	listed := map[endpt.ID]bool{}
	for _, r := range rows {
		if s.outdated(r) && s.Now().Before(s.returnedUntil) {
			s.hold(r)
			continue
		}
		if s.put(r) {
			listed[endpt.ID(r.Key)] = true
		}
	}
	for _, t := range s.Registry.All() {
		if id := t.Row().ID; !listed[id] {
			s.unlisted(id)
		}
	}
}

// restored reports whether rows show that the store was restored since the last rows, and notes their version.
func (s *Syncer) restored(rows []record.Record) bool {
	before := s.version
	for _, r := range rows {
		s.version = max(s.version, r.Version)
	}
	return before > 0 && eras.Of(s.version) > eras.Of(before)
}

// outdated reports whether a row describes an endpoint that has been removed, or an earlier start of one that is listed.
func (s *Syncer) outdated(r record.Record) bool {
	row, err := s.Decode(r.Key, r.Value)
	if err != nil || row.StartMillis == 0 {
		return false
	}
	if t := s.Registry.Get(row.ID); t != nil {
		return row.StartMillis < t.Row().StartMillis
	}
	started, gone := s.gone[row.ID]
	return gone && row.StartMillis <= started
}

// hold keeps a row of an endpoint that has left until it shows whether the endpoint is there.
func (s *Syncer) hold(r record.Record) {
	if s.returned == nil {
		s.returned = map[endpt.ID]record.Record{}
	}
	s.returned[endpt.ID(r.Key)] = r
	s.Log.Info("row of an endpoint that has left returned with the restored list; not using it until it is written again", "endpoint", r.Key, "version", r.Version)
}

// Apply applies changed rows. They were written in the store's present era.
func (s *Syncer) Apply(rows []record.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		s.version = max(s.version, r.Version)
		delete(s.returned, endpt.ID(r.Key))
		if !s.put(r) {
			s.unlisted(endpt.ID(r.Key))
		}
	}
}

// Expire removes the endpoints that are still missing at the end of the grace period, and uses those that returned with a
// restore of the store and are still listed.
func (s *Syncer) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.useReturned()
	if s.Now().Before(s.graceUntil) {
		return
	}
	for id := range s.missing {
		s.remove(id, "not listed again within the grace period after the list's outage")
	}
	s.missing = nil
}

// useReturned uses the endpoints whose rows returned with a restore, once the platform has had the time to remove them.
func (s *Syncer) useReturned() {
	if s.Now().Before(s.returnedUntil) {
		return
	}
	for _, r := range s.returned {
		s.put(r)
	}
	s.returned = nil
}

// Equivalent reports whether two values of an endpoint's row decode to the same, or neither can be decoded.
func (s *Syncer) Equivalent(key string, a, b []byte) bool {
	old, oldErr := s.Decode(key, a)
	updated, err := s.Decode(key, b)
	if oldErr != nil || err != nil {
		return oldErr != nil && err != nil
	}
	if old.ColdMillis >= updated.ColdMillis && updated.ColdMillis > 0 {
		// The time that is left of the same start shrinks with each write.
		updated.ColdMillis = old.ColdMillis
	}
	return old == updated
}

// put applies one row and reports whether it holds an endpoint.
func (s *Syncer) put(r record.Record) bool {
	if r.Deleted {
		return false
	}
	row, err := s.Decode(r.Key, r.Value)
	if err == nil && row.StartMillis == 0 && s.startKnown(row.ID) {
		err = fault.New(kind.BadRequest, "born", "is missing in the row of endpoint %s, which has named its start", row.ID)
	}
	if err != nil {
		s.logUnreadable(r.Key, r.Version, err)
		return false
	}
	delete(s.unreadable, r.Key)
	delete(s.missing, row.ID)
	delete(s.gone, row.ID)
	s.Registry.Put(row)
	s.recordCold(row)
	s.recordState(row, r.Version)
	return true
}

// recordCold records that the row of an endpoint says that it is cold.
func (s *Syncer) recordCold(row roster.Row) {
	t := s.Registry.Get(row.ID)
	if row.ColdMillis == 0 || t == nil {
		return
	}
	now := s.Now()
	if !t.Warmup.Cold(now) {
		s.Log.Info("endpoint is cold", "endpoint", row.ID, "backend", row.Backend, "for-ms", row.ColdMillis)
	}
	t.Warmup.Announced(time.Duration(row.ColdMillis)*time.Millisecond, now)
}

// startKnown reports whether the newest row of an endpoint named its start, also if it has been removed since.
func (s *Syncer) startKnown(id endpt.ID) bool {
	if t := s.Registry.Get(id); t != nil {
		return t.Row().StartMillis != 0
	}
	return s.gone[id] != 0
}

// logUnreadable logs a row that can't be decoded, once until it can be.
func (s *Syncer) logUnreadable(key string, version int64, err error) {
	if s.unreadable == nil {
		s.unreadable = map[string]bool{}
	}
	if !s.unreadable[key] {
		s.Log.Warn("endpoint row not decodable; not using the endpoint", "key", key, "version", version, "error", err)
	}
	s.unreadable[key] = true
}

// recordState logs a change of an endpoint's state and reports the start of a reclaim.
func (s *Syncer) recordState(row roster.Row, version int64) {
	if s.states == nil {
		s.states = map[endpt.ID]string{}
	}
	if s.states[row.ID] != row.State {
		s.states[row.ID] = row.State
		if row.Reclaimable && row.State == roster.Leaving && s.OnReclaim != nil {
			s.OnReclaim()
		}
		s.Log.Info("endpoint listed", "endpoint", row.ID, "state", row.State, "backend", row.Backend, "endpoint-version", row.Version,
			"address", row.Address, "data-centre", row.DataCentre, "reclaimable", row.Reclaimable, "notice-ms", row.NoticeMillis, "version", version)
	}
}

// unlisted removes an endpoint without a usable row; within the grace period, one that was not leaving is only noted as
// missing.
func (s *Syncer) unlisted(id endpt.ID) {
	t := s.Registry.Get(id)
	if t == nil {
		return
	}
	if s.Now().Before(s.graceUntil) && !t.Leaving() {
		if s.missing == nil {
			s.missing = map[endpt.ID]bool{}
		}
		if !s.missing[id] {
			s.Log.Info("endpoint not listed; kept for the rest of the grace period", "endpoint", id)
		}
		s.missing[id] = true
		return
	}
	s.remove(id, "no usable row in the list")
}

// remove deletes an endpoint from the registry.
func (s *Syncer) remove(id endpt.ID, reason string) {
	if t := s.Registry.Get(id); t != nil {
		s.noteGone(id, t.Row().StartMillis)
		if t.Row().Reclaimable && s.OnReclaim != nil {
			s.OnReclaim()
		}
	}
	s.Registry.Delete(id)
	delete(s.states, id)
	s.Log.Info("endpoint removed", "endpoint", id, "reason", reason)
}

// noteGone remembers the start time of an endpoint that is removed.
func (s *Syncer) noteGone(id endpt.ID, startMillis int64) {
	if s.gone == nil || len(s.gone) >= maxGone {
		s.gone = map[endpt.ID]int64{}
	}
	s.gone[id] = startMillis
}
