package reader_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/follow"
	"github.com/dragonflyroute/dragonflyroute/coordination/reader"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/pulse"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/roles"
	"github.com/dragonflyroute/dragonflyroute/state/mirror"
)

const (
	// drain is the time within which a change must reach all hosts.
	drain = 4 * time.Second
	// period is the interval between queries.
	period = drain / 5
	// tick is the step of the virtual clock.
	tick = 50 * time.Millisecond
)

// cluster is a fleet of hosts that read one table, from the store or from each other, on a virtual clock.
type cluster struct {
	now   time.Time
	hosts []*member
	live  []pulse.Pulse
	byID  map[host.ID]*member
	// version is the table's newest version; it changes with each tick.
	version int64
	reads   int
	down    bool
}

// member is one host of the cluster.
type member struct {
	cluster   *cluster
	self      pulse.Pulse
	reader    reader.Reader
	table     *follow.Follow
	role      roles.Role
	upstreams []pulse.Pulse
	dead      bool
	// storeDown is set while the store does not answer this host.
	storeDown bool
	// unresponsive holds the hosts that did not answer this one.
	unresponsive       map[host.ID]bool
	nextRead, nextPoll time.Time
}

// Snapshot reads the whole table.
func (t *member) Snapshot(context.Context) ([]record.Record, int64, error) {
	t.cluster.reads++
	if t.storeDown || t.cluster.down {
		return nil, 0, fault.New(kind.OutcomeUnknown, "", "no answer")
	}
	return []record.Record{{Key: "e", Value: []byte(fmt.Sprint(t.cluster.version)), Version: t.cluster.version}}, t.cluster.version, nil
}

// Changes reads the table's one row.
func (t *member) Changes(ctx context.Context, _ int64, _ time.Duration) ([]record.Record, int64, error) {
	return t.Snapshot(ctx)
}

func newCluster(n int) *cluster {
	m := &cluster{now: time.Unix(1000, 0), version: 1, live: hosts(5, n/5), byID: map[host.ID]*member{}}
	chance := rand.New(rand.NewPCG(3, uint64(n)))
	for _, h := range m.live {
		t := &member{cluster: m, self: h, reader: reader.Reader{Self: h.Host, In: h.DataCentre}, unresponsive: map[host.ID]bool{}}
		ignore := func([]record.Record) {}
		t.table = &follow.Follow{
			Name: "t", Source: t, Whole: ignore, Changed: ignore, Now: func() time.Time { return m.now }, Log: hclog.NewNullLogger(),
			Mirror: &mirror.Mirror{}, Rest: t.readDelay,
		}
		t.nextPoll = m.now.Add(time.Duration(chance.Int64N(int64(period))))
		m.hosts = append(m.hosts, t)
		m.byID[h.Host] = t
	}
	return m
}

func (t *member) readDelay(age time.Duration, known bool) time.Duration {
	switch {
	case t.role == roles.Head || !known:
		return 0
	case t.role == roles.Second:
		return drain*35/100 - age
	default:
		return drain*65/100 - age
	}
}

// alive returns the hosts that are alive in this host's view.
func (t *member) alive() []pulse.Pulse {
	var out []pulse.Pulse
	for _, h := range t.cluster.live {
		if !t.unresponsive[h.Host] {
			out = append(out, h)
		}
	}
	return out
}

// updateRole sets the host's role and upstreams; both change only with its view of the live hosts.
func (t *member) updateRole() {
	live := t.alive()
	t.role = t.reader.Role(live)
	t.upstreams = t.reader.Asks(live)
}

func (t *member) step() {
	if t.upstreams == nil {
		t.updateRole()
	}
	now := t.cluster.now
	if !now.Before(t.nextPoll) {
		t.nextPoll = now.Add(period)
		if t.role != roles.Other {
			t.nextPoll = now.Add(period / 2)
		}
		t.poll()
	}
	if t.table.Due() <= 0 && !now.Before(t.nextRead) {
		t.nextRead = now.Add(period)
		_ = t.table.Read(context.Background())
	}
}

func (t *member) poll() {
	for _, h := range t.upstreams {
		o := t.cluster.find(h.Host)
		if o.dead {
			t.unresponsive[h.Host] = true
			t.updateRole()
			continue
		}
		n, ok := o.table.Mirror.News(t.table.Version(), t.cluster.now)
		if ok && t.table.Offer(&n, t.cluster.now) {
			return
		}
	}
}

func (m *cluster) find(id host.ID) *member { return m.byID[id] }

// run advances the clock by d and returns the reads of the store in that time and the greatest age of any host's copy.
func (m *cluster) run(d time.Duration) (reads int, oldest time.Duration) {
	m.reads = 0
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(tick) {
		m.version++
		for _, t := range m.hosts {
			if t.dead {
				continue
			}
			t.step()
			if age, ok := t.table.Age(); ok {
				oldest = max(oldest, age)
			}
		}
	}
	return m.reads, oldest
}

// readersOf returns the readers of a host's data centre.
func (m *cluster) readersOf(h *member) (out []*member) {
	for _, r := range h.reader.Of(h.reader.In, m.live) {
		out = append(out, m.find(r.Host))
	}
	return out
}

var _ = Describe("A fleet whose readers pass a table on to the other hosts", func() {
	settled := func(n int) *cluster {
		m := newCluster(n)
		m.run(5 * time.Second)
		return m
	}
	// safe is the greatest age allowed for a copy, so that a read that takes a second still ends within drain.
	const safe = drain - time.Second

	It("keeps the reads of the store bounded as it grows, and learns of changes in time", func() {
		for n, most := range map[int]float64{60: 9, 295: 9, 1100: 9} {
			reads, oldest := settled(n).run(20 * time.Second)
			Expect(float64(reads)/20).To(BeNumerically("<=", most), "%d hosts", n)
			Expect(oldest).To(BeNumerically("<", safe), "%d hosts", n)
		}
	})

	It("learns of changes in time when all readers of a data centre fail at once", func() {
		m := settled(295)
		for _, r := range m.readersOf(m.hosts[0]) {
			r.dead = true
		}
		_, oldest := m.run(10 * time.Second)
		Expect(oldest).To(BeNumerically("<", safe))
	})

	It("learns of changes in time when the store does not answer the readers of all data centres", func() {
		m := settled(295)
		for _, h := range m.hosts[:5] {
			for _, r := range m.readersOf(h) {
				r.storeDown = true
			}
		}
		oldest := time.Duration(0)
		for range 200 {
			m.run(tick)
			for _, t := range m.hosts {
				if age, _ := t.table.Age(); !t.storeDown {
					oldest = max(oldest, age)
				}
			}
		}
		Expect(oldest).To(BeNumerically("<", safe))
	})

	It("does not flood the store with reads after an outage", func() {
		m := settled(295)
		m.down = true
		m.run(6 * time.Second)
		m.down = false
		m.run(2 * time.Second)
		reads, oldest := m.run(5 * time.Second)
		Expect(float64(reads) / 5).To(BeNumerically("<", 40))
		Expect(oldest).To(BeNumerically("<", safe))
	})
})
