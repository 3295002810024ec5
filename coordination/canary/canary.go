// Package canary splits a back end's requests between two versions during a move that the operator requested.
package canary

import (
	"slices"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/judge"
	"github.com/dragonflyroute/dragonflyroute/protocol/ending"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/result"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
	"github.com/dragonflyroute/dragonflyroute/state/waits"
)

// Canary keeps the moves that the operator requested and the last known state of each.
//
// While a move's state is unknown, and after a withdrawal, all requests go to the old version. A version whose move was rolled
// back, or replaced before it was found good, is not the old one of the next move. All methods may be called concurrently.
type Canary struct {
	// Trials keeps this process's own evidence and the withdrawn moves.
	Trials *trials.Trials
	// Judge detects bad versions from this process's own evidence.
	Judge judge.Judge
	// Rand returns a number in [0, 1).
	Rand func() float64
	// Now returns the time.
	Now func() time.Time

	mu        sync.RWMutex
	requested map[label.Name]move.Move
	states    map[label.Name]move.Move
	// replaced holds, by entry, the requests that later ones have replaced since the state of a requested move was last known.
	replaced map[label.Name][]move.Move
	// oldWaits holds, by entry, how long callers of the old version have waited for answers during the requested move.
	oldWaits map[label.Name]*waits.Waits
}

// SetRequested sets the move that the operator requests for a back end: one without shares or state, whose entry
// is the back end's name.
func (c *Canary) SetRequested(m move.Move) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requested == nil {
		c.requested = map[label.Name]move.Move{}
	}
	before, ok := c.requested[m.Entry]
	if ok && before.ID == m.ID {
		return
	}
	if c.replaced == nil {
		c.replaced = map[label.Name][]move.Move{}
	}
	if ok {
		c.replaced[m.Entry] = append(c.replaced[m.Entry], before)
	}
	c.requested[m.Entry] = m
	if c.oldWaits == nil {
		c.oldWaits = map[label.Name]*waits.Waits{}
	}
	c.oldWaits[m.Entry] = &waits.Waits{}
}

// Requested returns the moves that the operator requested.
func (c *Canary) Requested() []move.Move {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []move.Move
	for _, m := range c.requested {
		out = append(out, m)
	}
	return out
}

// SetState sets the state of a move to the one that its leader has written, and reports whether it did: a state of an earlier
// version of the row, and another one of a move that has ended, change nothing.
func (c *Canary) SetState(m move.Move) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.states[m.Entry]
	if m.Version < known.Version || m.ID == known.ID && known.Ended() && m.State != known.State {
		return false
	}
	if c.states == nil {
		c.states = map[label.Name]move.Move{}
	}
	c.states[m.Entry] = m
	if m.ID == c.requested[m.Entry].ID {
		delete(c.replaced, m.Entry)
	}
	return true
}

// State returns the state of a move that its leader has written; ok is false when none is known.
func (c *Canary) State(backend label.Name, id string) (m move.Move, ok bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	m, ok = c.states[backend]
	return m, ok && m.ID == id
}

// Earlier returns what the moves of an entry before the requested one say of versions: the one that serves, empty while none is
// known to be good, and those that were not found good. The holder of the lease notes both in the requested move.
func (c *Canary) Earlier(entry label.Name) (proved label.Name, rejected []label.Name) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.earlier(entry)
}

// earlier implements Earlier. The caller holds c.mu.
func (c *Canary) earlier(entry label.Name) (proved label.Name, rejected []label.Name) {
	m, known := c.states[entry]
	requested := c.requested[entry]
	if known && m.ID == requested.ID {
		return m.From, m.Rejected
	}
	proved = m.From
	candidates := slices.Clone(m.Rejected)
	switch {
	case m.Proved():
		proved = m.To
	case known:
		candidates = append(candidates, m.To)
	}
	for _, later := range c.after(entry, m.ID) {
		candidates = append(candidates, later.To)
	}
	for _, version := range candidates {
		if version != proved && version != requested.To && !slices.Contains(rejected, version) {
			rejected = append(rejected, version)
		}
	}
	return proved, rejected
}

// after returns the replaced requests of an entry after the move with an id, all if it is not among them. The caller holds c.mu.
func (c *Canary) after(entry label.Name, id string) []move.Move {
	all := c.replaced[entry]
	i := slices.IndexFunc(all, func(m move.Move) bool { return m.ID == id })
	return all[i+1:]
}

// decision is the choice of a version for one request.
type decision struct {
	// Move is the id of the move for which the request is counted, empty for none.
	Move string
	// New reports whether the request goes to the new version.
	New bool

	newVersion label.Name
	// proved is the version that is known to be good, empty for none, and rejected lists those that were not found good.
	proved   label.Name
	rejected []label.Name
	active   bool
}

