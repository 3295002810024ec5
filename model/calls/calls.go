// Package calls simulates seeded histories of non-idempotent calls under injected faults and counts violations of
// at-most-once execution.
package calls

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/once"
	"github.com/dragonflyroute/dragonflyroute/model/sched"
	"github.com/dragonflyroute/dragonflyroute/model/store"
	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
)

const (
	entryHosts          = 3
	keys                = 6
	maxAttempts         = 5
	maxAttemptsInOutage = 100
	storeLatency        = 4 * time.Millisecond
	callLatency         = 6 * time.Millisecond
	// callerWait bounds a caller's wait for an answer, its pause between attempts and the length of short faults.
	callerWait  = 60 * time.Millisecond
	historyTime = time.Minute
	settleTime  = 2 * time.Second
	maxPause    = 400 * time.Millisecond
)

// History is one run: callers send calls with a few idempotency keys to several entry hosts, while processes
// are killed and paused, the table fails and connections break.
type History struct {
	// Seed determines the whole run.
	Seed uint64
	// Naive retries calls without claims, as a baseline.
	Naive bool
	// Leased is a baseline in which each key has an owner with a long lease, which keeps claims in memory while the
	// table is down.
	Leased bool
	// MaxOutage is the upper bound of long outages of the table, in addition to the other faults; zero means none.
	MaxOutage time.Duration
	// NoFaults injects no faults.
	NoFaults bool

	// Calls counts the calls, each with its own key.
	Calls int
	// DoubleRuns counts the calls that were executed more than once.
	DoubleRuns int
	// FalseNotRun counts the calls that were executed although their caller got the error "not-run".
	FalseNotRun int
	// WrongAnswers counts the answers that belong to another key.
	WrongAnswers int
	// StuckClaims counts the claims that a live process still holds after the faults have ended.
	StuckClaims int
	// UnknownOutcomes counts the calls whose callers got neither an answer nor "not-run".
	UnknownOutcomes int
	// Answered counts the calls whose callers got the answer.
	Answered int
	// Commits counts the commits that reached the table.
	Commits int
	// Latencies holds the virtual time of each call that was answered at the first attempt.
	Latencies []time.Duration

	sched        *sched.Sched
	store        *store.Store
	hosts        []*process
	executions   map[string]int
	notRun       map[string]bool
	disconnected bool
	// inLongOutage is set during a long outage, so that the end of a short one doesn't make the table available again.
	inLongOutage bool
	callersEnded int
	finished     bool
}

// process is one entry host, over all its incarnations.
type process struct {
	id          host.ID
	incarnation int64
	ledger      *once.Ledger
	ownerStore  *ownerStore
}

// Run simulates the history and sets its results.
func (c *History) Run() {
	c.sched = sched.New(c.Seed)
	c.store = &store.Store{Sched: c.sched, Latency: storeLatency}
	c.executions = map[string]int{}
	c.notRun = map[string]bool{}
	if !c.NoFaults {
		c.store.RequestLoss = 0.1 * c.sched.Rand.Float64()
		c.store.ResponseLoss = 0.2 * c.sched.Rand.Float64()
		c.store.LateWrites = 0.1 * c.sched.Rand.Float64()
		c.sched.Go("nemesis", c.injectFaults)
		if c.MaxOutage > 0 {
			c.sched.Go("nemesis", c.injectOutages)
		}
	}
	for i := range entryHosts {
		p := &process{id: host.ID(fmt.Sprintf("entry-%d", i))}
		c.hosts = append(c.hosts, p)
		c.startProcess(p)
	}
	for i := range keys {
		c.sched.Go("callers", func() { c.runCaller(fmt.Sprintf("key-%d", i)) })
	}
	c.sched.Go("callers", c.settle)
	c.sched.Run(historyTime)
	c.tally()
}

// settle stops the loss and delay of requests after the last caller has ended, and leaves the ledgers time to
// reconcile.
func (c *History) settle() {
	for c.callersEnded < keys {
		c.sched.Sleep(callerWait)
	}
	c.store.RequestLoss, c.store.ResponseLoss, c.store.LateWrites = 0, 0, 0
	c.sched.Sleep(settleTime)
	c.finished = true
}

// isStuck reports whether a live process still holds the key's claim, or whether the claim can't be read.
func (c *History) isStuck(key string) bool {
	row := c.store.Peek(key)
	if row.Version == 0 {
		return false
	}
	var got claim.Claim
	if err := json.Unmarshal(row.Value, &got); err != nil {
		return true
	}
	return got.State == claim.Held && !c.isDead(got.Holder, got.Incarnation)
}

// tally counts the violations and outcomes by key.
func (c *History) tally() {
	c.Calls = keys
	c.Commits = c.store.Commits
	for i := range keys {
		key := fmt.Sprintf("key-%d", i)
		if c.executions[key] > 1 {
			c.DoubleRuns++
		}
		if c.notRun[key] && c.executions[key] > 0 {
			c.FalseNotRun++
		}
		if c.isStuck(key) {
			c.StuckClaims++
		}
	}
	c.UnknownOutcomes = keys - c.Answered - len(c.notRun)
}

// startProcess starts the next incarnation of an entry host, which reconciles its claims periodically.
func (c *History) startProcess(p *process) {
	p.incarnation++
	n := 0
	var writeBehind func(ctx context.Context)
	p.ledger = &once.Ledger{
		Store:       c.store,
		Self:        p.id,
		Incarnation: p.incarnation,
		NewID: func() string {
			n++
			return fmt.Sprintf("%s/%d/%d", p.id, p.incarnation, n)
		},
		Dead: c.isDead,
	}
	if c.Leased {
		p.ownerStore = newOwnerStore(c, p.ownerStore)
		p.ledger.Store, writeBehind = p.ownerStore, p.ownerStore.writeBehind
	}
	ledger := p.ledger
	c.sched.Go(string(p.id), func() {
		for !c.finished {
			c.sched.Jitter(callerWait)
			if writeBehind != nil {
				writeBehind(context.Background())
			}
			_ = ledger.Reconcile(context.Background())
		}
	})
}

// isDead reports whether an incarnation of an entry host has been replaced by a later one.
func (c *History) isDead(id host.ID, incarnation int64) bool {
	for _, p := range c.hosts {
		if p.id == id {
			return p.incarnation > incarnation
		}
	}
	return false
}
