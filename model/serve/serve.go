// Package serve plays a user's fleet under load, reclaims and bursts with different routing policies, event by event
// on a virtual clock, and counts what it costs.
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

// The policies.
const (
	// Product uses the product's decisions on reclaimable hosts and a few on-demand ones.
	Product = "product"
	// LeastOutstanding sends to the endpoint with the fewest requests of the sender, on on-demand hosts only.
	LeastOutstanding = "least-outstanding-on-demand"
	// RoundRobin sends to each endpoint in turn, on reclaimable hosts, and runs lost requests again from the start.
	RoundRobin = "round-robin-reclaimable"
)

const (
	dataCentres  = 3
	accounts     = 5
	listLag      = time.Second
	reportPeriod = 250 * time.Millisecond
	onDemand     = 1_800_000
	reclaimable  = 600_000
	playTime     = 30 * time.Minute
	loanTerm     = 2 * time.Second
	returnTime   = 5 * time.Millisecond
)

// user is one user's sizes.
type user struct {
	// engines is the number of model servers.
	engines int
	// spare is the number of on-demand servers that the product holds beside the reclaimable ones.
	spare int
	// entryHosts is the number of entry hosts.
	entryHosts int
	// quickRate and longRate are requests per second.
	quickRate, longRate float64
	quick, long         *entry.Entry
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

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

// Serve is one run of a user's fleet under a policy.
type Serve struct {
	// Seed decides everything.
	Seed uint64
	// User is kerlann or aliance.
	User string
	// Policy is how requests are routed.
	Policy string
	// Prefixes is the number of prompts' prefixes; an engine caches cacheSize of them.
	Prefixes int
	// Deaf keeps entry hosts from hearing of the engines' caches.
	Deaf bool

	// Sent, Refused and Lost count requests; Lost ones were accepted and never answered.
	Sent, Refused, Lost int
	// RefusedLate counts the refused ones that could not have been in time; the others were over a limit.
	RefusedLate int
	// RefusedWrongly counts the refused ones that one gate for the whole system would have admitted.
	RefusedWrongly int
	// RefusedCalm counts those of RefusedWrongly outside the burst and the flood.
	RefusedCalm int
	// RefusedFlood counts the refused ones of the flooding account while it floods.
	RefusedFlood int
	// QuickAccepted, QuickInTime, LongAccepted and LongInTime count answers.
	QuickAccepted, QuickInTime, LongAccepted, LongInTime int
	// SmallQuick and SmallQuickInTime count quick answers to small accounts while a large one floods.
	SmallQuick, SmallQuickInTime int
	// Recomputed counts tokens that were computed more than once.
	Recomputed int
	// PrefixSent counts prompts that engines computed, and PrefixHits those whose prefix was cached.
	PrefixSent, PrefixHits int
	// Price and Refunds are micro-euros.
	Price, Refunds float64

	rand *rand.Rand
	// events draws the lost events, apart from rand so that they change nothing else.
	events  *rand.Rand
	now     time.Time
	start   time.Time
	queue   events
	seq     int
	user    user
	engines []*engine
	hosts   []*entryHost
	central *gate.Gate
	flood   bool
	burst   float64
	turn    int
}

// entryHost is one entry host with the product's own packages.
type entryHost struct {
	pool   *pool.Pool
	gate   *gate.Gate
	quota  *quota.Quota
	loans  *loans.Loans
	picker route.Picker
	sent   map[*engine]int
	known  map[*engine]bool
}

// Run plays the fleet.
func (s *Serve) Run() {
	s.rand = rand.New(rand.NewPCG(s.Seed, 7))
	s.events = rand.New(rand.NewPCG(s.Seed, 8))
	s.start = time.Unix(1_000_000, 0)
	s.now = s.start
	s.burst = 1
	s.central = &gate.Gate{Started: s.start.Add(-time.Minute), Share: func(acct.ID, label.Name, time.Time) float64 { return 1 }}
	s.user = users[s.User]
	s.build()
	s.arrive()
	s.after(0, s.report)
	s.after(0, s.giveBack)
	s.script()
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at.Sub(s.start) > playTime {
			break
		}
		s.now = e.at
		e.do()
	}
	s.count()
}

func (s *Serve) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, do: do})
}

func (s *Serve) build() {
	n, spare, price := s.user.engines, 0, int64(reclaimable)
	switch s.Policy {
	case Product:
		spare = s.user.spare
	case LeastOutstanding:
		price = onDemand
	}
	for i := range n + spare {
		e := &engine{serve: s, id: fmt.Sprintf("e-%d", i), dc: i % dataCentres, price: price, cache: map[uint64]bool{}}
		if i >= n {
			e.price = onDemand
		}
		s.engines = append(s.engines, e)
		e.boot()
	}
	for i := range s.user.entryHosts {
		h := &entryHost{
			pool:   &pool.Pool{Self: host.ID(fmt.Sprint(i)), Subset: 32},
			quota:  &quota.Quota{Self: host.ID(fmt.Sprint(i)), Hosts: s.user.entryHosts, Term: loanTerm, Started: s.start, CleanStart: true},
			picker: route.Picker{Rand: s.rand.Float64},
			sent:   map[*engine]int{},
			known:  map[*engine]bool{},
		}
		h.gate = &gate.Gate{Share: h.quota.Share, Started: s.start.Add(-time.Minute)}
		h.loans = &loans.Loans{Quota: h.quota, Gate: h.gate}
		s.hosts = append(s.hosts, h)
	}
	s.list()
}

// list gives every entry host the platform's list, which is listLag old.
func (s *Serve) list() {
	var rows []roster.Row
	for _, e := range s.engines {
		if e.up {
			rows = append(rows, e.row())
		}
	}
	s.after(listLag, func() {
		for _, h := range s.hosts {
			h.pool.Update(rows, s.now)
		}
	})
	s.after(listLag, s.list)
}

// report gives every entry host the engines' load, as of one report period ago.
func (s *Serve) report() {
	for _, e := range s.engines {
		if !e.up {
			continue
		}
		running, waiting := e.load()
		boot, last := e.boots, e.seq
		s.after(reportPeriod, func() {
			for _, h := range s.hosts {
				known := h.server(e)
				if known == nil {
					continue
				}
				known.SetLoad(running, waiting, slots, tokenTime, prefillRate)
				if !s.Deaf && boot == e.boots {
					e.hear(known, last, s.now)
				}
			}
		})
	}
	s.after(reportPeriod, s.report)
}

func (s *Serve) count() {
	for _, e := range s.engines {
		s.Price += float64(e.price) * e.held(s.now).Hours()
		for _, j := range e.all() {
			if s.now.Sub(j.sent) > j.entry.Limits.Answer.Duration()*2 {
				s.Lost++
			}
		}
	}
}
