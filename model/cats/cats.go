// Package cats plays seeded histories of catalogue changes and their spread under failures.
package cats

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
	hosts        = 5
	operators    = 3
	editsEach    = 6
	heartbeat    = 50 * time.Millisecond
	tableRead    = 200 * time.Millisecond
	storeLatency = 4 * time.Millisecond
	peerLatency  = 2 * time.Millisecond
	maxAge       = 400 * time.Millisecond
	calmTime     = 3 * time.Second
	historyTime  = time.Minute
	maxPause     = 500 * time.Millisecond
	maxCut       = 4 * time.Second
	// staleBound is the age beyond which no process may serve without a change in force on more than half.
	staleBound = maxAge + 2*heartbeat + maxPause
)

// Cats is one history: operators race to edit the catalogue while entry hosts are killed, paused and cut and the
// table loses answers.
type Cats struct {
	// Seed decides everything.
	Seed uint64

	// Accepted counts accepted changes.
	Accepted int
	// Conflicts counts changes that lost a race.
	Conflicts int
	// Lost counts accepted changes that are in no later revision's history.
	Lost int
	// FalseConflicts counts changes that were refused as a conflict and accepted all the same.
	FalseConflicts int
	// Reverts counts steps of a process to a lower revision, restarts included.
	Reverts int
	// Behind counts entry hosts without the newest revision after the failures have ended.
	Behind int
	// StaleServed counts looks at which a process that may serve lacked, for longer than the bound, a change in
	// force on more than half.
	StaleServed int

	sched     *sched.Sched
	store     *store.Store
	processes []*process
	accepted  []string
	refused   []string
	done      int
	calm      bool
}

// process is one entry host over its incarnations.
type process struct {
	name        host.ID
	incarnation int64
	seq         int64
	// cut tells that the process reaches only others that are cut off, and no table.
	cut    bool
	shown  int64
	stale  time.Time
	holder *newest.Catalogue
	spread *spread.Gossip
	edits  *edits.Edits
}

// Run plays the history.
func (c *Cats) Run() {
	c.sched = sched.New(c.Seed)
	c.store = &store.Store{Sched: c.sched, Latency: storeLatency, LoseBefore: 0.05, LoseAfter: 0.15, Delay: 0.05}
	for i := range hosts {
		p := &process{name: host.ID(fmt.Sprintf("entry-%d", i))}
		c.processes = append(c.processes, p)
		c.start(p)
	}
	for i := range operators {
		c.sched.Go("operators", func() { c.operate(i) })
	}
	c.sched.Go("nemesis", c.nemesis)
	c.sched.Go("observer", c.observe)
	c.sched.Run(historyTime)
	c.count()
}

func (c *Cats) start(p *process) {
	p.incarnation++
	p.seq = 0
	p.holder = &newest.Catalogue{}
	n := 0
	incarnation := p.incarnation
	p.edits = &edits.Edits{Store: &reach{store: c.store, from: p}, Now: c.sched.Now, NewID: func() string {
		n++
		return fmt.Sprintf("%s/%d/%d", p.name, incarnation, n)
	}}
	f := &fleet.Fleet{Self: p.name, Timeout: 6 * heartbeat}
	p.spread = &spread.Gossip{
		Peers:     &network{cats: c, from: p},
		Table:     p.edits,
		Fleet:     f,
		Catalogue: p.holder,
		Trials:    &trials.Trials{},
		Self:      func() beat.Heartbeat { return c.pulse(p) },
		Now:       c.sched.Now,
		Rand:      rand.New(rand.NewPCG(c.Seed, uint64(p.incarnation))),
		MaxAge:    maxAge,

		Started: c.sched.Now(),
	}
	for _, other := range c.processes {
		f.Observe(c.pulse(other), c.sched.Now().Add(-time.Hour))
	}
	s := p.spread
	c.sched.Go(string(p.name), func() {
		for {
			c.round(s)
			c.sched.Jitter(2 * heartbeat)
		}
	})
	c.sched.Go(string(p.name), func() {
		for {
			_ = s.ReadTable(context.Background())
			c.sched.Jitter(2 * tableRead)
		}
	})
}

// round exchanges with one peer after the other, because the scheduler runs one actor at a time.
func (c *Cats) round(s *spread.Gossip) {
	for _, address := range s.Fleet.Contacts() {
		s.Exchange(context.Background(), address)
	}
}

func (c *Cats) pulse(p *process) beat.Heartbeat {
	p.seq++
	return beat.Heartbeat{
		Host:            p.name,
		Incarnation:     p.incarnation,
		Seq:             p.seq,
		PeerAddress:     string(p.name),
		State:           beat.Live,
		Revision:        p.holder.Revision(),
		ConfirmedMillis: p.holder.Age(c.sched.Now()).Milliseconds() + 1,
	}
}

// operate edits the catalogue through random entry hosts, over the revision that it read.
func (c *Cats) operate(i int) {
	defer func() { c.done++ }()
	for n := range editsEach {
		c.sched.Jitter(4 * heartbeat)
		p := c.processes[c.sched.Rand.IntN(hosts)]
		if p.cut {
			continue
		}
		e, h := p.edits, p.holder
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
			h.Offer(got)
		case fault.KindOf(err) == kind.Conflict:
			c.Conflicts++
			c.refused = append(c.refused, note)
		}
	}
}

func (c *Cats) nemesis() {
	for c.done < operators {
		c.sched.Jitter(4 * heartbeat)
		p := c.processes[c.sched.Rand.IntN(hosts)]
		switch c.sched.Rand.IntN(5) {
		case 0:
			c.sched.Kill(string(p.name))
			c.start(p)
		case 1:
			c.sched.Pause(string(p.name), time.Duration(c.sched.Rand.Int64N(int64(maxPause))))
		case 2:
			c.store.Down = true
			c.sched.Jitter(maxPause)
			c.store.Down = false
		case 3:
			q := c.processes[c.sched.Rand.IntN(hosts)]
			p.cut, q.cut = true, true
			c.sched.Jitter(maxCut)
			p.cut, q.cut = false, false
		default:
		}
	}
	c.store.LoseBefore, c.store.LoseAfter, c.store.Delay = 0, 0, 0
	c.sched.Sleep(calmTime)
	c.calm = true
	c.sched.Sleep(time.Millisecond)
	c.Behind = c.behind()
	for _, p := range c.processes {
		c.sched.Kill(string(p.name))
	}
}
