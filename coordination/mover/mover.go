// Package mover runs version moves.
package mover

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/alarm"
	"github.com/dragonflyroute/dragonflyroute/coordination/ramp"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/share"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

type catalogue interface {
	Current() *catlog.Catalogue
	Offer(c *catlog.Catalogue) bool
}

type scores interface {
	Record(move, route string, isNew, bad bool) trial.Trial
	Trials(move string) []trial.Trial
	Withdraw(move string) bool
	Withdrawn(move string) bool
	Keep(moves []string)
}

type edits interface {
	StepMove(ctx context.Context, id string, fence int64, step func(m *move.Move)) (move.Move, error)
	Head(ctx context.Context) (*catlog.Catalogue, error)
}

type leases interface {
	Step(ctx context.Context, key string) (fence int64, held bool)
	Held(key string) (fence int64, held bool)
	Release(ctx context.Context, key string)
}

type peers interface {
	// Evidence returns the trials of a move on other entry hosts that answer, by host.
	Evidence(ctx context.Context, move string) map[string][]trial.Trial
}

// Mover steps the moves whose lease it holds, and stops bad ones on the process's own evidence at once.
//
// Step must not be called concurrently; Record may be, at any time.
type Mover struct {
	// Catalogue holds the newest catalogue.
	Catalogue catalogue
	// Scores holds the process's own evidence.
	Scores scores
	// Edits commits steps.
	Edits edits
	// Peers gathers the other processes' evidence.
	Peers peers
	// Ramp decides steps.
	Ramp ramp.Ramp
	// Leases keeps a lease for each entry that moves.
	Leases leases
	// Room returns the part of an entry's traffic that the endpoints of a version can carry; nil means all.
	Room func(entry, version label.Name) float64
	// Now returns the time.
	Now func() time.Time
	// Log takes one line for each step.
	Log hclog.Logger

	led map[string]*lead

	mu     sync.Mutex
	alarms map[watched]*alarm.Alarm
}

const self = ""

// Step looks at every move under way once.
func (m *Mover) Step(ctx context.Context) {
	c := m.Catalogue.Current()
	if c == nil {
		return
	}
	if m.led == nil {
		m.led = map[string]*lead{}
	}
	var known []string
	for _, mv := range c.Moves {
		known = append(known, mv.ID)
		m.stepOne(ctx, mv)
	}
	m.Scores.Keep(known)
	m.forget(known)
	for id := range m.led {
		if !slices.Contains(known, id) {
			delete(m.led, id)
		}
	}
}

func (m *Mover) stepOne(ctx context.Context, mv move.Move) {
	if mv.State == move.TakenBack {
		m.Scores.Withdraw(mv.ID)
	}
	if mv.Ended() {
		m.Leases.Release(ctx, leaseOf(mv))
		delete(m.led, mv.ID)
		return
	}
	m.stopLocally(mv)
	if _, held := m.Leases.Step(ctx, leaseOf(mv)); !held {
		delete(m.led, mv.ID)
		return
	}
	m.lead(ctx, mv)
}

// leaseOf returns the key of the lease under which the move is stepped.
func leaseOf(mv move.Move) string { return "lease/mover/" + string(mv.Entry) }

// stopLocally withdraws the move here on the process's own evidence; the heartbeat tells the peers.
func (m *Mover) stopLocally(mv move.Move) {
	if m.Scores.Withdrawn(mv.ID) {
		return
	}
	if reason, bad := m.Ramp.Judge.Bad(m.Scores.Trials(mv.ID)); bad {
		m.Scores.Withdraw(mv.ID)
		m.Log.Warn("version stopped on own evidence", "move", mv.ID, "entry", mv.Entry, "version", mv.To, "reason", reason)
	}
}

func (m *Mover) lead(ctx context.Context, mv move.Move) {
	next := m.next(mv, m.gather(ctx, mv))
	if reflect.DeepEqual(next, mv) {
		return
	}
	if next.State == move.TakenBack && m.Scores.Withdraw(mv.ID) {
		m.Log.Warn("version withdrawn", "move", mv.ID, "entry", mv.Entry, "version", mv.To, "reason", next.Reason)
	}
	m.commit(ctx, next)
}

// gather asks the other hosts for their trials, and returns all that was heard since this process leads the move.
func (m *Mover) gather(ctx context.Context, mv move.Move) []trial.Trial {
	l := m.led[mv.ID]
	if l == nil {
		l = &lead{heard: heard{}, stages: map[string]*stage{}}
		m.led[mv.ID] = l
	}
	for host, trials := range m.Peers.Evidence(ctx, mv.ID) {
		l.heard.take(host, trials)
	}
	l.heard.take(self, m.Scores.Trials(mv.ID))
	return l.heard.total()
}

func (m *Mover) next(mv move.Move, total []trial.Trial) move.Move {
	if m.Scores.Withdrawn(mv.ID) {
		reason, bad := m.Ramp.Judge.Bad(total)
		if !bad {
			reason = "an entry host stopped the version on its own evidence"
		}
		return ramp.TakenBack(mv, reason)
	}
	stages, raised := m.look(mv, total)
	if raised != "" {
		return ramp.TakenBack(mv, "route "+raised+" turned bad on the new version")
	}
	return m.fit(mv, m.Ramp.Next(mv, total, stages, m.Now()))
}

// fit holds the next share back to what the new version's endpoints can carry, but not below the present one.
func (m *Mover) fit(mv, next move.Move) move.Move {
	if m.Room == nil || next.State != move.Ramping || next.Share <= mv.Share {
		return next
	}
	room := m.Room(mv.Entry, mv.To)
	if room >= next.Share {
		return next
	}
	part := room / next.Share
	var routes []share.Share
	for _, r := range next.Routes {
		routes = append(routes, share.Share{Name: r.Name, Share: max(mv.ShareOf(r.Name), part*r.Share)})
	}
	next.Routes = routes
	next.Share = max(mv.Share, room)
	return next
}

// commit writes the step under the lease's fencing number; the lease is checked again before the write.
func (m *Mover) commit(ctx context.Context, next move.Move) {
	fence, ok := m.Leases.Held(leaseOf(next))
	if !ok {
		return
	}
	got, err := m.Edits.StepMove(ctx, next.ID, fence, func(mv *move.Move) {
		mv.Share = next.Share
		mv.Routes = next.Routes
		mv.State = next.State
		mv.Reason = next.Reason
	})
	if err != nil {
		m.Log.Warn("move step failed", "move", next.ID, "error", err)
		return
	}
	m.Log.Info("move step", "move", got.ID, "entry", got.Entry, "version", got.To, "share", got.Share, "state", got.State, "reason", got.Reason)
	if head, err := m.Edits.Head(ctx); err == nil {
		m.Catalogue.Offer(head)
	}
}
