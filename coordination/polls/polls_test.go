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

	"github.com/dragonflyroute/dragonflyroute/coordination/polls"
	"github.com/dragonflyroute/dragonflyroute/coordination/rates"
	"github.com/dragonflyroute/dragonflyroute/coordination/reader"
	"github.com/dragonflyroute/dragonflyroute/coordination/sched"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/client"
	"github.com/dragonflyroute/dragonflyroute/protocol/delta"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/notice"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/reply"
	"github.com/dragonflyroute/dragonflyroute/protocol/stats"
	"github.com/dragonflyroute/dragonflyroute/protocol/window"
	"github.com/dragonflyroute/dragonflyroute/state/blame"
)

func TestPolls(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "polls")
}

const (
	tick      = 10 * time.Millisecond
	drain     = 3 * time.Second
	centres   = 4
	rowsTable = "rows"
	// rateWindow is the window over which an account's rate is checked, excess the allowed factor on rate and burst,
	// and slack the units tolerated in addition.
	rateWindow = 8 * time.Second
	excess     = 1.1
	slack      = 140_000.0
	// limitTime is the time in which hosts must keep to a request limit.
	limitTime = 3 * time.Second
)

// fleet is several hosts that exchange tables and figures on a virtual clock, in front of a store with one table.
type fleet struct {
	now    time.Time
	hosts  []*member
	byID   map[host.ID]*member
	live   []beat.Heartbeat
	random *rand.Rand
	// version is the table's newest version.
	version int64
	// reads counts the hosts' reads of the store.
	reads int
}

// member is one host.
type member struct {
	fleet *fleet
	self  beat.Heartbeat
	polls *polls.Polls
	rates *rates.Rates
	rows  *rows
	next  time.Time
	// age is the average age of the other hosts' figures on last receipt.
	age time.Duration
	// told is what an endpoint has told this host of its request limit, at toldAt; heard is what the other hosts report.
	told   *notice.Notice
	toldAt time.Time
	heard  notice.Notice
	// blame is what this host knows of prompt parts.
	blame *blame.Blame
}

// rows is a host's view of the store's table.
type rows struct {
	fleet     *fleet
	version   int64
	confirmed time.Time
	nextRead  time.Time
	// cutOff is true while the store does not answer this host.
	cutOff bool
	lost   bool
}

func (r *rows) Version() int64             { return r.version }
func (r *rows) Unreachable() bool          { return r.lost }
func (r *rows) Age() (time.Duration, bool) { return r.fleet.now.Sub(r.confirmed), r.version > 0 }

func (r *rows) Merge(d *delta.Delta, sent time.Time) bool {
	if d.Version < r.version {
		return false
	}
	r.version, r.lost = d.Version, false
	if at := sent.Add(-time.Duration(d.AgeMillis) * time.Millisecond); at.After(r.confirmed) {
		r.confirmed = at
	}
	return true
}

func (r *rows) ChangesSince(have int64) (delta.Delta, bool) {
	return delta.Delta{Since: have, Version: r.version, AgeMillis: r.fleet.now.Sub(r.confirmed).Milliseconds(), RecoveredMillis: -1}, r.version > 0
}

// read reads the table if that is due.
func (r *rows) read(delay, pause time.Duration) {
	if delay > 0 || r.fleet.now.Before(r.nextRead) {
		return
	}
	r.fleet.reads++
	r.nextRead = r.fleet.now.Add(pause)
	if r.lost = r.cutOff; !r.cutOff {
		r.version, r.confirmed = r.fleet.version, r.fleet.now
	}
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), byID: map[host.ID]*member{}, random: rand.New(rand.NewPCG(5, uint64(n))), version: 1}
	for i := range n {
		h := beat.Heartbeat{Host: host.ID(fmt.Sprintf("h%04d", i)), DataCentre: centre.ID(fmt.Sprint("dc", i%centres)), State: beat.Live, Weight: 1}
		f.live = append(f.live, h)
		f.hosts = append(f.hosts, f.member(h))
		f.byID[h.Host] = f.hosts[i]
	}
	return f
}

