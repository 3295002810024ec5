// Package shift simulates seeded moves of traffic to new versions that are good or that fail in several ways.
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
	"github.com/dragonflyroute/dragonflyroute/coordination/split"
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
	// Good is as reliable as the old version.
	Good = "good"
	// Noisy is as reliable as the old version; both fail more often than with Good.
	Noisy = "good-with-noise"
	// Failing returns errors from the start.
	Failing = "bad-at-once-failing"
	// Slow exceeds the latency limits from the start; it is simulated like Failing.
	Slow = "bad-at-once-slow"
	// BadLater degrades after a number of requests.
	BadLater = "bad-later"
	// BadUnderLoad degrades while it gets overloadShare of the traffic or more.
	BadUnderLoad = "bad-under-load"
	// BadOnOneRoute fails on a single route.
	BadOnOneRoute = "bad-on-one-route"
)

// The strategies of a move.
const (
	// Product uses the mover of package coordination/mover.
	Product = "product"
	// FixedSteps raises the share in fixed steps and rolls back when the error rate exceeds a threshold.
	FixedSteps = "fixed-steps"
	// AllAtOnce moves all traffic in one step and rolls back when the error rate exceeds a threshold.
	AllAtOnce = "all-at-once"
)

// TimeLimit is the time from the start of a move to its finish-by time.
const TimeLimit = 10 * time.Minute

const (
	hosts        = 7
	routes       = 4
	moveStep     = 500 * time.Millisecond
	trafficStep  = 250 * time.Millisecond
	leaseTerm    = 5 * time.Second
	storeLatency = 3 * time.Millisecond
	// goodErrorRate and noisyErrorRate are the error rates of the old version and of a good new one.
	goodErrorRate  = 0.002
	noisyErrorRate = 0.02
	// overloadShare is the share of the traffic from which a version of kind BadUnderLoad is bad.
	overloadShare = 0.3
	// rollbackMargin is the difference in error rates beyond which the baseline strategies roll back.
	rollbackMargin = 0.05
	// alpha, margin and exposure have the daemon's values.
	alpha    = 0.001
	margin   = 0.02
	exposure = 0.02
)

// Simulation is one simulated move.
type Simulation struct {
	// Seed determines the whole run.
	Seed uint64
	// Kind is the kind of the new version.
	Kind string
	// Strategy is how traffic is moved: Product, FixedSteps or AllAtOnce.
	Strategy string
	// Rate is the number of requests per second over all entry hosts.
	Rate float64
	// KillMover kills the process that leads the move once, at a random time.
	KillMover bool

	// ResponseLoss is the probability that an entry host's response to the mover is lost.
	ResponseLoss float64

	// Done reports whether the move completed.
	Done bool
	// RolledBack reports whether the move was rolled back.
	RolledBack bool
	// Reason is the recorded reason of a rollback.
	Reason string
	// Elapsed is the time from the start of the move to its end.
	Elapsed time.Duration
	// Requests counts the requests of the move.
	Requests int
	// ExposedRequests counts the requests that the new version served while it was bad.
	ExposedRequests int
	// ExposedAfterEvidence counts the requests that the new version served after the trials of all hosts together were
	// significant evidence against it.
	ExposedAfterEvidence int

	sched         *sched.Sched
	store         *store.Store
	processes     []*process
	weights       [routes]float64
	badRoute      int
	badErrorRate  float64
	badAfter      int
	newRequests   int
	evident       bool
	ended         bool
	baselineShare float64
	started       time.Time
	finishBy      time.Time
}

// process is one entry host; leads reports that it has collected trials as the leader of the move.
type process struct {
	id        host.ID
	catalogue *newest.Catalogue
	trials    *trials.Trials
	splitter  *split.Splitter
	mover     *mover.Mover
	leads     bool
}

// Run simulates the move and sets its results.
func (s *Simulation) Run() {
	s.sched = sched.New(s.Seed)
	s.store = &store.Store{Sched: s.sched, Latency: storeLatency}
	s.started = s.sched.Now()
	s.finishBy = s.started.Add(TimeLimit)
	s.drawParameters()
	for i := range hosts {
		p := &process{id: host.ID(fmt.Sprintf("entry-%d", i)), catalogue: &newest.Catalogue{}, trials: &trials.Trials{}}
		p.splitter = &split.Splitter{Moves: p.trials, Rand: s.sched.Rand.Float64}
		s.processes = append(s.processes, p)
	}
	s.sched.Go("operator", s.runOperator)
	s.sched.Run(2 * TimeLimit)
}

