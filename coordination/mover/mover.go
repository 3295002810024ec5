// Package mover carries out version moves: it raises the new version's share of the traffic step by step, or rolls back.
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

type trialStore interface {
	Record(move, route string, isNew, bad bool) trial.Trial
	ByRoute(move string) []trial.Trial
	Withdraw(move string) bool
	Withdrawn(move string) bool
	Retain(moves []string)
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
	// Trials returns the trials of a move on other entry hosts that answer, by host.
	Trials(ctx context.Context, move string) map[string][]trial.Trial
}

// Mover steps the moves whose lease it holds as their leader, and withdraws bad ones on this host as soon as the
// process's own evidence suffices.
//
// Step must not be called concurrently; Record may be called concurrently at any time.
type Mover struct {
	// Catalogue holds the newest catalogue.
	Catalogue catalogue
	// Trials keeps the process's own evidence.
	Trials trialStore
	// Edits commits the steps of moves to the catalogue.
	Edits edits
	// Peers gathers the evidence of other hosts.
	Peers peers
	// Ramp decides the next step.
	Ramp ramp.Ramp
	// Leases keeps a lease for each entry with a move.
	Leases leases
	// Capacity returns the share of an entry's traffic, 0 to 1, that the endpoints of a version can carry; nil means all.
	Capacity func(entry, version label.Name) float64
	// Now returns the time.
	Now func() time.Time
	// Log receives one line for each step.
	Log hclog.Logger

	leading map[string]*leaderState

	mu     sync.Mutex
	alarms map[alarmKey]*alarm.Alarm
}

// ownHost is the key of this host's own trials in reports.
const ownHost = ""

// Step evaluates every move of the catalogue once.
func (m *Mover) Step(ctx context.Context) {
	c := m.Catalogue.Current()
	if c == nil {
		return
	}
	if m.leading == nil {
		m.leading = map[string]*leaderState{}
	}
	var known []string
	for _, mv := range c.Moves {
		known = append(known, mv.ID)
		m.stepOne(ctx, mv)
	}
	m.Trials.Retain(known)
	m.dropAlarms(known)
	for id := range m.leading {
		if !slices.Contains(known, id) {
			delete(m.leading, id)
		}
	}
}

func (m *Mover) stepOne(ctx context.Context, mv move.Move) {
	if mv.State == move.RolledBack {
		m.Trials.Withdraw(mv.ID)
	}
	if mv.Ended() {
		m.Leases.Release(ctx, leaseOf(mv))
		delete(m.leading, mv.ID)
		return
	}
	m.withdrawLocally(mv)
	if _, held := m.Leases.Step(ctx, leaseOf(mv)); !held {
		delete(m.leading, mv.ID)
		return
	}
	m.stepAsLeader(ctx, mv)
}

// leaseOf returns the key of the lease under which the move is stepped.
func leaseOf(mv move.Move) string { return "lease/mover/" + string(mv.Entry) }

// withdrawLocally withdraws the move on this host when the process's own evidence suffices; the heartbeat propagates the
// withdrawal to the peers.
func (m *Mover) withdrawLocally(mv move.Move) {
	if m.Trials.Withdrawn(mv.ID) {
		return
	}
	if reason, bad := m.Ramp.Judge.Bad(m.Trials.ByRoute(mv.ID)); bad {
		m.Trials.Withdraw(mv.ID)
		m.Log.Warn("version withdrawn on this host on its own evidence; requests go to the old version", "move", mv.ID, "entry", mv.Entry, "version", mv.To, "reason", reason)
	}
}

func (m *Mover) stepAsLeader(ctx context.Context, mv move.Move) {
	next := m.next(mv, m.gather(ctx, mv))
	if reflect.DeepEqual(next, mv) {
		return
	}
	if next.State == move.RolledBack && m.Trials.Withdraw(mv.ID) {
		m.Log.Warn("version withdrawn; rolling the move back", "move", mv.ID, "entry", mv.Entry, "version", mv.To, "reason", next.Reason)
	}
	m.commit(ctx, next)
}

// gather requests the other hosts' trials, and returns the totals of all that were reported since this process has led
// the move.
func (m *Mover) gather(ctx context.Context, mv move.Move) []trial.Trial {
	l := m.leading[mv.ID]
	if l == nil {
		l = &leaderState{reports: reports{}, stages: map[string]*stage{}}
		m.leading[mv.ID] = l
	}
	for host, trials := range m.Peers.Trials(ctx, mv.ID) {
		l.reports.record(host, trials)
	}
	l.reports.record(ownHost, m.Trials.ByRoute(mv.ID))
	return l.reports.total()
}

func (m *Mover) next(mv move.Move, total []trial.Trial) move.Move {
	if m.Trials.Withdrawn(mv.ID) {
		reason, bad := m.Ramp.Judge.Bad(total)
		if !bad {
			reason = "an entry host stopped the version on its own evidence"
		}
		return ramp.RolledBack(mv, reason)
	}
	stages, raised := m.updateStages(mv, total)
	if raised != "" {
		return ramp.RolledBack(mv, "route "+raised+" turned bad on the new version")
	}
	return m.limitToCapacity(mv, m.Ramp.Next(mv, total, stages, m.Now()))
}

// limitToCapacity limits the next share to what the new version's endpoints can carry, but not below the current share.
func (m *Mover) limitToCapacity(mv, next move.Move) move.Move {
	if m.Capacity == nil || next.State != move.Ramping || next.Share <= mv.Share {
		return next
	}
	capacity := m.Capacity(mv.Entry, mv.To)
	if capacity >= next.Share {
		return next
	}
	scale := capacity / next.Share
	var routes []share.Share
	for _, r := range next.Routes {
		routes = append(routes, share.Share{Name: r.Name, Fraction: max(mv.ShareOf(r.Name), scale*r.Fraction)})
	}
	next.Routes = routes
	next.Share = max(mv.Share, capacity)
	return next
}

// commit writes the step with the lease's fencing number, after checking that the lease is still held.
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
		m.Log.Warn("cannot commit the step of a move; the next round evaluates it again", "move", next.ID, "error", err)
		return
	}
	m.Log.Info("committed a step of a move", "move", got.ID, "entry", got.Entry, "version", got.To, "share", got.Share, "state", got.State, "reason", got.Reason)
	if head, err := m.Edits.Head(ctx); err == nil {
		m.Catalogue.Offer(head)
	}
}
