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
	places     = 6
	queueRoom  = 24
	workTime   = 60 * time.Millisecond
	toldEvery  = 600 * time.Millisecond
	toldAge    = 400 * time.Millisecond
	fleetHosts = 85
)

// ledger is a few servers with few places each, under many hosts whose counts of each other's requests are old.
type ledger struct {
	now     time.Time
	chance  *rand.Rand
	hosts   []*choose.Choice
	targets [][]*target.Target
	servers []*server
	ends    ends
	// history holds, for each tick before, what all hosts had in flight at each server.
	history [][]int
	shed    int
	waits   []time.Duration
	// slow is how many times as long the first server takes.
	slow float64
}

type server struct {
	running int
	waiting []*job
}

type job struct {
	server int
	came   time.Time
	end    time.Time
	done   func()
}

type ends []*job

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].end.Before(e[j].end) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(*job)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newLedger(servers int) *ledger {
	l := &ledger{now: time.Unix(1000, 0), chance: rand.New(rand.NewPCG(7, 7)), slow: 1}
	for range servers {
		l.servers = append(l.servers, &server{})
	}
	for range fleetHosts {
		l.hosts = append(l.hosts, &choose.Choice{Rand: l.chance.Float64, Speed: &speed.Speed{}, Hosts: func() int { return fleetHosts }})
		var own []*target.Target
		for i := range servers {
			own = append(own, target.New(roster.Row{ID: endpt.ID(rune('a' + i)), Backend: "ledger", State: roster.Live, Slots: places}))
		}
		l.targets = append(l.targets, own)
	}
	return l
}

// play lets requests come at a rate for a time.
func (l *ledger) play(perSecond float64, d time.Duration) {
	w := &work.Work{ID: "r", Backend: "ledger", Path: &path.Path{}}
	const tick = 5 * time.Millisecond
	tells := 0
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(tick) {
		l.finish()
		for n := perSecond * tick.Seconds(); n > l.chance.Float64(); n-- {
			l.ask(w, l.chance.IntN(fleetHosts))
		}
		l.tell(tells)
		tells++
	}
}

// ask lets a host send a request.
func (l *ledger) ask(w *work.Work, host int) {
	p := l.hosts[host].Pick(l.targets[host], w, func(*target.Target) bool { return false }, l.now)
	at := int(p.Target.Row().ID[0] - 'a')
	s := l.servers[at]
	j := &job{server: at, came: l.now}
	if len(s.waiting) >= queueRoom {
		l.shed++
		return
	}
	_, j.done = p.Target.Begin(w, 0, l.now)
	if s.running == places {
		s.waiting = append(s.waiting, j)
		return
	}
	l.start(s, j)
}

func (l *ledger) start(s *server, j *job) {
	s.running++
	took := float64(workTime) * math.Exp(0.5*l.chance.NormFloat64()-0.125)
	if j.server == 0 {
		took *= l.slow
	}
	l.waits = append(l.waits, l.now.Sub(j.came))
	j.end = l.now.Add(time.Duration(took))
	heap.Push(&l.ends, j)
}

// finish ends what is over.
func (l *ledger) finish() {
	for len(l.ends) > 0 && !l.ends[0].end.After(l.now) {
		j := heap.Pop(&l.ends).(*job)
		j.done()
		s := l.servers[j.server]
		s.running--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			l.start(s, next)
		}
	}
}

// tell gives a part of the hosts the others' counts as they were a while ago.
func (l *ledger) tell(tick int) {
	const tick5 = 5 * time.Millisecond
	var counts []int
	for i := range l.servers {
		sum := 0
		for _, own := range l.targets {
			n, _ := own[i].Own()
			sum += n
		}
		counts = append(counts, sum)
	}
	l.history = append(l.history, counts)
	old := len(l.history) - 1 - int(toldAge/tick5)
	if old < 0 {
		return
	}
	each := int(toldEvery / tick5)
	for h := range l.hosts {
		if h%each != tick%each {
			continue
		}
		for i, t := range l.targets[h] {
			own, _ := t.Own()
			t.HearAll(float64(max(0, l.history[old][i]-own)), 0, l.now)
		}
	}
}

// mean returns the mean time for which requests waited at a server.
func (l *ledger) mean() time.Duration {
	var sum time.Duration
	for _, w := range l.waits {
		sum += w
	}
	return sum / time.Duration(max(1, len(l.waits)))
}

var _ = Describe("Choice of a few servers with few places under many hosts", func() {
	DescribeTable("spreads requests though each host's counts are older than a request lasts",
		func(servers int, perSecond float64) {
			l := newLedger(servers)
			l.play(perSecond, 30*time.Second)
			Expect(l.shed).To(BeZero())
			Expect(l.mean()).To(BeNumerically("<", workTime/2))
		},
		Entry("four servers, two thirds busy", 4, 265.0), Entry("three servers, five sixths busy", 3, 250.0), Entry("seven servers, half busy", 7, 350.0),
	)

	It("gives a server that takes three times as long less", func() {
		l := newLedger(4)
		l.slow = 3
		l.play(200, 30*time.Second)
		Expect(l.shed).To(BeZero())
		Expect(l.mean()).To(BeNumerically("<", workTime))
	})
})