// Choose decides which version serves a request.
func (c *Canary) Choose(w *work.Request) decision {
	c.mu.RLock()
	requested, ok := c.requested[w.Backend]
	m := c.states[w.Backend]
	proved, rejected := c.earlier(w.Backend)
	c.mu.RUnlock()
	if !ok {
		return decision{}
	}
	d := decision{newVersion: requested.To, proved: proved, rejected: rejected, active: true}
	if m.ID != requested.ID || c.Trials.Withdrawn(requested.ID) {
		return d
	}
	switch m.State {
	case move.Done:
		d.New = true
	case move.Ramping:
		d.Move = m.ID
		d.New = c.Rand() < m.ShareOf(string(w.Route.Name))
	}
	return d
}

// Filter returns the endpoints of the chosen version, or those of the old version when the new one has none. The old version of a
// move back to the version that serves is the new one.
func (d decision) Filter(all []*target.Target) []*target.Target {
	if !d.active {
		return all
	}
	out := d.byVersion(all, d.New)
	if len(out) == 0 && (d.New || d.newVersion == d.proved) {
		return d.byVersion(all, !d.New)
	}
	return out
}

// byVersion returns the endpoints of the new version, or those of the old one: they are of no version that was not found good.
func (d decision) byVersion(all []*target.Target, isNew bool) []*target.Target {
	var out []*target.Target
	for _, t := range all {
		version := t.Row().Version
		if isNew && version == d.newVersion || !isNew && version != d.newVersion && !slices.Contains(d.rejected, version) {
			out = append(out, t)
		}
	}
	return out
}

// slowFactor is how many times as long as nearly all answers of the old version take a caller must have waited in vain for its
// leaving to speak against a version.
const slowFactor = 2

// Record counts the outcome of one attempt, and withdraws the move when this process's own evidence shows the new
// version to be bad. An outcome is good if the caller got a success in time.
//
// Attempts that tell nothing of the version are not counted: those that reached no endpoint, or a full one, and those whose
// caller left before an answer was due.
func (c *Canary) Record(d decision, t *target.Target, w *work.Request, r result.Result) {
	if d.Move == "" {
		return
	}
	isNew := t.Row().Version == d.newVersion
	if r.TimeToFirst > 0 && !isNew && succeeded(r) {
		c.waitsOf(w.Backend).Observe(w.Route.Name, r.TimeToFirst)
	}
	failed := r.Ending != ending.Delivered || isLate(w, r)
	switch {
	case failed && !c.tells(t, w, r):
		return
	case !failed && !succeeded(r):
		c.Trials.RecordDoubtful(d.Move, string(w.Route.Name), isNew)
	default:
		c.Trials.Record(d.Move, string(w.Route.Name), isNew, failed)
	}
	if _, worse := c.Judge.Bad(c.Trials.ByRoute(d.Move)); worse {
		c.Trials.Withdraw(d.Move)
	}
}

// succeeded reports whether the status of an answer is that of a success. Some of the others are the callers' doing: how many
// shows in the old version's share on the same route, at the same time.
func succeeded(r result.Result) bool { return r.Status == 0 || r.Status/100 == 2 }

// isLate reports whether an answer began later than its route aims at.
func isLate(w *work.Request, r result.Result) bool {
	return w.Route.TargetLatency > 0 && r.TimeToFirst > w.Route.TargetLatency
}

// tells reports whether a failed attempt tells something of the version. The rule is the same for both versions, so that what
// callers do shows in the counts of the old one, too.
func (c *Canary) tells(t *target.Target, w *work.Request, r result.Result) bool {
	switch {
	case r.Ending == ending.AddressReused:
		return false
	case r.Ending == ending.NotRun:
		return r.Status != 0 && !c.mayReject(t, r)
	case r.Ending != ending.CallerGone || isLate(w, r):
		return true
	case r.TimeToFirst > 0:
		return w.Route.TargetGap > 0 && r.Waited > w.Route.TargetGap
	default:
		due, known := c.dueWithin(w)
		return r.Sent && known && r.Waited > due
	}
}

// dueWithin returns the time within which an answer is due on either version: what the route aims at, or sooner by what the old
// version usually takes; ok is false while neither is known.
func (c *Canary) dueWithin(w *work.Request) (due time.Duration, ok bool) {
	aim := w.Route.TargetLatency
	usual, known := c.waitsOf(w.Backend).Usual(w.Route.Name)
	if known && (aim == 0 || slowFactor*usual < aim) {
		return slowFactor * usual, true
	}
	return aim, aim > 0
}

func (c *Canary) waitsOf(entry label.Name) *waits.Waits {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.oldWaits[entry]
}

// mayReject reports whether an endpoint may reject requests whatever its version: it is full, cold or about to stop, or limits
// its requests.
func (c *Canary) mayReject(t *target.Target, r result.Result) bool {
	now := c.Now()
	if t.Leaving() || t.Limit.InForce() || t.Warmup.Cold(now) {
		return true
	}
	if r.LoadKnown {
		return r.Waiting > 0 || r.Running >= r.Slots
	}
	running, _ := t.Outstanding(now)
	return running >= t.Slots()
}