func (f *fleet) member(h beat.Heartbeat) *member {
	m := &member{fleet: f, self: h, rows: &rows{fleet: f}, next: f.now.Add(time.Duration(f.random.Int64N(int64(time.Second))))}
	m.blame = &blame.Blame{Settle: func() time.Duration { return 3 * m.Schedule().PollInterval() }}
	m.rates = &rates.Rates{Hosts: func() int { return len(f.live) }, Slack: slack, Window: rateWindow, Rand: f.random.Float64, Started: f.now}
	m.polls = &polls.Polls{
		Reader: reader.Reader{Self: h.Host, DataCentre: h.DataCentre}, Site: m, ProbeTable: rowsTable,
		Now: func() time.Time { return f.now }, BootClock: func() time.Time { return f.now }, Log: hclog.NewNullLogger(),
	}
	m.polls.Add(rowsTable, m.rows)
	return m
}

func (m *member) Schedule() sched.Schedule {
	return sched.Schedule{Hosts: len(m.fleet.live), Role: m.polls.Role(), HostsRead: true, Drain: drain, Apply: drain}
}

func (m *member) Live(time.Time) []beat.Heartbeat {
	return append([]beat.Heartbeat(nil), m.fleet.live...)
}
func (m *member) NearLimit(now time.Time) bool { return m.rates.NearLimit(now) }

func (m *member) Own(now time.Time) *stats.Stats {
	demand, used := m.rates.LocalUsage(now)
	out := &stats.Stats{Hosts: 1, Coverage: m.rates.Coverage(now), Demand: demand, Admitted: used, InFlight: map[string]int{"e": 1}}
	out.Prompts = m.blame.Reports(now)
	if m.told != nil {
		n := *m.told
		n.Age = now.Sub(m.toldAt)
		out.RequestLimits = map[string]notice.Notice{"e": n}
	}
	return out
}

func (m *member) SetOthers(others *stats.Stats, now time.Time) {
	m.rates.SetOthers(others, now)
	m.heard = others.RequestLimits["e"]
	for hash, r := range others.Prompts {
		m.blame.Merge(hash, r, now)
	}
	m.age = time.Duration(others.AgeSum / float64(others.Hosts) * float64(time.Second))
}

func (m *member) Query(_ context.Context, h beat.Heartbeat, q query.Query) (reply.Reply, error) {
	o := m.fleet.byID[h.Host]
	if o == nil {
		return reply.Reply{}, fault.New(kind.Unavailable, "", "no such host")
	}
	q.Host = m.self.Host
	return o.polls.Answer(q), nil
}

func (m *member) Usage(time.Time) (int64, []window.Window) { return 0, nil }
func (m *member) AcceptUsage(query.Query) int64            { return 0 }

// step runs what is due on each host, then advances the clock by a tick.
func (f *fleet) step() {
	for _, m := range f.hosts {
		schedule := m.Schedule()
		age, known := m.rows.Age()
		m.rows.read(schedule.ReadDelay(drain, age, known), schedule.EndpointsPause())
		if !f.now.Before(m.next) {
			m.next = f.now.Add(max(tick, m.polls.Poll(context.Background())))
		}
	}
	f.now = f.now.Add(tick)
}

