// Package gossip simulates the propagation of catalogue changes between many entry hosts, and counts messages and
// bytes.
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
	heartbeatPeriod    = 500 * time.Millisecond
	tableReadPeriod    = 2 * time.Second
	tableLatency       = 4 * time.Millisecond
	dataCentres        = 7
	sameRegionLatency  = 1500 * time.Microsecond
	crossRegionLatency = 40 * time.Millisecond
	regions            = 3
	maxAge             = 30 * time.Second
	// overheadBytes is the size of the headers of each message.
	overheadBytes  = 120
	catalogueBytes = 4000
	warmUpTime     = 3 * time.Second
	changePeriod   = 6 * time.Second
	partitionTime  = 10 * time.Second
)

// Simulation is one run: several changes of the catalogue, then the partition of a data centre during a change, then the
// end of the partition.
type Simulation struct {
	// Seed determines the whole run.
	Seed uint64
	// Hosts is the number of entry hosts.
	Hosts int
	// MessageLoss is the probability that a message is lost.
	MessageLoss float64
	// Changes is the number of changes before the partition.
	Changes int

	// PropagationTimes holds the sorted times from each change to its arrival at each entry host outside the partition.
	PropagationTimes []time.Duration
	// HealTimes holds the sorted times from the end of the partition to the arrival of the change at each entry host in
	// it.
	HealTimes []time.Duration
	// Reverts counts the steps of an entry host to a lower revision.
	Reverts int
	// Messages and Bytes are sent and received messages and bytes, per entry host and second.
	Messages, Bytes float64
	// IdleBytes is sent and received bytes before the first change, per entry host and second.
	IdleBytes float64
	// TableReads is the table's reads per second, from all entry hosts.
	TableReads float64

	sched         *sched.Sched
	processes     []*process
	head          *catlog.Catalogue
	changedAt     time.Time
	partitioned   bool
	totalBytes    float64
	totalMessages float64
	totalReads    float64
	finished      bool
}

// process is one entry host; it stands for both its network peers and its client of the table.
type process struct {
	sim       *Simulation
	id        int
	seq       int64
	catalogue *newest.Catalogue
	spread    *spread.Gossip
	// lastRevision is the highest revision whose arrival has been recorded.
	lastRevision int64
}

// Run runs the simulation and sets its results.
func (g *Simulation) Run() {
	g.sched = sched.New(g.Seed)
	g.head = &catlog.Catalogue{Revision: 1}
	started := g.sched.Now()
	var rows []roster.Row
	for i := range g.Hosts {
		rows = append(rows, roster.Row{ID: endpt.ID(hostName(i)), PeerAddress: hostName(i), State: roster.Live})
	}
	for i := range g.Hosts {
		g.startProcess(i, rows)
	}
	g.sched.Go("operator", g.runOperator)
	g.sched.Run(10 * time.Minute)
	seconds := g.sched.Now().Sub(started).Seconds() * float64(g.Hosts)
	g.Messages, g.Bytes = g.totalMessages/seconds, g.totalBytes/seconds
	g.TableReads = g.totalReads / g.sched.Now().Sub(started).Seconds()
	slices.Sort(g.PropagationTimes)
	slices.Sort(g.HealTimes)
}

func hostName(i int) string { return fmt.Sprintf("entry-%04d", i) }

// startProcess starts an entry host, with one actor for gossip rounds and one for reads of the table.
func (g *Simulation) startProcess(i int, rows []roster.Row) {
	n := &process{sim: g, id: i, catalogue: &newest.Catalogue{}}
	n.catalogue.Offer(g.head)
	f := &fleet.Fleet{Self: host.ID(hostName(i)), Timeout: 6 * heartbeatPeriod}
	f.SetListed(rows)
	n.spread = &spread.Gossip{
		Peers: n, Table: n, Fleet: f, Catalogue: n.catalogue, Trials: &trials.Trials{}, Self: n.heartbeat, Now: g.sched.Now,
		Rand: rand.New(rand.NewPCG(g.Seed, uint64(i))), MaxAge: maxAge, RoundTimeout: heartbeatPeriod,
	}
	g.processes = append(g.processes, n)
	g.sched.Go("node", func() {
		g.sched.Jitter(n.spread.RoundDelay(heartbeatPeriod))
		for !g.finished {
			n.startRound()
			g.sched.Sleep(n.spread.RoundDelay(heartbeatPeriod))
		}
	})
	g.sched.Go("node", func() {
		for !g.finished {
			g.sched.Sleep(n.spread.ReadDelay(tableReadPeriod))
			before := n.catalogue.Revision()
			_ = n.spread.ReadTable(context.Background())
			n.handleUpdate(before)
		}
	})
}

// startRound starts a concurrent exchange with each of the peers sampled for a round, as the daemon does.
func (n *process) startRound() {
	for _, address := range n.spread.SamplePeers() {
		n.sim.sched.Go("node", func() {
			before := n.catalogue.Revision()
			n.spread.Exchange(context.Background(), address)
			n.handleUpdate(before)
		})
	}
}

