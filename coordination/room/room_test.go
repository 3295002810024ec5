package room_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/room"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/state/queue"
)

func TestRoom(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "room")
}

const (
	endpoints      = 10
	tokensPerMilli = 56.9
	accounts       = 8
	// flooding is the account that sends floodFactor times its usual load.
	flooding    = acct.ID("a0")
	floodFactor = 5.0
	// played is the time played, and the burst is from burstAt on.
	played, burstAt = 14 * time.Second, 4 * time.Second
)

// kind is a kind of request.
type kind struct {
	priority         int
	perSecond        float64
	mean, most       float64
	target, deadline time.Duration
}

var (
	quick = kind{priority: 0, perSecond: 100, mean: 1_800, most: 6_870, target: 500 * time.Millisecond, deadline: 3 * time.Second}
	long  = kind{priority: 1, perSecond: 25, mean: 6_610, most: 54_600, target: time.Second, deadline: 15 * time.Second}
)

// request is one request of a caller.
type request struct {
	task.Task
	arrived time.Time
	// asked is when it was last asked for the first time, and returned is set if it came back after a refusal.
	asked    time.Time
	returned bool
	// first is the time from its arrival to its answer, 0 if it got none.
	first time.Duration
}

// shard plays a shard on virtual time. Its endpoints prefill prompts one after the other.
type shard struct {
	now    time.Time
	random *rand.Rand
	events []event
	freeAt [endpoints]time.Time
	// room decides, nil for none.
	room *room.Room
	// weights holds the weights of accounts, 10,000 for others.
	weights   map[acct.ID]float64
	requests  []*request
	held      int
	returnsAt []time.Time
}

type event struct {
	at time.Time
	do func()
}

func newShard(decides bool) *shard {
	s := &shard{now: time.Unix(1_000, 0), random: rand.New(rand.NewPCG(1, 1))}
	if decides {
		s.room = &room.Room{Rand: s.random.Float64}
	}
	return s
}

func (s *shard) after(d time.Duration, do func()) {
	e := event{s.now.Add(d), do}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b event) int { return cmp.Or(a.at.Compare(b.at), -1) })
	s.events = slices.Insert(s.events, i, e)
}

// play plays requests of the kinds; rate returns the multiple of its usual load that an account sends of a kind.
func (s *shard) play(rate func(k kind, of acct.ID, since time.Duration) float64) {
	started := s.now
	for _, k := range []kind{quick, long} {
		for i := range accounts {
			account := acct.ID(fmt.Sprintf("a%d", i))
			var arrive func()
			arrive = func() {
				x := rate(k, account, s.now.Sub(started))
				s.after(time.Duration(s.random.ExpFloat64()*accounts/k.perSecond/x*float64(time.Second)), arrive)
				s.arrive(k, account)
			}
			s.after(time.Duration(s.random.Float64()*float64(time.Second)), arrive)
		}
	}
	for len(s.events) > 0 && s.events[0].at.Sub(started) < played {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.do()
	}
}

func (s *shard) arrive(k kind, account acct.ID) {
	const spread = 1.1
	tokens := min(k.most, max(100, k.mean*math.Exp(spread*s.random.NormFloat64()-spread*spread/2)))
	r := &request{arrived: s.now, asked: s.now, Task: task.Task{
		Account: account, Weight: cmp.Or(s.weights[account], 10_000), Priority: k.priority, TargetLatency: k.target, Left: k.deadline, PromptTokens: int64(tokens),
	}}
	s.requests = append(s.requests, r)
	s.ask(r, k)
}

// ask has a request decided on, and sends it to the endpoint that is free first.
func (s *shard) ask(r *request, k kind) {
	var q queue.Queue
	best := 0
	for e := range s.freeAt {
		s.freeAt[e] = later(s.freeAt[e], s.now)
		q.Add(s.freeAt[e].Sub(s.now), tokensPerMilli*1_000)
		if s.freeAt[e].Before(s.freeAt[best]) {
			best = e
		}
	}
	takes := time.Duration(float64(r.PromptTokens) / tokensPerMilli * float64(time.Millisecond))
	if s.room != nil {
		r.Waited, r.Left = s.now.Sub(r.asked), k.deadline-s.now.Sub(r.asked)
		if d := s.room.Decide(&r.Task, r.PromptTokens, q.Wait+takes, q, s.now); !d.Admitted() {
			s.giveWay(r, k, d.Wait, d.RetryAfter)
			return
		}
	}
	s.freeAt[best] = s.freeAt[best].Add(takes)
	r.first = s.freeAt[best].Sub(r.arrived)
}

