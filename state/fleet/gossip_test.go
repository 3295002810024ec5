package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/fleet"
)

// gossip is a fleet whose hosts exchange heartbeats with a few others at random in each round.
type gossip struct {
	now   time.Time
	hosts []*fleet.Fleet
	rand  *rand.Rand
	// unresponsive reports whether a host does not answer in this round.
	unresponsive func(i int) bool
	seq          int64
}

const (
	roundTime = 800 * time.Millisecond
	fanOut    = 3
)

func id(i int) host.ID { return host.ID(fmt.Sprintf("h-%d", i)) }

func newGossip(n int) *gossip {
	g := &gossip{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(5, uint64(n))), unresponsive: func(int) bool { return false }}
	var rows []roster.Row
	for i := range n {
		rows = append(rows, roster.Row{ID: endpt.ID(id(i)), Address: string(id(i)), PeerAddress: string(id(i)), State: roster.Live})
	}
	for i := range n {
		f := &fleet.Fleet{Self: id(i), Timeout: 1500 * time.Millisecond}
		f.SetListed(rows)
		g.hosts = append(g.hosts, f)
	}
	return g
}

func (g *gossip) round() {
	g.now = g.now.Add(roundTime)
	for i := range g.hosts {
		for range fanOut {
			to := g.rand.IntN(len(g.hosts))
			switch {
			case to == i || g.unresponsive(i):
			case g.unresponsive(to):
				g.hosts[i].Suspect(string(id(to)), g.now)
			default:
				g.exchange(i, to)
				g.exchange(to, i)
			}
		}
	}
}

func (g *gossip) exchange(from, to int) {
	g.seq++
	g.hosts[to].Observe(beat.Heartbeat{Host: id(from), PeerAddress: string(id(from)), Incarnation: 1, Seq: g.seq, State: beat.Live}, g.now)
	g.hosts[to].MergeSuspicions(id(from), g.hosts[from].Suspicions(g.now), g.now)
}

// aliveShare returns the average fraction of the hosts from first to before last that the other hosts count as alive.
func (g *gossip) aliveShare(first, last int) float64 {
	sum, n := 0, 0
	for i, f := range g.hosts {
		if i >= first && i < last {
			continue
		}
		n += last - first
		for _, hb := range f.Alive(g.now) {
			for k := first; k < last; k++ {
				if hb.Host == id(k) {
					sum++
				}
			}
		}
	}
	return float64(sum) / float64(n)
}

var _ = Describe("A fleet that gossips", func() {
	for _, n := range []int{60, 295} {
		It(fmt.Sprintf("of %d hosts soon counts a third of them as alive again after they briefly did not answer", n), func() {
			g := newGossip(n)
			for range 5 {
				g.round()
			}
			g.unresponsive = func(i int) bool { return i < n/3 }
			g.round()
			g.round()
			g.unresponsive = func(int) bool { return false }
			for range 8 {
				g.round()
			}
			Expect(g.aliveShare(0, n/3)).To(BeNumerically(">", 0.97))
		})

		It(fmt.Sprintf("of %d hosts soon excludes those that are dead", n), func() {
			g := newGossip(n)
			for range 5 {
				g.round()
			}
			g.unresponsive = func(i int) bool { return i < 3 }
			for range 8 {
				g.round()
			}
			Expect(g.aliveShare(0, 3)).To(BeNumerically("<", 0.05))
		})
	}
})
