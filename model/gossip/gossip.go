// Package gossip plays the spread of catalogue changes over many entry hosts and counts messages and bytes.
package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/spread"
	"github.com/dragonflyroute/dragonflyroute/model/sched"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/fleet"
	"github.com/dragonflyroute/dragonflyroute/state/newest"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
)

const (
	heartbeat    = 500 * time.Millisecond
	tableRead    = 2 * time.Second
	tableLatency = 4 * time.Millisecond
	dataCentres  = 7
	nearLatency  = 1500 * time.Microsecond
	farLatency   = 40 * time.Millisecond
	regions      = 3
	maxAge       = 30 * time.Second
	envelope     = 120
	catalogueLen = 4000
	settle       = 3 * time.Second
	changeEvery  = 6 * time.Second
	cutTime      = 10 * time.Second
)

// Gossip is one run: several changes, then a data centre cut off over a change, then healed.
type Gossip struct {
	// Seed decides everything.
	Seed uint64
	// Hosts is the number of entry hosts.
	Hosts int
	// Loss is the chance that a message is lost.
	Loss float64
	// Changes is the number of changes before the cut.
	Changes int

	// Spread holds, sorted, the time from each change to each host that was not cut off.
	Spread []time.Duration
	// Healed holds, sorted, the time from the heal to each host that was cut off.
	Healed []time.Duration
	// Reverts counts hosts that went to a lower revision.
	Reverts int
	// Messages and Bytes count all sent and received, for each host and second.
	Messages, Bytes float64
	// IdleBytes counts bytes for each host and second before the first change.
	IdleBytes float64
	// Reads is the table's reads a second.
	Reads float64

	sched   *sched.Sched
	nodes   []*node
	head    *catlog.Catalogue
	changed time.Time
	cut     bool
	bytes   float64
	count   float64
	reads   float64
	over    bool
}

// node is one entry host.
type node struct {
	gossip *Gossip
	id     int
	seq    int64
	holder *newest.Catalogue
	spread *spread.Gossip
	// shown is the highest revision whose arrival was counted.
	shown int64
}

// Run plays the run.
func (g *Gossip) Run() {
	g.sched = sched.New(g.Seed)
	g.head = &catlog.Catalogue{Revision: 1}
	started := g.sched.Now()
	var rows []roster.Row
	for i := range g.Hosts {
		rows = append(rows, roster.Row{ID: endpt.ID(name(i)), PeerAddress: name(i), State: roster.Live})
	}
	for i := range g.Hosts {
		g.start(i, rows)
	}
	g.sched.Go("operator", g.operate)
	g.sched.Run(10 * time.Minute)
	seconds := g.sched.Now().Sub(started).Seconds() * float64(g.Hosts)
	g.Messages, g.Bytes = g.count/seconds, g.bytes/seconds
	g.Reads = g.reads / g.sched.Now().Sub(started).Seconds()
	slices.Sort(g.Spread)
	slices.Sort(g.Healed)
}

func name(i int) string { return fmt.Sprintf("entry-%04d", i) }

func (g *Gossip) start(i int, rows []roster.Row) {
	n := &node{gossip: g, id: i, holder: &newest.Catalogue{}}
	n.holder.Offer(g.head)
	f := &fleet.Fleet{Self: host.ID(name(i)), Timeout: 6 * heartbeat}
	f.SetListed(rows)
	n.spread = &spread.Gossip{
		Peers: n, Table: n, Fleet: f, Catalogue: n.holder, Trials: &trials.Trials{}, Self: n.pulse, Now: g.sched.Now,
		Rand: rand.New(rand.NewPCG(g.Seed, uint64(i))), MaxAge: maxAge, RoundTimeout: heartbeat,
	}
	g.nodes = append(g.nodes, n)
	g.sched.Go("node", func() {
		g.sched.Jitter(n.spread.RoundDelay(heartbeat))
		for !g.over {
			n.round()
			g.sched.Sleep(n.spread.RoundDelay(heartbeat))
		}
	})
	g.sched.Go("node", func() {
		for !g.over {
			g.sched.Sleep(n.spread.ReadDelay(tableRead))
			before := n.holder.Revision()
			_ = n.spread.ReadTable(context.Background())
			n.tell(before)
		}
	})
}

// round starts an exchange with each peer of a round, as the product does at once.
func (n *node) round() {
	for _, address := range n.spread.SamplePeers() {
		n.gossip.sched.Go("node", func() {
			before := n.holder.Revision()
			n.spread.Exchange(context.Background(), address)
			n.tell(before)
		})
	}
}

