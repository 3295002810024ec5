package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/health"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/fleet"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

var now = time.Unix(1000, 0)

func heartbeat(incarnation, seq int64, state string) beat.Heartbeat {
	return beat.Heartbeat{Host: "b", Incarnation: incarnation, Seq: seq, PeerAddress: "10.0.0.2:1", CallerAddress: "10.0.0.2:2", State: state}
}

func row(state string) roster.Row {
	return roster.Row{ID: "b", PeerAddress: "10.0.0.2:1", Address: "10.0.0.2:2", State: state}
}

func alive(f *fleet.Fleet, at time.Time) []host.ID {
	var out []host.ID
	for _, hb := range f.Alive(at) {
		out = append(out, hb.Host)
	}
	return out
}

var _ = Describe("Fleet", func() {
	var f *fleet.Fleet
	BeforeEach(func() { f = &fleet.Fleet{Self: "a", Timeout: time.Second} })

	It("counts a host that sends heartbeats as alive, and one that stopped answering as dead", func() {
		f.Observe(heartbeat(1, 1, beat.Live), now)
		Expect(alive(f, now.Add(time.Second))).To(ConsistOf(host.ID("b")))
		f.Suspect("10.0.0.2:1", now)
		Expect(alive(f, now.Add(2*time.Second))).To(BeEmpty())
	})

	It("does not count a listed host as alive that did not answer, until its next heartbeat", func() {
		f.SetListed([]roster.Row{row(roster.Live)})
		Expect(alive(f, now)).To(ConsistOf(host.ID("b")))
		f.Suspect("10.0.0.2:1", now)
		Expect(alive(f, now)).To(BeEmpty())
		f.Observe(heartbeat(1, 1, beat.Live), now)
		Expect(alive(f, now)).To(ConsistOf(host.ID("b")))
	})

	It("counts a listed host as gone that two other processes could not reach, until its next heartbeat", func() {
		f.SetListed([]roster.Row{row(roster.Live)})
		f.MergeSuspicions("c", health.Suspicions{Unreachable: []host.ID{"b"}}, now)
		Expect(alive(f, now)).To(ConsistOf(host.ID("b")))
		f.MergeSuspicions("d", health.Suspicions{Unreachable: []host.ID{"b"}}, now.Add(time.Second))
		Expect(alive(f, now.Add(time.Second))).To(BeEmpty())
		Expect(f.Suspicions(now.Add(time.Second)).Gone).To(Equal(map[host.ID]int64{"b": 0}))
		f.Observe(heartbeat(1, 1, beat.Live), now.Add(2*time.Second))
		Expect(alive(f, now.Add(2*time.Second))).To(ConsistOf(host.ID("b")))
	})

	It("ignores reports that a host is gone within the timeout of its last heartbeat", func() {
		f.SetListed([]roster.Row{row(roster.Live)})
		f.Observe(heartbeat(1, 1, beat.Live), now)
		f.MergeSuspicions("c", health.Suspicions{Gone: map[host.ID]int64{"b": 0}}, now.Add(time.Second/2))
		Expect(alive(f, now.Add(time.Hour))).To(ConsistOf(host.ID("b")))
		f.MergeSuspicions("c", health.Suspicions{Gone: map[host.ID]int64{"b": 0}}, now.Add(2*time.Second))
		Expect(alive(f, now.Add(2*time.Second))).To(BeEmpty())
	})

	It("counts a host as alive again that another process got a heartbeat from since it was found gone, and passes that on", func() {
		f.SetListed([]roster.Row{row(roster.Live)})
		f.MergeSuspicions("c", health.Suspicions{Gone: map[host.ID]int64{"b": 500}}, now)
		Expect(alive(f, now)).To(BeEmpty())
		f.MergeSuspicions("d", health.Suspicions{Recovered: map[host.ID]int64{"b": 700}}, now)
		Expect(alive(f, now)).To(BeEmpty(), "the heartbeat came before the host was found gone")
		f.MergeSuspicions("d", health.Suspicions{Recovered: map[host.ID]int64{"b": 100}}, now)
		Expect(alive(f, now)).To(ConsistOf(host.ID("b")))
		f.MergeSuspicions("c", health.Suspicions{Gone: map[host.ID]int64{"b": 1000}}, now.Add(500*time.Millisecond))
		Expect(alive(f, now)).To(ConsistOf(host.ID("b")), "the same report, later")
		Expect(f.Suspicions(now.Add(time.Second)).Recovered).To(Equal(map[host.ID]int64{"b": 1100}))
	})

	It("does not return a host that is listed as starting or leaving", func() {
		for _, state := range []string{beat.Starting, roster.Leaving} {
			f.SetListed([]roster.Row{row(state)})
			Expect(alive(f, now)).To(BeEmpty())
		}
	})

	It("drops heartbeats that arrive out of order, and distinguishes a restart on the same address from the old process", func() {
		Expect(f.Observe(heartbeat(2, 5, beat.Live), now)).To(BeTrue())
		Expect(f.Observe(heartbeat(2, 4, beat.Leaving), now)).To(BeFalse())
		Expect(f.Observe(heartbeat(1, 99, beat.Leaving), now)).To(BeFalse())
		Expect(f.Dead("b", 1)).To(BeTrue())
		Expect(f.Dead("b", 2)).To(BeFalse())
		Expect(f.Observe(heartbeat(3, 1, beat.Live), now)).To(BeTrue())
		Expect(f.Dead("b", 2)).To(BeTrue())
	})

	It("never takes missing heartbeats as proof that an incarnation has ended", func() {
		f.Observe(heartbeat(1, 1, beat.Live), now)
		f.Suspect("10.0.0.2:1", now)
		Expect(f.Dead("b", 1)).To(BeFalse())
	})

	It("selects the wanted number of hosts for a key when all have the same view", func() {
		var heartbeats []beat.Heartbeat
		for _, id := range []host.ID{"a", "b", "c", "d", "e", "f", "g"} {
			heartbeats = append(heartbeats, beat.Heartbeat{Host: id, Incarnation: 1, Seq: 1, PeerAddress: string(id), State: beat.Live})
		}
		for _, key := range []string{"lease/mover/x", "lease/mover/y", "lease/buyer/z"} {
			ranked := 0
			for _, self := range heartbeats {
				one := &fleet.Fleet{Self: self.Host, Timeout: time.Second}
				for _, hb := range heartbeats {
					one.Observe(hb, now)
				}
				if one.InTopRanks(key, 3, now) {
					ranked++
				}
			}
			Expect(ranked).To(Equal(3))
		}
	})

	It("contacts each host once that is listed or sent a heartbeat, but not itself", func() {
		f.Observe(heartbeat(1, 1, beat.Live), now)
		f.SetListed([]roster.Row{row(roster.Live), {ID: "a", PeerAddress: "10.0.0.1:1"}, {ID: "c", PeerAddress: "10.0.0.3:1"}, {ID: "engine"}})
		Expect(f.Contacts()).To(Equal([]string{"10.0.0.2:1", "10.0.0.3:1"}))
	})
})
