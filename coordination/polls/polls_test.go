package polls_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/paces"
	"github.com/dragonflyroute/dragonflyroute/coordination/polls"
	"github.com/dragonflyroute/dragonflyroute/coordination/rates"
	"github.com/dragonflyroute/dragonflyroute/coordination/reader"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/client"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/news"
	"github.com/dragonflyroute/dragonflyroute/protocol/pulse"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/reply"
	"github.com/dragonflyroute/dragonflyroute/protocol/sums"
	"github.com/dragonflyroute/dragonflyroute/protocol/window"
)

func TestPolls(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "polls")
}

const (
	tick    = 10 * time.Millisecond
	drain   = 3 * time.Second
	centres = 4
	rowsIn  = "rows"
	// window is the time in which an account's rate is looked at, excess what is tolerated beyond rate and burst as a part,
	// and slack what is tolerated beside that.
	rateWindow = 8 * time.Second
	excess     = 1.1
	slack      = 140_000.0
)

// fleet is a number of hosts that exchange tables and figures on a virtual clock, before a store with one table.
type fleet struct {
	now    time.Time
	hosts  []*member
	byID   map[host.ID]*member
	live   []pulse.Pulse
	chance *rand.Rand
	// version is the table's newest.
	version int64
	// reads counts the hosts' own reads.
	reads int
}

// member is one host.
type member struct {
	fleet *fleet
	self  pulse.Pulse
	polls *polls.Polls
	rates *rates.Rates
	rows  *rows
	next  time.Time
	// age is the age of the other hosts' figures when they were heard last, on their average.
	age time.Duration
}

// rows is a host's view of the store's table.
type rows struct {
	fleet    *fleet
	version  int64
	good     time.Time
	nextRead time.Time
	// refused tells that the store does not answer this host.
	refused bool
	lost    bool
}

func (r *rows) Version() int64             { return r.version }
func (r *rows) Lost() bool                 { return r.lost }
func (r *rows) Age() (time.Duration, bool) { return r.fleet.now.Sub(r.good), r.version > 0 }

func (r *rows) Offer(n *news.News, asked time.Time) bool {
	if n.Version < r.version {
		return false
	}
	r.version, r.lost = n.Version, false
	if at := asked.Add(-time.Duration(n.AgeMillis) * time.Millisecond); at.After(r.good) {
		r.good = at
	}
	return true
}

func (r *rows) News(have int64) (news.News, bool) {
	return news.News{Since: have, Version: r.version, AgeMillis: r.fleet.now.Sub(r.good).Milliseconds(), BackMillis: -1}, r.version > 0
}

// read reads the table when that is due.
func (r *rows) read(rest, pause time.Duration) {
	if rest > 0 || r.fleet.now.Before(r.nextRead) {
		return
	}
	r.fleet.reads++
	r.nextRead = r.fleet.now.Add(pause)
	if r.lost = r.refused; !r.refused {
		r.version, r.good = r.fleet.version, r.fleet.now
	}
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), byID: map[host.ID]*member{}, chance: rand.New(rand.NewPCG(5, uint64(n))), version: 1}
	for i := range n {
		p := pulse.Pulse{Host: host.ID(fmt.Sprintf("h%04d", i)), DataCentre: centre.ID(fmt.Sprint("dc", i%centres)), State: pulse.Live, Weight: 1}
		f.live = append(f.live, p)
		f.hosts = append(f.hosts, f.member(p))
		f.byID[p.Host] = f.hosts[i]
	}
	return f
}

func (f *fleet) member(p pulse.Pulse) *member {
	m := &member{fleet: f, self: p, rows: &rows{fleet: f}, next: f.now.Add(time.Duration(f.chance.Int64N(int64(time.Second))))}
	m.rates = &rates.Rates{Hosts: func() int { return len(f.live) }, Slack: slack, Window: rateWindow, Rand: f.chance.Float64, Started: f.now}
	m.polls = &polls.Polls{
		Reader: reader.Reader{Self: p.Host, In: p.DataCentre}, Site: m, Watched: rowsIn,
		Now: func() time.Time { return f.now }, Boot: func() time.Time { return f.now }, Log: hclog.NewNullLogger(),
	}
	m.polls.Add(rowsIn, m.rows)
	return m
}

func (m *member) Paces() paces.Paces {
	return paces.Paces{Hosts: len(m.fleet.live), Role: m.polls.Role(), Listed: true, Drain: drain, Apply: drain}
}

