// Package serve is a discrete-event simulation of a user's fleet under load, reclaims and bursts, with one of several
// routing policies. It measures the cost and the requests within their latency limits.
package serve

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/gate"
	"github.com/dragonflyroute/dragonflyroute/coordination/loans"
	"github.com/dragonflyroute/dragonflyroute/coordination/quota"
	"github.com/dragonflyroute/dragonflyroute/coordination/route"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/pool"
)

// The routing policies.
const (
	// Product uses the project's own admission and routing, on reclaimable hosts and a few on-demand ones.
	Product = "product"
	// LeastOutstanding sends to the endpoint with the fewest outstanding requests of the entry host, on on-demand hosts
	// only.
	LeastOutstanding = "least-outstanding-on-demand"
	// RoundRobin sends to each endpoint in turn, on reclaimable hosts only. Like LeastOutstanding, it starts
	// interrupted requests again.
	RoundRobin = "round-robin-reclaimable"
)

const (
	dataCentres = 3
	accounts    = 5
	// rosterLag is the age of the roster when entry hosts read it.
	rosterLag    = time.Second
	reportPeriod = 250 * time.Millisecond
	// onDemand and reclaimable are prices of a host in micro-euros per hour.
	onDemand       = 1_800_000
	reclaimable    = 600_000
	runTime        = 30 * time.Minute
	loanTerm       = 2 * time.Second
	loanReturnTime = 5 * time.Millisecond
)

// user is the size and load of one user's fleet.
type user struct {
	// engines is the number of inference servers.
	engines int
	// onDemandSpares is the number of on-demand servers that policy Product adds to the reclaimable ones.
	onDemandSpares int
	// entryHosts is the number of entry hosts.
	entryHosts int
	// quickRate and longRate are requests per second.
	quickRate, longRate float64
	quick, long         *entry.Entry
}

// event is an action at a virtual time; events of the same time run in the order of seq.
type event struct {
	at  time.Time
	seq int
	run func()
}

// events is a heap of events by time.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Simulation is one run of a user's fleet under a policy.
type Simulation struct {
	// Seed determines the whole run.
	Seed uint64
	// User is the user whose fleet is simulated: kerlann or aliance.
	User string
	// Policy is the routing policy: Product, LeastOutstanding or RoundRobin.
	Policy string
	// Prefixes is the number of distinct prompt prefixes, of which an engine caches cacheSize.
	Prefixes int
	// IgnoreCacheEvents drops the engines' cache events before they reach the entry hosts.
	IgnoreCacheEvents bool

	// Sent, Refused and Lost count requests. Lost ones are those still on an engine at the end of the run, after more
	// than twice their time limit.
	Sent, Refused, Lost int
	// RefusedLate counts the requests refused because no engine could meet their latency limits; the other refused ones
	// were over a rate or concurrency limit.
	RefusedLate int
	// RefusedWrongly counts the refused requests that a central gate for all entry hosts would have admitted.
	RefusedWrongly int
	// RefusedWronglySteady counts those of RefusedWrongly outside the burst and the flood.
	RefusedWronglySteady int
	// RefusedFlood counts the refused requests of the flooding account during the flood.
	RefusedFlood int
	// QuickAccepted, QuickInTime, LongAccepted and LongInTime count the admitted requests of a class, and those
	// answered within their latency limits.
	QuickAccepted, QuickInTime, LongAccepted, LongInTime int
	// SmallQuickAccepted and SmallQuickInTime count the same for quick requests of the small accounts during the flood.
	SmallQuickAccepted, SmallQuickInTime int
	// RecomputedTokens counts the tokens that were computed again after an interruption.
	RecomputedTokens int
	// PrefixLookups counts the prefills, and PrefixHits those whose prefix was cached.
	PrefixLookups, PrefixHits int
	// HostCost is the cost of the hosts and Refunds the refunds for late answers, in micro-euros.
	HostCost, Refunds float64

	rand *rand.Rand
	// eventRand draws the lost cache events. It is separate from rand so that the losses don't change other draws.
	eventRand   *rand.Rand
	now         time.Time
	start       time.Time
	queue       events
	seq         int
	user        user
	engines     []*engine
	hosts       []*entryHost
	centralGate *gate.Gate
	flooding    bool
	rateFactor  float64
	roundRobin  int
}