// drawParameters draws the routes' shares of the traffic and how, where and when the new version is bad.
func (s *Simulation) drawParameters() {
	sum := 0.0
	for i := range s.weights {
		s.weights[i] = 0.1 + s.sched.Rand.Float64()
		sum += s.weights[i]
	}
	for i := range s.weights {
		s.weights[i] /= sum
	}
	s.badRoute = s.sched.Rand.IntN(routes)
	s.badErrorRate = 0.3 + 0.7*s.sched.Rand.Float64()
	s.badAfter = 200 + s.sched.Rand.IntN(2000)
}

const service label.Name = "service"

// runOperator stores a catalogue, starts the move and all actors, and waits for the end of the move.
func (s *Simulation) runOperator() {
	e := s.edits("operator")
	first := &catlog.Catalogue{Entries: []entry.Entry{{Name: service, Version: "v1"}}}
	if _, err := e.Put(context.Background(), first, 0); err != nil {
		return
	}
	if _, err := e.StartMove(context.Background(), service, "v2", s.finishBy); err != nil {
		return
	}
	s.propagate(e)
	for _, p := range s.processes {
		if s.Strategy == Product {
			s.startMover(p, 1)
		}
		s.sched.Go("traffic", func() { s.generateTraffic(p) })
	}
	if s.Strategy != Product {
		s.sched.Go("twin", s.runBaseline)
	}
	if s.KillMover {
		s.sched.Go("nemesis", s.killLeader)
	}
	s.watchMove(e)
}

// watchMove ends the simulation once the table records the end of the move, or when the move is overdue by three
// lease terms.
func (s *Simulation) watchMove(e *edits.Edits) {
	for !s.ended {
		s.sched.Sleep(moveStep)
		s.propagate(e)
		m := s.processes[0].catalogue.Current().Move(service)
		if !m.Ended() {
			s.ended = s.sched.Now().After(s.finishBy.Add(leaseTerm * 3))
			continue
		}
		s.Elapsed = s.sched.Now().Sub(s.started)
		s.Reason = m.Reason
		s.Done, s.RolledBack = m.State == move.Done, m.State == move.RolledBack
		s.ended = true
	}
	for _, p := range s.processes {
		s.sched.Kill(string(p.id))
	}
}

// propagate copies the newest catalogue and the withdrawn moves to all entry hosts, in place of heartbeats.
func (s *Simulation) propagate(e *edits.Edits) {
	head, err := e.Head(context.Background())
	if err != nil {
		return
	}
	for _, p := range s.processes {
		p.catalogue.Offer(head)
		for _, q := range s.processes {
			for _, id := range q.trials.AllWithdrawn() {
				p.trials.Withdraw(id)
			}
		}
	}
}

// edits returns a client of the catalogue with deterministic write ids.
func (s *Simulation) edits(name string) *edits.Edits {
	n := 0
	return &edits.Edits{Store: s.store, Now: s.sched.Now, NewID: func() string {
		n++
		return fmt.Sprintf("%s/%d", name, n)
	}}
}

func (s *Simulation) startMover(p *process, incarnation int64) {
	name := fmt.Sprintf("%s/%d", p.id, incarnation)
	m := &mover.Mover{
		Catalogue: p.catalogue,
		Trials:    p.trials,
		Edits:     s.edits(name),
		Peers:     &peerTrials{sim: s, self: p},
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
		for !s.ended {
			m.Step(context.Background())
			s.sched.Sleep(moveStep)
		}
	})
}

// peerTrials collects the trials of the other entry hosts for one host's mover.
type peerTrials struct {
	sim  *Simulation
	self *process
}

// Trials returns the trials of a move by entry host, except those whose response is lost. Only the leader of a move
// calls it, so the call marks the host as leading.
func (s *peerTrials) Trials(_ context.Context, id string) map[string][]trial.Trial {
	s.self.leads = true
	out := map[string][]trial.Trial{}
	for _, p := range s.sim.processes {
		if p != s.self && (s.sim.ResponseLoss == 0 || !s.sim.sched.Chance(s.sim.ResponseLoss)) {
			out[string(p.id)] = p.trials.ByRoute(id)
		}
	}
	return out
}

// killLeader kills the leading process at a random time and restarts it without its own trials.
func (s *Simulation) killLeader() {
	s.sched.Jitter(time.Minute)
	for _, p := range s.processes {
		if p.leads && !s.ended {
			s.sched.Kill(string(p.id))
			*p.trials = trials.Trials{}
			s.startMover(p, 2)
			return
		}
	}
}
