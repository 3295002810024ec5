package choose_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/choose"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/speed"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	serverSlots      = 6
	queueLimit       = 24
	serviceTime      = 60 * time.Millisecond
	exchangeInterval = 600 * time.Millisecond
	countsDelay      = 400 * time.Millisecond
	hostCount        = 85
)

// staleCountsSim simulates a few servers with few slots each under many hosts, whose counts of each other's requests are
// stale.
type staleCountsSim struct {
	now     time.Time
	rand    *rand.Rand
	hosts   []*choose.Balancer
	targets [][]*target.Target
	servers []*server
	ends    endHeap
	// history holds the requests that all hosts together had in flight at each server, by tick.
	history [][]int
	shed    int
	waits   []time.Duration
	// slowFactor multiplies the service time of the first server.
	slowFactor float64
}

type server struct {
	running int
	waiting []*job
}

type job struct {
	server  int
	arrived time.Time
	end     time.Time
	done    func()
}

type endHeap []*job

func (e endHeap) Len() int           { return len(e) }
func (e endHeap) Less(i, j int) bool { return e[i].end.Before(e[j].end) }
func (e endHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endHeap) Push(x any)        { *e = append(*e, x.(*job)) }
func (e *endHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newStaleCountsSim(servers int) *staleCountsSim {
	sim := &staleCountsSim{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(7, 7)), slowFactor: 1}
	for range servers {
		sim.servers = append(sim.servers, &server{})
	}
	for range hostCount {
		sim.hosts = append(sim.hosts, &choose.Balancer{Rand: sim.rand.Float64, Speed: &speed.Speed{}, HostCount: func() int { return hostCount }})
		var own []*target.Target
		for i := range servers {
			own = append(own, target.New(roster.Row{ID: endpt.ID(rune('a' + i)), Backend: "calls", State: roster.Live, Slots: serverSlots}))
		}
		sim.targets = append(sim.targets, own)
	}
	return sim
}

// run sends requests at a rate for a duration.
func (sim *staleCountsSim) run(perSecond float64, d time.Duration) {
	w := &work.Request{ID: "r", Backend: "calls", Route: &path.Route{}}
	const tick = 5 * time.Millisecond
	ticks := 0
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(tick) {
		sim.finish()
		for n := perSecond * tick.Seconds(); n > sim.rand.Float64(); n-- {
			sim.send(w, sim.rand.IntN(hostCount))
		}
		sim.exchangeCounts(ticks)
		ticks++
	}
}

// send sends a request from a host.
func (sim *staleCountsSim) send(w *work.Request, host int) {
	p := sim.hosts[host].Pick(sim.targets[host], w, func(*target.Target) bool { return false }, sim.now)
	at := int(p.Target.Row().ID[0] - 'a')
	s := sim.servers[at]
	j := &job{server: at, arrived: sim.now}
	if len(s.waiting) >= queueLimit {
		sim.shed++
		return
	}
	_, j.done = p.Target.Begin(w, 0, sim.now)
	if s.running == serverSlots {
		s.waiting = append(s.waiting, j)
		return
	}
	sim.start(s, j)
}

func (sim *staleCountsSim) start(s *server, j *job) {
	s.running++
	took := float64(serviceTime) * math.Exp(0.5*sim.rand.NormFloat64()-0.125)
	if j.server == 0 {
		took *= sim.slowFactor
	}
	sim.waits = append(sim.waits, sim.now.Sub(j.arrived))
	j.end = sim.now.Add(time.Duration(took))
	heap.Push(&sim.ends, j)
}

// finish ends the requests whose service time is over.
func (sim *staleCountsSim) finish() {
	for len(sim.ends) > 0 && !sim.ends[0].end.After(sim.now) {
		j := heap.Pop(&sim.ends).(*job)
		j.done()
		s := sim.servers[j.server]
		s.running--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			sim.start(s, next)
		}
	}
}

// exchangeCounts updates the hosts that are due at a tick with the others' counts as they were countsDelay ago.
func (sim *staleCountsSim) exchangeCounts(tick int) {
	const tick5 = 5 * time.Millisecond
	var counts []int
	for i := range sim.servers {
		sum := 0
		for _, own := range sim.targets {
			n, _ := own[i].OwnOutstanding()
			sum += n
		}
		counts = append(counts, sum)
	}
	sim.history = append(sim.history, counts)
	old := len(sim.history) - 1 - int(countsDelay/tick5)
	if old < 0 {
		return
	}
	each := int(exchangeInterval / tick5)
	for h := range sim.hosts {
		if h%each != tick%each {
			continue
		}
		for i, t := range sim.targets[h] {
			own, _ := t.OwnOutstanding()
			t.SetOthers(float64(max(0, sim.history[old][i]-own)), 0, sim.now)
		}
	}
}

// meanWait returns the mean time that requests waited in a server's queue.
func (sim *staleCountsSim) meanWait() time.Duration {
	var sum time.Duration
	for _, w := range sim.waits {
		sum += w
	}
	return sum / time.Duration(max(1, len(sim.waits)))
}

var _ = Describe("Selection among a few servers with few slots by many hosts", func() {
	DescribeTable("balances requests although each host's counts are older than a request lasts",
		func(servers int, perSecond float64) {
			sim := newStaleCountsSim(servers)
			sim.run(perSecond, 30*time.Second)
			Expect(sim.shed).To(BeZero())
			Expect(sim.meanWait()).To(BeNumerically("<", serviceTime/2))
		},
		Entry("four servers, two thirds busy", 4, 265.0), Entry("three servers, five sixths busy", 3, 250.0), Entry("seven servers, half busy", 7, 350.0),
	)

	It("sends fewer requests to a server that takes three times as long", func() {
		sim := newStaleCountsSim(4)
		sim.slowFactor = 3
		sim.run(200, 30*time.Second)
		Expect(sim.shed).To(BeZero())
		Expect(sim.meanWait()).To(BeNumerically("<", serviceTime))
	})
})