// entryHost is one entry host, made of the project's own packages.
type entryHost struct {
	pool        *pool.Pool
	gate        *gate.Gate
	quota       *quota.Quota
	loans       *loans.Loans
	picker      route.Picker
	outstanding map[*engine]int
	known       map[*engine]bool
}

// Run simulates the fleet for runTime and sets the results.
func (s *Simulation) Run() {
	s.rand = rand.New(rand.NewPCG(s.Seed, 7))
	s.eventRand = rand.New(rand.NewPCG(s.Seed, 8))
	s.start = time.Unix(1_000_000, 0)
	s.now = s.start
	s.rateFactor = 1
	s.centralGate = &gate.Gate{Started: s.start.Add(-time.Minute), Share: func(acct.ID, label.Name, time.Time) float64 { return 1 }}
	s.user = users[s.User]
	s.build()
	s.startArrivals()
	s.after(0, s.reportLoad)
	s.after(0, s.returnLoans)
	s.scheduleFaults()
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at.Sub(s.start) > runTime {
			break
		}
		s.now = e.at
		e.run()
	}
	s.tally()
}

// after schedules run at d from now.
func (s *Simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, run: run})
}

// build creates the engines and entry hosts.
func (s *Simulation) build() {
	n, spare, price := s.user.engines, 0, int64(reclaimable)
	switch s.Policy {
	case Product:
		spare = s.user.onDemandSpares
	case LeastOutstanding:
		price = onDemand
	}
	for i := range n + spare {
		e := &engine{sim: s, id: fmt.Sprintf("e-%d", i), dataCentre: i % dataCentres, price: price, cache: map[uint64]bool{}}
		if i >= n {
			e.price = onDemand
		}
		s.engines = append(s.engines, e)
		e.boot()
	}
	for i := range s.user.entryHosts {
		h := &entryHost{
			pool:        &pool.Pool{Self: host.ID(fmt.Sprint(i)), Subset: 32},
			quota:       &quota.Quota{Self: host.ID(fmt.Sprint(i)), Hosts: s.user.entryHosts, Term: loanTerm, Started: s.start, CleanStart: true},
			picker:      route.Picker{Rand: s.rand.Float64},
			outstanding: map[*engine]int{},
			known:       map[*engine]bool{},
		}
		h.gate = &gate.Gate{Share: h.quota.Share, Started: s.start.Add(-time.Minute)}
		h.loans = &loans.Loans{Quota: h.quota, Gate: h.gate}
		s.hosts = append(s.hosts, h)
	}
	s.refreshRoster()
}

// refreshRoster delivers the roster to every entry host after rosterLag, and repeats.
func (s *Simulation) refreshRoster() {
	var rows []roster.Row
	for _, e := range s.engines {
		if e.up {
			rows = append(rows, e.row())
		}
	}
	s.after(rosterLag, func() {
		for _, h := range s.hosts {
			h.pool.Update(rows, s.now)
		}
	})
	s.after(rosterLag, s.refreshRoster)
}

// reportLoad delivers the engines' load and cache events to every entry host after reportPeriod, and repeats.
func (s *Simulation) reportLoad() {
	for _, e := range s.engines {
		if !e.up {
			continue
		}
		running, waiting := e.load()
		boot, lastSeq := e.bootCount, e.lastEventSeq
		s.after(reportPeriod, func() {
			for _, h := range s.hosts {
				known := h.server(e)
				if known == nil {
					continue
				}
				known.SetLoad(running, waiting, batchSlots, tokenTime, prefillRate)
				if !s.IgnoreCacheEvents && boot == e.bootCount {
					e.deliverCacheEvents(known, lastSeq, s.now)
				}
			}
		})
	}
	s.after(reportPeriod, s.reportLoad)
}

// tally adds up the cost of the hosts and the lost requests.
func (s *Simulation) tally() {
	for _, e := range s.engines {
		s.HostCost += float64(e.price) * e.paidTime(s.now).Hours()
		for _, j := range e.jobs() {
			if s.now.Sub(j.arrived) > j.entry.Limits.Answer.Duration()*2 {
				s.Lost++
			}
		}
	}
}