func (m *member) Live(time.Time) []pulse.Pulse { return append([]pulse.Pulse(nil), m.fleet.live...) }
func (m *member) Tight(now time.Time) bool     { return m.rates.Tight(now) }

func (m *member) Own(now time.Time) *sums.Sums {
	demand, used := m.rates.Own(now)
	return &sums.Sums{Hosts: 1, Seasoned: m.rates.Age(now), Demand: demand, Used: used, Sent: map[string]int{"e": 1}}
}

func (m *member) HearRest(others *sums.Sums, now time.Time) {
	m.rates.HearSums(others, now)
	m.age = time.Duration(others.Aged / float64(others.Hosts) * float64(time.Second))
}

func (m *member) Query(_ context.Context, h pulse.Pulse, q query.Query) (reply.Reply, error) {
	o := m.fleet.byID[h.Host]
	if o == nil {
		return reply.Reply{}, fault.New(kind.Unavailable, "", "no such host")
	}
	q.Host = m.self.Host
	return o.polls.Answer(q), nil
}

func (m *member) Usage(time.Time) (int64, []window.Window) { return 0, nil }
func (m *member) TakeUsage(query.Query)                    {}

// step lets each host do what is due, and then a tick pass.
func (f *fleet) step() {
	for _, m := range f.hosts {
		pace := m.Paces()
		age, known := m.rows.Age()
		m.rows.read(pace.Rest(drain, age, known), pace.EndpointsPause())
		if !f.now.Before(m.next) {
			m.next = f.now.Add(max(tick, m.polls.Turn(context.Background())))
		}
	}
	f.now = f.now.Add(tick)
}