// play runs the fleet for a time.
func (f *fleet) play(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// sizes are the requests' sizes in units: most are small, and one in ten is many times as large.
var sizes = []float64{200, 1_200, 1_200, 1_200, 2_400, 2_400, 2_400, 9_000, 12_000, 40_000}

// traffic is the requests of one account to a fleet.
type traffic struct {
	fleet   *fleet
	account client.Account
	// admitted is the units admitted in each tick.
	admitted                  []float64
	sent, refused             int
	sentBySize, refusedBySize map[float64]int
}

func newTraffic(f *fleet, rate float64) *traffic {
	return &traffic{fleet: f, account: client.Account{Name: "a", Rate: rate, Burst: rate, Tokens: true}, sentBySize: map[float64]int{}, refusedBySize: map[float64]int{}}
}

// play sends a fraction of the account's rate for a time, each request to a random host.
func (t *traffic) play(load float64, d time.Duration) {
	f := t.fleet
	for end := f.now.Add(d); f.now.Before(end); {
		t.send(load)
		f.step()
	}
}

// send sends a fraction of the account's rate for a tick.
func (t *traffic) send(load float64) {
	mean := 0.0
	for _, s := range sizes {
		mean += s / float64(len(sizes))
	}
	f := t.fleet
	sum := 0.0
	for n := load * t.account.Rate / mean * tick.Seconds(); n > f.random.Float64(); n-- {
		size := sizes[f.random.IntN(len(sizes))]
		t.sent++
		t.sentBySize[size]++
		if err := f.hosts[f.random.IntN(len(f.hosts))].rates.Admit(&t.account, size, f.now); err == nil {
			sum += size
			continue
		}
		t.refused++
		t.refusedBySize[size]++
	}
	t.admitted = append(t.admitted, sum)
}

// resetCounts resets the counts of requests.
func (t *traffic) resetCounts() {
	t.sent, t.refused = 0, 0
	t.sentBySize, t.refusedBySize = map[float64]int{}, map[float64]int{}
}

// worst returns the most units admitted in any window, as a fraction of the allowed ones.
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
	DescribeTable("knows accounts' demand with a lag below half a second while one is near its limit",
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

	DescribeTable("limits an account to its rate when its demand suddenly rises to several times as much",
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

	// Guards against the first window of a flood: hosts do not know yet what the others admit, and all of it is free.
	DescribeTable("limits an account that floods as soon as traffic begins",
		func(n int, rate, factor float64) {
			t := newTraffic(newFleet(n), rate)
			t.play(0, 14*time.Second)
			t.play(factor, 12*time.Second)
			Expect(t.worst()).To(BeNumerically("<=", 1))
		},
		Entry("four times it, 76 hosts", 76, 1_220_000.0, 4.0),
		Entry("six times it, 76 hosts", 76, 1_220_000.0, 6.0),
		Entry("seven and a half times it, 76 hosts", 76, 1_220_000.0, 7.5),
		Entry("six times it, 85 hosts", 85, 150_000.0, 6.0),
	)

	DescribeTable("refuses almost no requests of an account below its limit",
		func(n int, rate, load float64) {
			t := newTraffic(newFleet(n), rate)
			t.play(load, 10*time.Second)
			t.resetCounts()
			t.play(load, 40*time.Second)
			Expect(float64(t.refused) / float64(t.sent)).To(BeNumerically("<", 0.002))
		},
		Entry("six tenths of a small one, 85 hosts", 85, 36_000.0, 0.6),
		Entry("eight tenths, 85 hosts", 85, 150_000.0, 0.8),
		Entry("eight tenths, 295 hosts", 295, 150_000.0, 0.8),
		Entry("nine tenths of a large one, 85 hosts", 85, 1_000_000.0, 0.9),
	)

	It("refuses few requests of accounts below their limits while all hosts restart at once", func() {
		f := newFleet(85)
		var all []*traffic
		for _, rate := range []float64{36_000, 36_000, 150_000, 150_000, 400_000} {
			all = append(all, newTraffic(f, rate))
			all[len(all)-1].account.Name = acct.ID(fmt.Sprint("a", len(all)))
		}
		sent, refused := 0, 0
		for range int(5 * time.Second / tick) {
			for _, t := range all {
				t.send(0.55)
				sent, refused = t.sent+sent, t.refused+refused
				t.resetCounts()
			}
			f.step()
		}
		Expect(float64(refused) / float64(sent)).To(BeNumerically("<", 0.05))
	})

	It("refuses large requests as often as small ones when an account's demand is twice its rate", func() {
		t := newTraffic(newFleet(85), 300_000)
		t.play(2, 10*time.Second)
		t.resetCounts()
		t.play(2, 60*time.Second)
		all := float64(t.refused) / float64(t.sent)
		for _, size := range []float64{1_200, 2_400, 12_000, 40_000} {
			Expect(float64(t.refusedBySize[size])/float64(t.sentBySize[size])).To(BeNumerically("~", all, 0.12), "%v", size)
		}
	})
})

var _ = Describe("A small fleet with two hosts that the store does not answer", func() {
	It("gives these hosts the tables from the others, which read the store themselves", func() {
		f := newFleet(7)
		f.play(3 * time.Second)
		for _, m := range f.hosts[:2] {
			m.rows.cutOff = true
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

	It("sends no queries while the store answers all hosts", func() {
		f := newFleet(7)
		f.play(3 * time.Second)
		queries := 0
		for _, m := range f.hosts {
			m.polls.Site = &counting{member: m, queries: &queries}
		}
		f.play(10 * time.Second)
		Expect(queries).To(BeZero())
	})
})

// counting counts a host's queries.
type counting struct {
	*member
	queries *int
}

func (c *counting) Query(ctx context.Context, h beat.Heartbeat, q query.Query) (reply.Reply, error) {
	*c.queries++
	return c.member.Query(ctx, h, q)
}

var _ = Describe("A large fleet of which one host is told an endpoint's request limit", func() {
	// tell gives one host what the endpoint says.
	tell := func(m *member, n notice.Notice) { m.told, m.toldAt = &n, m.fleet.now }
	// heardBy counts the other hosts that have the report.
	heardBy := func(f *fleet, from *member) (n int) {
		for _, m := range f.hosts {
			if m != from && m.heard.InForce == from.told.InForce && m.heard.PerSecond == from.told.PerSecond {
				n++
			}
		}
		return n
	}

	// Guards against hosts that learn of a limit only from the endpoint itself, each with a request too many.
	DescribeTable("tells all others in the time that hosts have to keep to it, also that it changed and ended",
		func(n int) {
			f := newFleet(n)
			f.play(5 * time.Second)
			for round, said := range []notice.Notice{{InForce: true, PerSecond: 2}, {InForce: true, PerSecond: 0.5}, {}} {
				from := f.hosts[(round*37+5)%n]
				tell(from, said)
				f.play(limitTime)
				Expect(heardBy(f, from)).To(Equal(n-1), "round %d", round)
			}
		},
		Entry("9 hosts", 9), Entry("60 hosts", 60), Entry("295 hosts", 295),
	)
})

var _ = Describe("A large fleet in which each crash under a prompt part is seen by another host", func() {
	const bad, common = 0xbad, 0xc0
	const crashes, apart = 5, 600 * time.Millisecond

	// crash makes one host see the crash of an endpoint with both parts, and another one an answer with the common part.
	crash := func(f *fleet, n int) {
		at := func(i int) *member { return f.hosts[(i*37+5)%len(f.hosts)] }
		at(n).blame.Crashed([]uint64{common, bad}, fmt.Sprint("e", n), 1, f.now)
		f.play(apart / 2)
		at(n+len(f.hosts)/2).blame.Answered([]uint64{common}, f.now)
		f.play(apart / 2)
		for _, m := range f.hosts {
			m.blame.Decide(f.now)
		}
	}
	admitting := func(f *fleet, hash uint64) (n int) {
		for _, m := range f.hosts {
			if _, ok := m.blame.Admit([]uint64{hash}, func(uint64, time.Duration) bool { return false }, f.now); ok {
				n++
			}
		}
		return n
	}

	// Guards against hosts that count only the crashes of their own requests, and against a sound part that is blocked where
	// its answers are not known.
	DescribeTable("refuses the part on all hosts in the time after the fifth crash, and not the one that was answered",
		func(n int) {
			f := newFleet(n)
			f.play(5 * time.Second)
			for i := range crashes {
				crash(f, i)
			}
			for range 10 {
				f.play(limitTime / 10)
				for _, m := range f.hosts {
					m.blame.Decide(f.now)
				}
			}
			Expect(admitting(f, bad)).To(Equal(0))
			Expect(admitting(f, common)).To(Equal(n))
		},
		Entry("9 hosts", 9), Entry("60 hosts", 60), Entry("295 hosts", 295),
	)
})
