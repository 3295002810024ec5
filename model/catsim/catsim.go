// Package catsim simulates seeded histories of catalogue changes and their propagation under injected faults.
package catsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/edits"
	"github.com/dragonflyroute/dragonflyroute/coordination/spread"
	"github.com/dragonflyroute/dragonflyroute/model/sched"
	"github.com/dragonflyroute/dragonflyroute/model/store"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/state/fleet"
	"github.com/dragonflyroute/dragonflyroute/state/newest"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
)

const (
	hosts            = 5
	operators        = 3
	editsPerOperator = 6
	heartbeatPeriod  = 50 * time.Millisecond
	tableReadPeriod  = 200 * time.Millisecond
	storeLatency     = 4 * time.Millisecond
	peerLatency      = 2 * time.Millisecond
	maxAge           = 400 * time.Millisecond
	convergenceTime  = 3 * time.Second
	historyTime      = time.Minute
	maxPause         = 500 * time.Millisecond
	maxPartition     = 4 * time.Second
	// staleBound is the time after which a process that lacks a change held by a majority must not serve any more.
	staleBound = maxAge + 2*heartbeatPeriod + maxPause
)

// History is one run: operators edit the catalogue concurrently, while entry hosts are killed, paused and
// partitioned and the table loses requests and responses.
type History struct {
	// Seed determines the whole run.
	Seed uint64

	// Accepted counts accepted changes.
	Accepted int
	// Conflicts counts changes that were refused because the revision had changed.
	Conflicts int
	// Lost counts accepted changes that aren't recorded in exactly one revision.
	Lost int
	// FalseConflicts counts the revisions that record a change refused as a conflict.
	FalseConflicts int
	// Reverts counts the steps of an entry host to a lower revision, also over restarts.
	Reverts int
	// Behind counts entry hosts without the newest revision convergenceTime after the faults have ended.
	Behind int
	// StaleServed counts the observations of an entry host that may serve although it has lacked a change held by a
	// majority for longer than staleBound.
	StaleServed int

	sched           *sched.Sched
	store           *store.Store
	processes       []*process
	accepted        []string
	conflicted      []string
	operatorsDone   int
	observerStopped bool
}

// process is one entry host, over all its incarnations.
type process struct {
	name        host.ID
	incarnation int64
	seq         int64
	// partitioned means that the process can reach only other partitioned ones, and not the table.
	partitioned bool
	// lastRevision is the highest revision observed.
	lastRevision int64
	// lastUpToDate is the last time at which the process held the majority's revision or wasn't allowed to serve.
	lastUpToDate time.Time
	catalogue    *newest.Catalogue
	spread       *spread.Gossip
	edits        *edits.Edits
}

// Run simulates the history and sets its results.
func (c *History) Run() {
	c.sched = sched.New(c.Seed)
	c.store = &store.Store{Sched: c.sched, Latency: storeLatency, RequestLoss: 0.05, ResponseLoss: 0.15, LateWrites: 0.05}
	for i := range hosts {
		p := &process{name: host.ID(fmt.Sprintf("entry-%d", i))}
		c.processes = append(c.processes, p)
		c.startProcess(p)
	}
	for i := range operators {
		c.sched.Go("operators", func() { c.runOperator(i) })
	}
	c.sched.Go("nemesis", c.injectFaults)
	c.sched.Go("observer", c.observe)
	c.sched.Run(historyTime)
	c.tally()
}

