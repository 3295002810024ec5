// Package calls plays seeded histories of non-idempotent calls under failures and counts what went wrong.
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
	entryHosts   = 3
	keys         = 6
	tries        = 5
	longTries    = 100
	storeLatency = 4 * time.Millisecond
	callLatency  = 6 * time.Millisecond
	callerWait   = 60 * time.Millisecond
	historyTime  = time.Minute
	settleTime   = 2 * time.Second
	maxPause     = 400 * time.Millisecond
)

// Calls is one history: callers try a few keys on several entry hosts while processes are killed and paused, the
// store fails and connections break.
type Calls struct {
	// Seed decides everything.
	Seed uint64
	// Naive retries without claims.
	Naive bool
	// Leased claims in memory under a long lease of each key's owner while the table is down.
	Leased bool
	// Outage bounds long outages of the table, beside the other failures; zero means none.
	Outage time.Duration
	// Calm leaves out every failure.
	Calm bool

	// Calls counts the keys used.
	Calls int
	// DoubleRuns counts keys that ran more than once.
	DoubleRuns int
	// FalseNotRun counts keys that ran although a caller was told "not-run".
	FalseNotRun int
	// WrongAnswers counts answers that belong to another key.
	WrongAnswers int
	// Stuck counts claims that a live process still holds after the failures have ended.
	Stuck int
	// Unknown counts keys whose callers ended without an answer or "not-run".
	Unknown int
	// Answered counts keys whose callers got the answer.
	Answered int
	// Commits counts the table's commits.
	Commits int
	// Latency holds the virtual time that each answered first try took.
	Latency []time.Duration

	sched  *sched.Sched
	store  *store.Store
	hosts  []*process
	runs   map[string]int
	denied map[string]bool
	cut    bool
	// longOut tells that a long outage runs.
	longOut bool
	ended   int
	over    bool
}

// process is one entry host over its incarnations.
type process struct {
	id          host.ID
	incarnation int64
	ledger      *once.Ledger
	owned       *owned
}

// Run plays the history.
func (c *Calls) Run() {
	c.sched = sched.New(c.Seed)
	c.store = &store.Store{Sched: c.sched, Latency: storeLatency}
	c.runs = map[string]int{}
	c.denied = map[string]bool{}
	if !c.Calm {
		c.store.LoseBefore = 0.1 * c.sched.Rand.Float64()
		c.store.LoseAfter = 0.2 * c.sched.Rand.Float64()
		c.store.Delay = 0.1 * c.sched.Rand.Float64()
		c.sched.Go("nemesis", c.nemesis)
		if c.Outage > 0 {
			c.sched.Go("nemesis", c.outages)
		}
	}
	for i := range entryHosts {
		p := &process{id: host.ID(fmt.Sprintf("entry-%d", i))}
		c.hosts = append(c.hosts, p)
		c.start(p)
	}
	for i := range keys {
		c.sched.Go("callers", func() { c.caller(fmt.Sprintf("key-%d", i)) })
	}
	c.sched.Go("callers", c.settle)
	c.sched.Run(historyTime)
	c.count()
}

// settle ends the failures after the last caller and leaves time to reconcile.
func (c *Calls) settle() {
	for c.ended < keys {
		c.sched.Sleep(callerWait)
	}
	c.store.LoseBefore, c.store.LoseAfter, c.store.Delay = 0, 0, 0
	c.sched.Sleep(settleTime)
	c.over = true
}

// stuck reports whether a live process holds the key's claim.
func (c *Calls) stuck(key string) bool {
	row := c.store.Peek(key)
	if row.Version == 0 {
		return false
	}
	var got claim.Claim
	if err := json.Unmarshal(row.Value, &got); err != nil {
		return true
	}
	return got.State == claim.Held && !c.dead(got.Holder, got.Incarnation)
}

func (c *Calls) count() {
	c.Calls = keys
	c.Commits = c.store.Commits
	for i := range keys {
		key := fmt.Sprintf("key-%d", i)
		if c.runs[key] > 1 {
			c.DoubleRuns++
		}
		if c.denied[key] && c.runs[key] > 0 {
			c.FalseNotRun++
		}
		if c.stuck(key) {
			c.Stuck++
		}
	}
	c.Unknown = keys - c.Answered - len(c.denied)
}

func (c *Calls) start(p *process) {
	p.incarnation++
	n := 0
	var behind func(ctx context.Context)
	p.ledger = &once.Ledger{
		Store:       c.store,
		Self:        p.id,
		Incarnation: p.incarnation,
		NewID: func() string {
			n++
			return fmt.Sprintf("%s/%d/%d", p.id, p.incarnation, n)
		},
		Dead: c.dead,
	}
	if c.Leased {
		p.owned = newOwned(c, p.owned)
		p.ledger.Store, behind = p.owned, p.owned.behind
	}
	ledger := p.ledger
	c.sched.Go(string(p.id), func() {
		for !c.over {
			c.sched.Jitter(callerWait)
			if behind != nil {
				behind(context.Background())
			}
			_ = ledger.Reconcile(context.Background())
		}
	})
}

func (c *Calls) dead(id host.ID, incarnation int64) bool {
	for _, p := range c.hosts {
		if p.id == id {
			return p.incarnation > incarnation
		}
	}
	return false
}
