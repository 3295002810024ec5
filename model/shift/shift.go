// Package shift plays seeded version moves against versions that are good or bad in several ways.
package shift

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/edits"
	"github.com/dragonflyroute/dragonflyroute/coordination/elect"
	"github.com/dragonflyroute/dragonflyroute/coordination/judge"
	"github.com/dragonflyroute/dragonflyroute/coordination/leases"
	"github.com/dragonflyroute/dragonflyroute/coordination/mover"
	"github.com/dragonflyroute/dragonflyroute/coordination/ramp"
	"github.com/dragonflyroute/dragonflyroute/coordination/steer"
	"github.com/dragonflyroute/dragonflyroute/model/sched"
	"github.com/dragonflyroute/dragonflyroute/model/store"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
	"github.com/dragonflyroute/dragonflyroute/state/newest"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
)

// The kinds of new versions.
const (
	Good    = "good"
	Noisy   = "good-with-noise"
	Failing = "bad-at-once-failing"
	Slow    = "bad-at-once-slow"
	Later   = "bad-later"
	Load    = "bad-under-load"
	Route   = "bad-on-one-route"
)

// The ways to move.
const (
	// Product uses the product's own mover.
	Product = "product"
	// Clock raises the share in fixed steps and takes it back over a threshold.
	Clock = "fixed-steps"
	// AtOnce moves all traffic and takes it back over a threshold.
	AtOnce = "all-at-once"
)

// Given is the time that a move is given.
const Given = 10 * time.Minute

const (
	hosts        = 7
	routes       = 4
	moveStep     = 500 * time.Millisecond
	traffic      = 250 * time.Millisecond
	leaseTerm    = 5 * time.Second
	storeLatency = 3 * time.Millisecond
	goodRate     = 0.002
	noisyRate    = 0.02
	loadShare    = 0.3
	clockMargin  = 0.05
	// alpha, margin and exposure are those of the daemon.
	alpha    = 0.001
	margin   = 0.02
	exposure = 0.02
)

// Shift is one move.
type Shift struct {
	// Seed decides everything.
	Seed uint64
	// Kind is the kind of the new version.
	Kind string
	// Way is how traffic is moved.
	Way string
	// Rate is requests per second over all entry hosts.
	Rate float64
	// KillMover kills the process that leads the move, once.
	KillMover bool

	// LoseAnswers is the part of the hosts' answers to the mover that are lost.
	LoseAnswers float64

	// Done tells that the move was done by its time.
	Done bool
	// TakenBack tells that the move was taken back by its time.
	TakenBack bool
	// Reason says why the move was taken back.
	Reason string
	// Took is the time that the move took.
	Took time.Duration
	// Requests counts the requests of the move.
	Requests int
	// MetBad counts those that met the new version while it was bad.
	MetBad int
	// AfterShown counts those that met it after the evidence of all hosts stood.
	AfterShown int

	sched     *sched.Sched
	store     *store.Store
	processes []*process
	weights   [routes]float64
	badRoute  int
	badRate   float64
	laterAt   int
	met       int
	shown     bool
	over      bool
	share     float64
	started   time.Time
	finishBy  time.Time
}

// process is one entry host.
type process struct {
	id     host.ID
	holder *newest.Catalogue
	score  *trials.Trials
	steer  *steer.Steer
	mover  *mover.Mover
	leads  bool
}

// Run plays the move.
func (s *Shift) Run() {
	s.sched = sched.New(s.Seed)
	s.store = &store.Store{Sched: s.sched, Latency: storeLatency}
	s.started = s.sched.Now()
	s.finishBy = s.started.Add(Given)
	s.draw()
	for i := range hosts {
		p := &process{id: host.ID(fmt.Sprintf("entry-%d", i)), holder: &newest.Catalogue{}, score: &trials.Trials{}}
		p.steer = &steer.Steer{Moves: p.score, Rand: s.sched.Rand.Float64}
		s.processes = append(s.processes, p)
	}
	s.sched.Go("operator", s.operate)
	s.sched.Run(2 * Given)
}

func (s *Shift) draw() {
	sum := 0.0
	for i := range s.weights {
		s.weights[i] = 0.1 + s.sched.Rand.Float64()
		sum += s.weights[i]
	}
	for i := range s.weights {
		s.weights[i] /= sum
	}
	s.badRoute = s.sched.Rand.IntN(routes)
	s.badRate = 0.3 + 0.7*s.sched.Rand.Float64()
	s.laterAt = 200 + s.sched.Rand.IntN(2000)
}