// play lets a time pass.
func (f *fleet) play(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// sizes are those of requests: most are small, and one in ten is many times as large.
var sizes = []float64{200, 1_200, 1_200, 1_200, 2_400, 2_400, 2_400, 9_000, 12_000, 40_000}

// traffic is what one account asks of a fleet.
type traffic struct {
	fleet   *fleet
	account client.Client
	// admitted holds the units admitted in each tick.
	admitted          []float64
	asked, refused    int
	bySize, refusedOf map[float64]int
}

func newTraffic(f *fleet, rate float64) *traffic {
	return &traffic{fleet: f, account: client.Client{Name: "a", Rate: rate, Burst: rate, Tokens: true}, bySize: map[float64]int{}, refusedOf: map[float64]int{}}
}

// play asks for a part of the account's rate for a time, each request of a random host.
func (t *traffic) play(load float64, d time.Duration) {
	f := t.fleet
	for end := f.now.Add(d); f.now.Before(end); {
		t.ask(load)
		f.step()
	}
}

// ask asks for a part of the account's rate for a tick.
func (t *traffic) ask(load float64) {
	mean := 0.0
	for _, s := range sizes {
		mean += s / float64(len(sizes))
	}
	f := t.fleet
	sum := 0.0
	for n := load * t.account.Rate / mean * tick.Seconds(); n > f.chance.Float64(); n-- {
		size := sizes[f.chance.IntN(len(sizes))]
		t.asked++
		t.bySize[size]++
		if err := f.hosts[f.chance.IntN(len(f.hosts))].rates.Admit(&t.account, size, f.now); err == nil {
			sum += size
			continue
		}
		t.refused++
		t.refusedOf[size]++
	}
	t.admitted = append(t.admitted, sum)
}

// forget starts the counts of requests anew.
func (t *traffic) forget() {
	t.asked, t.refused = 0, 0
	t.bySize, t.refusedOf = map[float64]int{}, map[float64]int{}
}

// worst returns the most that was admitted in any window, as a part of what is allowed.
func (t *traffic) worst() float64 {
	most, sum := 0.0, 0.0
	length := int(rateWindow / tick)
	for i, n := range t.admitted {
		sum += n
		if i >= length {
			sum -= t.admitted[i-length]
		}
		most = max(most, sum)
	}
	return most / (excess*(t.account.Rate*rateWindow.Seconds()+t.account.Burst) + slack)
}

var _ = Describe("A fleet that exchanges its hosts' figures", func() {
	DescribeTable("knows what accounts ask for within half a second while one is near its limit",
		func(n int) {
			f := newFleet(n)
			newTraffic(f, 1_000_000).play(0.9, 15*time.Second)
			var mean time.Duration
			for _, m := range f.hosts {
				mean += m.age / time.Duration(n)
			}
			Expect(mean).To(BeNumerically("<", 500*time.Millisecond))
		},
		Entry("85 hosts", 85), Entry("295 hosts", 295),
	)

	DescribeTable("keeps an account within its rate that asks for many times as much from one moment on",
		func(n int, rate, load, factor float64) {
			t := newTraffic(newFleet(n), rate)
			t.play(load, 10*time.Second)
			t.play(load*factor, 10*time.Second)
			Expect(t.worst()).To(BeNumerically("<=", 1))
		},
		Entry("five times half of it, 85 hosts", 85, 150_000.0, 0.5, 5.0),
		Entry("eight times half of it, 85 hosts", 85, 150_000.0, 0.5, 8.0),
		Entry("eight times half of it, 295 hosts", 295, 150_000.0, 0.5, 8.0),
		Entry("eight times nine tenths of it, 60 hosts", 60, 150_000.0, 0.9, 8.0),
		Entry("eight times nine tenths of it, 295 hosts", 295, 150_000.0, 0.9, 8.0),
		Entry("eight times nine tenths of a large one, 295 hosts", 295, 1_000_000.0, 0.9, 8.0),
	)

	DescribeTable("refuses next to nothing of an account below its limit",
		func(n int, rate, load float64) {
			t := newTraffic(newFleet(n), rate)
			t.play(load, 10*time.Second)
			t.forget()
			t.play(load, 40*time.Second)
			Expect(float64(t.refused) / float64(t.asked)).To(BeNumerically("<", 0.002))
		},
		Entry("six tenths of a small one, 85 hosts", 85, 36_000.0, 0.6),
		Entry("eight tenths, 85 hosts", 85, 150_000.0, 0.8),
		Entry("eight tenths, 295 hosts", 295, 150_000.0, 0.8),
		Entry("nine tenths of a large one, 85 hosts", 85, 1_000_000.0, 0.9),
	)

	It("refuses few requests of calm accounts while all hosts start again at once", func() {
		f := newFleet(85)
		var all []*traffic
		for _, rate := range []float64{36_000, 36_000, 150_000, 150_000, 400_000} {
			all = append(all, newTraffic(f, rate))
			all[len(all)-1].account.Name = acct.ID(fmt.Sprint("a", len(all)))
		}
		asked, refused := 0, 0
		for range int(5 * time.Second / tick) {
			for _, t := range all {
				t.ask(0.55)
				asked, refused = t.asked+asked, t.refused+refused
				t.forget()
			}
			f.step()
		}
		Expect(float64(refused) / float64(asked)).To(BeNumerically("<", 0.05))
	})

	It("refuses large requests of an account that asks for twice its rate as often as small ones", func() {
		t := newTraffic(newFleet(85), 300_000)
		t.play(2, 10*time.Second)
		t.forget()
		t.play(2, 60*time.Second)
		all := float64(t.refused) / float64(t.asked)
		for _, size := range []float64{1_200, 2_400, 12_000, 40_000} {
			Expect(float64(t.refusedOf[size])/float64(t.bySize[size])).To(BeNumerically("~", all, 0.12), "%v", size)
		}
	})
})

var _ = Describe("A small fleet of which the store turns two hosts away", func() {
	It("lets them hear the tables from the others, while each of these reads by itself", func() {
		f := newFleet(7)
		f.play(3 * time.Second)
		for _, m := range f.hosts[:2] {
			m.rows.refused = true
		}
		oldest := time.Duration(0)
		for range 900 {
			f.version++
			f.step()
			for _, m := range f.hosts {
				age, _ := m.rows.Age()
				oldest = max(oldest, age)
			}
		}
		Expect(oldest).To(BeNumerically("<", drain-time.Second))
	})

	It("asks nobody while the store answers all", func() {
		f := newFleet(7)
		f.play(3 * time.Second)
		asked := 0
		for _, m := range f.hosts {
			m.polls.Site = &counting{member: m, asked: &asked}
		}
		f.play(10 * time.Second)
		Expect(asked).To(BeZero())
	})
})

// counting counts a host's queries.
type counting struct {
	*member
	asked *int
}

func (c *counting) Query(ctx context.Context, h pulse.Pulse, q query.Query) (reply.Reply, error) {
	*c.asked++
	return c.member.Query(ctx, h, q)
}
