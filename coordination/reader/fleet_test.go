package reader_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/reader"
	"github.com/dragonflyroute/dragonflyroute/coordination/watch"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
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
	live  []beat.Heartbeat
	byID  map[host.ID]*member
	// version is the table's newest version; it changes with each tick.
	version int64
	// reads counts the reads of the store since run began.
	reads int
	// down is set while the store answers no host.
	down bool
}

// member is one host of the cluster.
type member struct {
	cluster   *cluster
	self      beat.Heartbeat
	reader    reader.Reader
	table     *watch.Watcher
	role      roles.Role
	upstreams []beat.Heartbeat
	dead      bool
	// storeDown is set while the store does not answer this host.
	storeDown bool
	// unresponsive holds the hosts that did not answer this one.
	unresponsive       map[host.ID]bool
	nextRead, nextPoll time.Time
}

// Snapshot reads the whole table.
func (m *member) Snapshot(context.Context) ([]record.Record, int64, error) {
	m.cluster.reads++
	if m.storeDown || m.cluster.down {
		return nil, 0, fault.New(kind.OutcomeUnknown, "", "no answer")
	}
	return []record.Record{{Key: "e", Value: []byte(fmt.Sprint(m.cluster.version)), Version: m.cluster.version}}, m.cluster.version, nil
}

// Changes reads the table's one row.
func (m *member) Changes(ctx context.Context, _ int64, _ time.Duration) ([]record.Record, int64, time.Duration, error) {
	rows, version, err := m.Snapshot(ctx)
	return rows, version, 0, err
}

func newCluster(n int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), version: 1, live: hosts(5, n/5), byID: map[host.ID]*member{}}
	rnd := rand.New(rand.NewPCG(3, uint64(n)))
	for _, h := range c.live {
		m := &member{cluster: c, self: h, reader: reader.Reader{Self: h.Host, DataCentre: h.DataCentre}, unresponsive: map[host.ID]bool{}}
		ignore := func([]record.Record) {}
		m.table = &watch.Watcher{
			Name: "t", Source: m, OnSnapshot: ignore, OnChanges: ignore, Now: func() time.Time { return c.now }, Log: hclog.NewNullLogger(),
			Mirror: &mirror.Mirror{}, ReadDelay: m.readDelay,
		}
		m.nextPoll = c.now.Add(time.Duration(rnd.Int64N(int64(period))))
		c.hosts = append(c.hosts, m)
		c.byID[h.Host] = m
	}
	return c
}

// readDelay spreads the reads by role, so that hosts usually get updates from readers before their own read is due.
func (m *member) readDelay(age time.Duration, known bool) time.Duration {
	switch {
	case m.role == roles.Primary || !known:
		return 0
	case m.role == roles.Secondary:
		return drain*35/100 - age
	default:
		return drain*65/100 - age
	}
}

// alive returns the hosts that are alive in this host's view.
func (m *member) alive() []beat.Heartbeat {
	var out []beat.Heartbeat
	for _, h := range m.cluster.live {
		if !m.unresponsive[h.Host] {
			out = append(out, h)
		}
	}
	return out
}

// updateRole sets the host's role and upstreams; both change only with its view of the live hosts.
func (m *member) updateRole() {
	live := m.alive()
	m.role = m.reader.Role(live)
	m.upstreams = m.reader.Upstreams(live)
}

func (m *member) step() {
	if m.upstreams == nil {
		m.updateRole()
	}
	now := m.cluster.now
	if !now.Before(m.nextPoll) {
		m.nextPoll = now.Add(period)
		if m.role != roles.Other {
			m.nextPoll = now.Add(period / 2)
		}
		m.poll()
	}
	if m.table.UntilRead() <= 0 && !now.Before(m.nextRead) {
		m.nextRead = now.Add(period)
		_ = m.table.Read(context.Background())
	}
}

// poll queries the upstreams in turn until one has an update that is applied.
func (m *member) poll() {
	for _, h := range m.upstreams {
		o := m.cluster.find(h.Host)
		if o.dead {
			m.unresponsive[h.Host] = true
			m.updateRole()
			continue
		}
		d, ok := o.table.Mirror.ChangesSince(m.table.Version(), m.cluster.now)
		if ok && m.table.Merge(&d, m.cluster.now) {
			return
		}
	}
}

func (c *cluster) find(id host.ID) *member { return c.byID[id] }

// run advances the clock by d and returns the reads of the store in that time and the greatest age of any host's copy.
func (c *cluster) run(d time.Duration) (reads int, oldest time.Duration) {
	c.reads = 0
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(tick) {
		c.version++
		for _, m := range c.hosts {
			if m.dead {
				continue
			}
			m.step()
			if age, ok := m.table.Age(); ok {
				oldest = max(oldest, age)
			}
		}
	}
	return c.reads, oldest
}

// readersOf returns the readers of a host's data centre.
func (c *cluster) readersOf(h *member) (out []*member) {
	for _, r := range h.reader.Readers(h.reader.DataCentre, c.live) {
		out = append(out, c.find(r.Host))
	}
	return out
}

var _ = Describe("A fleet whose readers pass a table on to the other hosts", func() {
	settled := func(n int) *cluster {
		c := newCluster(n)
		c.run(5 * time.Second)
		return c
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
		c := settled(295)
		for _, r := range c.readersOf(c.hosts[0]) {
			r.dead = true
		}
		_, oldest := c.run(10 * time.Second)
		Expect(oldest).To(BeNumerically("<", safe))
	})

	It("learns of changes in time when the store does not answer the readers of all data centres", func() {
		c := settled(295)
		for _, h := range c.hosts[:5] {
			for _, r := range c.readersOf(h) {
				r.storeDown = true
			}
		}
		oldest := time.Duration(0)
		for range 200 {
			c.run(tick)
			for _, m := range c.hosts {
				if age, _ := m.table.Age(); !m.storeDown {
					oldest = max(oldest, age)
				}
			}
		}
		Expect(oldest).To(BeNumerically("<", safe))
	})

	It("does not flood the store with reads after an outage", func() {
		c := settled(295)
		c.down = true
		c.run(6 * time.Second)
		c.down = false
		c.run(2 * time.Second)
		reads, oldest := c.run(5 * time.Second)
		Expect(float64(reads) / 5).To(BeNumerically("<", 40))
		Expect(oldest).To(BeNumerically("<", safe))
	})
})