// startProcess starts the next incarnation of an entry host, which knows its peers but holds no catalogue.
func (c *History) startProcess(p *process) {
	p.incarnation++
	p.seq = 0
	p.catalogue = &newest.Catalogue{}
	n := 0
	incarnation := p.incarnation
	p.edits = &edits.Edits{Store: &partitionedStore{store: c.store, self: p}, Now: c.sched.Now, NewID: func() string {
		n++
		return fmt.Sprintf("%s/%d/%d", p.name, incarnation, n)
	}}
	f := &fleet.Fleet{Self: p.name, Timeout: 6 * heartbeatPeriod}
	p.spread = &spread.Gossip{
		Peers:     &network{history: c, self: p},
		Table:     p.edits,
		Fleet:     f,
		Catalogue: p.catalogue,
		Trials:    &trials.Trials{},
		Self:      func() beat.Heartbeat { return c.heartbeat(p) },
		Now:       c.sched.Now,
		Rand:      rand.New(rand.NewPCG(c.Seed, uint64(p.incarnation))),
		MaxAge:    maxAge,

		Started: c.sched.Now(),
	}
	for _, other := range c.processes {
		f.Observe(c.heartbeat(other), c.sched.Now().Add(-time.Hour))
	}
	s := p.spread
	c.sched.Go(string(p.name), func() {
		for {
			c.round(s)
			c.sched.Jitter(2 * heartbeatPeriod)
		}
	})
	c.sched.Go(string(p.name), func() {
		for {
			_ = s.ReadTable(context.Background())
			c.sched.Jitter(2 * tableReadPeriod)
		}
	})
}

// round exchanges state with one peer after the other, because the scheduler runs one actor at a time.
func (c *History) round(s *spread.Gossip) {
	for _, address := range s.Fleet.Contacts() {
		s.Exchange(context.Background(), address)
	}
}

// heartbeat returns an entry host's next heartbeat.
func (c *History) heartbeat(p *process) beat.Heartbeat {
	p.seq++
	return beat.Heartbeat{
		Host:            p.name,
		Incarnation:     p.incarnation,
		Seq:             p.seq,
		PeerAddress:     string(p.name),
		State:           beat.Live,
		Revision:        p.catalogue.Revision(),
		ConfirmedMillis: p.catalogue.Age(c.sched.Now()).Milliseconds() + 1,
	}
}

// runOperator edits the catalogue through random entry hosts, based on the revision that it has just read.
func (c *History) runOperator(i int) {
	defer func() { c.operatorsDone++ }()
	for n := range editsPerOperator {
		c.sched.Jitter(4 * heartbeatPeriod)
		p := c.processes[c.sched.Rand.IntN(hosts)]
		if p.partitioned {
			continue
		}
		e, catalogue := p.edits, p.catalogue
		note := fmt.Sprintf("operator %d change %d", i, n)
		head, err := e.Head(context.Background())
		if err != nil {
			continue
		}
		got, err := e.Put(context.Background(), &catlog.Catalogue{Note: note}, head.Revision)
		switch {
		case err == nil:
			c.Accepted++
			c.accepted = append(c.accepted, note)
			catalogue.Offer(got)
		case fault.KindOf(err) == kind.Conflict:
			c.Conflicts++
			c.conflicted = append(c.conflicted, note)
		}
	}
}

// injectFaults kills, pauses and partitions processes and stops the table until the operators have ended. It then waits
// for convergence and ends the history.
func (c *History) injectFaults() {
	for c.operatorsDone < operators {
		c.sched.Jitter(4 * heartbeatPeriod)
		p := c.processes[c.sched.Rand.IntN(hosts)]
		switch c.sched.Rand.IntN(5) {
		case 0:
			c.sched.Kill(string(p.name))
			c.startProcess(p)
		case 1:
			c.sched.Pause(string(p.name), time.Duration(c.sched.Rand.Int64N(int64(maxPause))))
		case 2:
			c.store.Down = true
			c.sched.Jitter(maxPause)
			c.store.Down = false
		case 3:
			q := c.processes[c.sched.Rand.IntN(hosts)]
			p.partitioned, q.partitioned = true, true
			c.sched.Jitter(maxPartition)
			p.partitioned, q.partitioned = false, false
		default:
		}
	}
	c.store.RequestLoss, c.store.ResponseLoss, c.store.LateWrites = 0, 0, 0
	c.sched.Sleep(convergenceTime)
	c.observerStopped = true
	c.sched.Sleep(time.Millisecond)
	c.Behind = c.countBehind()
	for _, p := range c.processes {
		c.sched.Kill(string(p.name))
	}
}