const service label.Name = "service"

func (s *Shift) operate() {
	e := s.edits("operator")
	first := &catlog.Catalogue{Entries: []entry.Entry{{Name: service, Version: "v1"}}}
	if _, err := e.Put(context.Background(), first, 0); err != nil {
		return
	}
	if _, err := e.StartMove(context.Background(), service, "v2", s.finishBy); err != nil {
		return
	}
	s.tell(e)
	for _, p := range s.processes {
		if s.Way == Product {
			s.startMover(p, 1)
		}
		s.sched.Go("traffic", func() { s.serve(p) })
	}
	if s.Way != Product {
		s.sched.Go("twin", s.twin)
	}
	if s.KillMover {
		s.sched.Go("nemesis", s.kill)
	}
	s.watch(e)
}

// watch ends the move when it has ended in the table.
func (s *Shift) watch(e *edits.Edits) {
	for !s.over {
		s.sched.Sleep(moveStep)
		s.tell(e)
		m := s.processes[0].holder.Current().Move(service)
		if !m.Ended() {
			s.over = s.sched.Now().After(s.finishBy.Add(leaseTerm * 3))
			continue
		}
		s.Took = s.sched.Now().Sub(s.started)
		s.Reason = m.Reason
		s.Done, s.TakenBack = m.State == move.Done, m.State == move.RolledBack
		s.over = true
	}
	for _, p := range s.processes {
		s.sched.Kill(string(p.id))
	}
}

// tell spreads the newest catalogue and the withdrawn moves, as heartbeats do.
func (s *Shift) tell(e *edits.Edits) {
	head, err := e.Head(context.Background())
	if err != nil {
		return
	}
	for _, p := range s.processes {
		p.holder.Offer(head)
		for _, q := range s.processes {
			for _, id := range q.score.AllWithdrawn() {
				p.score.Withdraw(id)
			}
		}
	}
}

func (s *Shift) edits(name string) *edits.Edits {
	n := 0
	return &edits.Edits{Store: s.store, Now: s.sched.Now, NewID: func() string {
		n++
		return fmt.Sprintf("%s/%d", name, n)
	}}
}

func (s *Shift) startMover(p *process, incarnation int64) {
	name := fmt.Sprintf("%s/%d", p.id, incarnation)
	m := &mover.Mover{
		Catalogue: p.holder,
		Trials:    p.score,
		Edits:     s.edits(name),
		Peers:     &evidence{shift: s, self: p},
		Ramp:      ramp.Ramp{Judge: judge.Judge{Alpha: alpha, Margin: margin}, Exposure: exposure},
		Now:       s.sched.Now,
		Log:       hclog.NewNullLogger(),
		Leases: &leases.Leases{Log: hclog.NewNullLogger(), New: func(key string) *elect.Elector {
			n := 0
			return &elect.Elector{Store: s.store, Key: key, Self: p.id, Incarnation: incarnation, Term: leaseTerm, Now: s.sched.Now, NewID: func() string {
				n++
				return fmt.Sprintf("lease/%s/%d", name, n)
			}}
		}},
	}
	p.mover = m
	s.sched.Go(string(p.id), func() {
		for !s.over {
			m.Step(context.Background())
			s.sched.Sleep(moveStep)
		}
	})
}

// evidence gathers the other hosts' trials.
type evidence struct {
	shift *Shift
	self  *process
}

// Trials returns the trials of a move on all other entry hosts; only a leader asks.
func (e *evidence) Trials(_ context.Context, id string) map[string][]trial.Trial {
	e.self.leads = true
	out := map[string][]trial.Trial{}
	for _, p := range e.shift.processes {
		if p != e.self && (e.shift.LoseAnswers == 0 || !e.shift.sched.Chance(e.shift.LoseAnswers)) {
			out[string(p.id)] = p.score.ByRoute(id)
		}
	}
	return out
}

// kill ends the leading process at a random time; its own evidence dies with it.
func (s *Shift) kill() {
	s.sched.Jitter(time.Minute)
	for _, p := range s.processes {
		if p.leads && !s.over {
			s.sched.Kill(string(p.id))
			*p.score = trials.Trials{}
			s.startMover(p, 2)
			return
		}
	}
}