// handleUpdate records a newer revision and starts another round for it; before is the revision held earlier.
func (n *process) handleUpdate(before int64) {
	now := n.catalogue.Revision()
	if now < before {
		n.sim.Reverts++
	}
	if now > max(before, n.lastRevision) {
		n.lastRevision = now
		n.recordArrival()
	}
}

// recordArrival records the propagation time of a change and starts a round.
func (n *process) recordArrival() {
	g := n.sim
	elapsed := g.sched.Now().Sub(g.changedAt)
	switch {
	case !g.inPartition(n):
		g.PropagationTimes = append(g.PropagationTimes, elapsed)
	case !g.partitioned:
		g.HealTimes = append(g.HealTimes, elapsed)
	}
	n.startRound()
}

// inPartition reports whether an entry host is in the data centre that is partitioned.
func (g *Simulation) inPartition(n *process) bool { return n.id%dataCentres == 0 }

// runOperator publishes the changes and starts and ends the partition.
func (g *Simulation) runOperator() {
	g.sched.Sleep(warmUpTime)
	g.IdleBytes = g.totalBytes / (warmUpTime.Seconds() * float64(g.Hosts))
	for range g.Changes {
		g.publishChange()
		g.sched.Sleep(changePeriod)
	}
	g.partitioned = true
	g.sched.Sleep(heartbeatPeriod)
	g.publishChange()
	g.sched.Sleep(partitionTime)
	g.partitioned = false
	g.changedAt = g.sched.Now()
	g.sched.Sleep(changePeriod)
	g.finished = true
}

// publishChange publishes a new revision on an entry host outside the partition.
func (g *Simulation) publishChange() {
	g.head = &catlog.Catalogue{Revision: g.head.Revision + 1}
	g.changedAt = g.sched.Now()
	n := g.processes[1+g.sched.Rand.IntN(dataCentres-1)]
	before := n.catalogue.Revision()
	n.catalogue.Offer(g.head)
	n.handleUpdate(before)
}

// heartbeat returns the entry host's next heartbeat, with values of typical length so that sizes are realistic.
func (n *process) heartbeat() beat.Heartbeat {
	n.seq++
	return beat.Heartbeat{
		Host: host.ID(hostName(n.id)), Incarnation: 1, Seq: n.seq, CallerAddress: "10.100.100.100:8101", PeerAddress: hostName(n.id), DataCentre: "bzh-rennes",
		State: beat.Live, Revision: n.catalogue.Revision(), ConfirmedMillis: min(n.catalogue.Age(n.sim.sched.Now()).Milliseconds(), 99_999), Running: 20,
	}
}

// transmit counts a message and its bytes at both ends and sleeps for its latency. It returns false if the message is
// lost.
func (n *process) transmit(to *process, size int) bool {
	g := n.sim
	g.totalMessages += 2
	g.totalBytes += 2 * float64(size+overheadBytes)
	latency := sameRegionLatency
	if n.id%regions != to.id%regions {
		latency = crossRegionLatency
	}
	g.sched.Sleep(latency)
	return !g.sched.Chance(g.MessageLoss) && (!g.partitioned || g.inPartition(n) == g.inPartition(to))
}

// jsonSize returns the length of a value's JSON encoding.
func jsonSize(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(data)
}

var errLost = fault.New(kind.Unavailable, "", "message lost")

// peer returns the entry host with an address.
func (n *process) peer(address string) *process {
	var i int
	_, _ = fmt.Sscanf(address, "entry-%d", &i)
	return n.sim.processes[i]
}

// Heartbeat sends a heartbeat and returns the peer's heartbeat.
func (n *process) Heartbeat(_ context.Context, address string, h beat.Heartbeat) (beat.Heartbeat, error) {
	to := n.peer(address)
	if !n.transmit(to, jsonSize(h)) {
		return beat.Heartbeat{}, errLost
	}
	to.spread.Receive(h)
	answer := to.heartbeat()
	if !to.transmit(n, jsonSize(answer)) {
		return beat.Heartbeat{}, errLost
	}
	return answer, nil
}

// Fetch returns the peer's newest catalogue.
func (n *process) Fetch(_ context.Context, address string) (*catlog.Catalogue, error) {
	to := n.peer(address)
	if !n.transmit(to, 0) {
		return nil, errLost
	}
	c := to.catalogue.Current()
	if !to.transmit(n, catalogueBytes) {
		return nil, errLost
	}
	return c, nil
}

// Push offers the peer a catalogue.
func (n *process) Push(_ context.Context, address string, c *catlog.Catalogue) error {
	to := n.peer(address)
	if !n.transmit(to, catalogueBytes) {
		return errLost
	}
	before := to.catalogue.Revision()
	to.catalogue.Offer(c)
	to.handleUpdate(before)
	to.transmit(n, 0)
	return nil
}

// Head returns the newest catalogue from the table.
func (n *process) Head(context.Context) (*catlog.Catalogue, error) {
	g := n.sim
	g.totalReads++
	g.sched.Sleep(tableLatency)
	if g.partitioned && g.inPartition(n) {
		return nil, errLost
	}
	return g.head, nil
}