// tell starts a further round when the catalogue has changed.
func (n *node) tell(before int64) {
	now := n.holder.Revision()
	if now < before {
		n.gossip.Reverts++
	}
	if now > max(before, n.shown) {
		n.shown = now
		n.took()
	}
}

func (n *node) took() {
	g := n.gossip
	took := g.sched.Now().Sub(g.changed)
	switch {
	case !g.cutOff(n):
		g.Spread = append(g.Spread, took)
	case !g.cut:
		g.Healed = append(g.Healed, took)
	}
	n.round()
}

// cutOff reports whether the node stands in the data centre that gets cut off.
func (g *Gossip) cutOff(n *node) bool { return n.id%dataCentres == 0 }

func (g *Gossip) operate() {
	g.sched.Sleep(settle)
	g.IdleBytes = g.bytes / (settle.Seconds() * float64(g.Hosts))
	for range g.Changes {
		g.change()
		g.sched.Sleep(changeEvery)
	}
	g.cut = true
	g.sched.Sleep(heartbeat)
	g.change()
	g.sched.Sleep(cutTime)
	g.cut = false
	g.changed = g.sched.Now()
	g.sched.Sleep(changeEvery)
	g.over = true
}

func (g *Gossip) change() {
	g.head = &catlog.Catalogue{Revision: g.head.Revision + 1}
	g.changed = g.sched.Now()
	n := g.nodes[1+g.sched.Rand.IntN(dataCentres-1)]
	before := n.holder.Revision()
	n.holder.Offer(g.head)
	n.tell(before)
}

func (n *node) pulse() beat.Heartbeat {
	n.seq++
	return beat.Heartbeat{
		Host: host.ID(name(n.id)), Incarnation: 1, Seq: n.seq, CallerAddress: "10.100.100.100:8101", PeerAddress: name(n.id), DataCentre: "bzh-rennes",
		State: beat.Live, Revision: n.holder.Revision(), ConfirmedMillis: min(n.holder.Age(n.gossip.sched.Now()).Milliseconds(), 99_999), Running: 20,
	}
}

// send counts a message and its bytes at both ends and takes its time; false means that it was lost.
func (n *node) send(to *node, size int) bool {
	g := n.gossip
	g.count += 2
	g.bytes += 2 * float64(size+envelope)
	latency := nearLatency
	if n.id%regions != to.id%regions {
		latency = farLatency
	}
	g.sched.Sleep(latency)
	return !g.sched.Chance(g.Loss) && (!g.cut || g.cutOff(n) == g.cutOff(to))
}

func size(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(data)
}

var errLost = fault.New(kind.Unavailable, "", "lost")

func (n *node) peer(address string) *node {
	var i int
	_, _ = fmt.Sscanf(address, "entry-%d", &i)
	return n.gossip.nodes[i]
}

// Heartbeat sends a heartbeat and returns the peer's own.
func (n *node) Heartbeat(_ context.Context, address string, p beat.Heartbeat) (beat.Heartbeat, error) {
	to := n.peer(address)
	if !n.send(to, size(p)) {
		return beat.Heartbeat{}, errLost
	}
	to.spread.Receive(p)
	answer := to.pulse()
	if !to.send(n, size(answer)) {
		return beat.Heartbeat{}, errLost
	}
	return answer, nil
}

// Fetch returns the peer's newest catalogue.
func (n *node) Fetch(_ context.Context, address string) (*catlog.Catalogue, error) {
	to := n.peer(address)
	if !n.send(to, 0) {
		return nil, errLost
	}
	c := to.holder.Current()
	if !to.send(n, catalogueLen) {
		return nil, errLost
	}
	return c, nil
}

// Push offers the peer a catalogue.
func (n *node) Push(_ context.Context, address string, c *catlog.Catalogue) error {
	to := n.peer(address)
	if !n.send(to, catalogueLen) {
		return errLost
	}
	before := to.holder.Revision()
	to.holder.Offer(c)
	to.tell(before)
	to.send(n, 0)
	return nil
}

// Head reads the table's head row.
func (n *node) Head(context.Context) (*catlog.Catalogue, error) {
	g := n.gossip
	g.reads++
	g.sched.Sleep(tableLatency)
	if g.cut && g.cutOff(n) {
		return nil, errLost
	}
	return g.head, nil
}