// giveWay holds a request, or lets its caller come back once.
func (s *shard) giveWay(r *request, k kind, wait, retryAfter time.Duration) {
	if wait > 0 {
		s.held++
		s.after(wait, func() { s.ask(r, k) })
		return
	}
	s.returnsAt = append(s.returnsAt, s.now.Add(retryAfter))
	if !r.returned {
		s.after(retryAfter, func() {
			r.returned, r.asked = true, s.now
			s.ask(r, k)
		})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// missed returns the part of the requests that are counted which were not answered by their target latency.
func (s *shard) missed(counts func(r *request) bool) float64 {
	all, missed := 0, 0
	for _, r := range s.requests {
		if since := r.arrived.Sub(time.Unix(1_000, 0)); since < burstAt || since > played-long.target || !counts(r) {
			continue
		}
		all++
		if r.first == 0 || r.first > r.TargetLatency {
			missed++
		}
	}
	return float64(missed) / float64(all)
}

// work returns the tokens that were prefilled during the burst of the requests that are counted, as a part of what the shard can do.
func (s *shard) work(counts func(r *request) bool) float64 {
	sum := int64(0)
	for _, r := range s.requests {
		if r.first > 0 && r.arrived.Sub(time.Unix(1_000, 0)) >= burstAt && counts(r) {
			sum += r.PromptTokens
		}
	}
	return float64(sum) / (endpoints * tokensPerMilli * float64((played-burstAt)/time.Millisecond))
}

func usual(kind, acct.ID, time.Duration) float64 { return 1 }

// shortage is a burst of the long kind together with an account that floods within its limit.
func shortage(k kind, of acct.ID, since time.Duration) float64 {
	x := 1.0
	if since >= burstAt && k == long {
		x = 2.4
	}
	if since >= burstAt && of == flooding {
		x *= floodFactor
	}
	return x
}

func isQuick(r *request) bool    { return r.Priority == quick.priority }
func isLong(r *request) bool     { return r.Priority == long.priority }
func isFlooding(r *request) bool { return r.Account == flooding }

func both(a, b func(r *request) bool) func(r *request) bool {
	return func(r *request) bool { return a(r) && b(r) }
}

func not(a func(r *request) bool) func(r *request) bool {
	return func(r *request) bool { return !a(r) }
}

// served returns the part of the requests that are counted which were answered at all.
func (s *shard) served(counts func(r *request) bool) float64 {
	all, served := 0, 0
	for _, r := range s.requests {
		if r.arrived.Sub(time.Unix(1_000, 0)) >= burstAt && counts(r) {
			all++
			if r.first > 0 {
				served++
			}
		}
	}
	return float64(served) / float64(all)
}

// accountsWork returns the work of each account at the long kind.
func (s *shard) accountsWork() map[acct.ID]float64 {
	out := map[acct.ID]float64{}
	for i := range accounts {
		account := acct.ID(fmt.Sprintf("a%d", i))
		out[account] = s.work(func(r *request) bool { return isLong(r) && r.Account == account })
	}
	return out
}

// floods returns the load at which all accounts send some multiple of their usual load of a kind during the burst.
func floods(flooded kind, factor float64) func(kind, acct.ID, time.Duration) float64 {
	return func(k kind, _ acct.ID, since time.Duration) float64 {
		if k == flooded && since >= burstAt {
			return factor
		}
		return 1
	}
}

var _ = Describe("A burst of the long, less urgent kind together with an account that floods within its limit", func() {
	others := func(k func(r *request) bool) func(r *request) bool { return both(k, not(isFlooding)) }
	var before, after *shard
	BeforeEach(func() {
		before, after = newShard(false), newShard(true)
		before.play(shortage)
	})

	// Guards against urgent requests that pay first for a burst of less urgent ones.
	It("makes a tenth as many urgent requests late as without a decision, and fewer of them than of the less urgent ones", func() {
		after.play(shortage)
		GinkgoWriter.Printf("missed: quick %.3f, %.3f; long of others %.3f, %.3f\n",
			before.missed(isQuick), after.missed(isQuick), before.missed(others(isLong)), after.missed(others(isLong)))
		Expect(after.missed(isQuick)).To(BeNumerically("<", before.missed(isQuick)/10))
		Expect(after.missed(isQuick)).To(BeNumerically("<=", after.missed(isLong)))
		Expect(after.missed(others(isLong))).To(BeNumerically("<", before.missed(others(isLong))*2/3))
	})

	It("leaves the flooding account about as much of the less urgent work as each other one, and no room unused", func() {
		after.play(shortage)
		parts := after.accountsWork()
		mean := after.work(others(isLong)) / (accounts - 1)
		GinkgoWriter.Printf("flooding %.3f, mean of others %.3f; before %.3f\n", parts[flooding], mean, before.accountsWork()[flooding])
		Expect(parts[flooding]).To(BeNumerically("<", 1.5*mean))
		Expect(after.work(func(*request) bool { return true })).To(BeNumerically(">", 0.95))
	})

	It("has large requests give way no more than small ones, whose callers come back at different times", func() {
		after.play(shortage)
		large := func(r *request) bool { return r.PromptTokens > 15_000 }
		served, servedSmall := after.served(both(others(isLong), large)), after.served(both(others(isLong), not(large)))
		Expect(served).To(BeNumerically(">", servedSmall-0.1))
		returns := map[int64]int{}
		for _, at := range after.returnsAt {
			returns[at.UnixNano()/int64(250*time.Millisecond)]++
		}
		for _, n := range returns {
			Expect(n).To(BeNumerically("<", len(after.returnsAt)/10))
		}
	})

	// Guards against a shortage that begins anew with each host that decides.
	It("makes few urgent requests late if the host that decides is lost midway, and for a moment nobody does", func() {
		after.after(8*time.Second, func() { after.room = nil })
		after.after(8*time.Second+500*time.Millisecond, func() { after.room = &room.Room{Rand: after.random.Float64} })
		after.play(shortage)
		Expect(after.missed(isQuick)).To(BeNumerically("<", before.missed(isQuick)/3))
	})
})

var _ = Describe("Room", func() {
	It("holds and refuses nothing at usual load", func() {
		s := newShard(true)
		s.play(usual)
		Expect(s.held).To(BeZero())
		Expect(s.returnsAt).To(BeEmpty())
	})

	It("leaves the less urgent about a fifth of the work when the more urgent would take all", func() {
		s := newShard(true)
		s.play(floods(quick, 4))
		Expect(s.work(isLong)).To(BeNumerically(">", 0.15))
		Expect(s.work(isQuick)).To(BeNumerically(">", 0.75))
	})

	It("shares the work in proportion to the accounts' weights", func() {
		s := newShard(true)
		s.weights = map[acct.ID]float64{"a1": 30_000}
		s.play(floods(long, 10))
		parts := s.accountsWork()
		Expect(parts["a1"] / parts["a2"]).To(BeNumerically("~", 3, 1))
	})

	Describe("in a shortage", func() {
		now := time.Unix(1_000, 0)
		var r *room.Room
		var q queue.Queue
		var t task.Task
		BeforeEach(func() {
			r = &room.Room{Rand: func() float64 { return 0.5 }}
			q = queue.Queue{}
			q.Add(250*time.Millisecond, 500_000)
			t = task.Task{Account: "a", TargetLatency: 500 * time.Millisecond, Left: 3 * time.Second}
		})

		It("holds a request for which there may be room in time", func() {
			d := r.Decide(&t, 1_000, 300*time.Millisecond, q, now)
			Expect(d.Wait).To(And(BeNumerically(">", 0), BeNumerically("<", 150*time.Millisecond)))
		})

		It("refuses at once a request that there is no time to hold, or that would begin after its deadline", func() {
			t.Waited = 149 * time.Millisecond
			Expect(r.Decide(&t, 1_000, 300*time.Millisecond, q, now).RetryAfter).To(BeNumerically(">", 0))
			t.Waited, t.Left = 0, 200*time.Millisecond
			Expect(r.Decide(&t, 1_000, 300*time.Millisecond, q, now).RetryAfter).To(BeNumerically(">", 0))
		})

		It("admits further attempts, as these requests had their turn", func() {
			t.Excluded = []endpt.ID{"e"}
			Expect(r.Decide(&t, 1_000, 300*time.Millisecond, q, now).Admitted()).To(BeTrue())
		})

		It("neither refuses nor reserves room for a request that is held for another shard", func() {
			t.Spilled = true
			Expect(r.Decide(&t, 1_000_000, 300*time.Millisecond, q, now).RetryAfter).To(BeZero())
			Expect(r.Decide(&t, 10, 0, queue.Queue{}, now).Admitted()).To(BeTrue())
		})
	})
})
