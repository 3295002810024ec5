// Package census keeps the endpoints as the platform's list tells them.
package census

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/depot"
)

// returnGrace is how long after an outage of the list an endpoint may still be missing before it is taken as gone.
const returnGrace = 1900 * time.Millisecond

// Census takes rows of the list into the depot.
//
// Rows that lapsed while the list was away come back shortly after its return; until then a missing endpoint is used
// on. A row that can't be read names no endpoint. Methods may be called concurrently.
type Census struct {
	// Depot holds the endpoints.
	Depot *depot.Depot
	// Decode reads the row that an endpoint wrote under its id.
	Decode func(id string, data []byte) (roster.Row, error)
	// Now returns the time.
	Now func() time.Time
	// Reclaimed is told when an endpoint is about to be reclaimed; nil is not told.
	Reclaimed func()
	// Log takes a line for each change of what is believed.
	Log hclog.Logger

	mu         sync.Mutex
	graceUntil time.Time
	missing    map[endpt.ID]bool
	unreadable map[string]bool
	states     map[endpt.ID]string
}

// Regained tells that the list answers again after an outage, and how long ago it did.
func (c *Census) Regained(outage, ago time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.graceUntil = c.Now().Add(returnGrace - ago)
	c.Log.Info("missing endpoints are kept for a while", "outage-ms", outage.Milliseconds(), "for-ms", (returnGrace - ago).Milliseconds())
}

// Whole takes the whole list.
func (c *Census) Whole(rows []record.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := map[endpt.ID]bool{}
	for _, r := range rows {
		if c.put(r) {
			listed[endpt.ID(r.Key)] = true
		}
	}
	for _, t := range c.Depot.All() {
		if id := t.Row().ID; !listed[id] {
			c.unlisted(id)
		}
	}
}

// Changed takes changed rows.
func (c *Census) Changed(rows []record.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range rows {
		if !c.put(r) {
			c.unlisted(endpt.ID(r.Key))
		}
	}
}

// Step drops the endpoints that did not come back in time.
func (c *Census) Step() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Now().Before(c.graceUntil) {
		return
	}
	for id := range c.missing {
		c.remove(id, "it did not come back after the outage of the list")
	}
	c.missing = nil
}

// put takes one row and reports whether it names an endpoint.
func (c *Census) put(r record.Record) bool {
	if r.Dropped {
		return false
	}
	row, err := c.Decode(r.Key, r.Value)
	if err != nil {
		c.logUnreadable(r.Key, r.Version, err)
		return false
	}
	delete(c.unreadable, r.Key)
	delete(c.missing, row.ID)
	c.Depot.Put(row)
	c.recordState(row, r.Version)
	return true
}

// logUnreadable logs a row that can't be read, once.
func (c *Census) logUnreadable(key string, version int64, err error) {
	if c.unreadable == nil {
		c.unreadable = map[string]bool{}
	}
	if !c.unreadable[key] {
		c.Log.Warn("row names no endpoint", "key", key, "version", version, "error", err)
	}
	c.unreadable[key] = true
}

func (c *Census) recordState(row roster.Row, version int64) {
	if c.states == nil {
		c.states = map[endpt.ID]string{}
	}
	if c.states[row.ID] != row.State {
		c.states[row.ID] = row.State
		if row.Reclaimable && row.State == roster.Leaving && c.Reclaimed != nil {
			c.Reclaimed()
		}
		c.Log.Info("endpoint listed", "endpoint", row.ID, "state", row.State, "backend", row.Backend, "endpoint-version", row.Version,
			"address", row.Address, "data-centre", row.DataCentre, "reclaimable", row.Reclaimable, "notice-ms", row.NoticeMillis, "version", version)
	}
}

func (c *Census) unlisted(id endpt.ID) {
	t := c.Depot.Get(id)
	if t == nil {
		return
	}
	if c.Now().Before(c.graceUntil) && !t.Leaving() {
		if c.missing == nil {
			c.missing = map[endpt.ID]bool{}
		}
		c.missing[id] = true
		return
	}
	c.remove(id, "its row is gone")
}

func (c *Census) remove(id endpt.ID, reason string) {
	if t := c.Depot.Get(id); t != nil && t.Row().Reclaimable && c.Reclaimed != nil {
		c.Reclaimed()
	}
	c.Depot.Drop(id)
	delete(c.states, id)
	c.Log.Info("endpoint gone", "endpoint", id, "reason", reason)
}
