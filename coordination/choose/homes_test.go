package choose_test

import (
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
	sessions          = 157
	firstPartTokens   = 512
	sessionPartTokens = 4_870
	ownPartTokens     = 6_610
	// cacheRetention is how long an engine keeps a prompt part cached without a request for it.
	cacheRetention = 10 * time.Second
)

// sessionSim simulates engines under many hosts that do not exchange what the engines have cached.
type sessionSim struct {
	now   time.Time
	rand  *rand.Rand
	hosts []*choose.Balancer
	views [][]*target.Target
	// lastUsed is when each engine last used each session's prompt part.
	lastUsed []map[uint64]time.Time
	// shared counts the tokens of sessions' parts that were requested, recomputed those that were prefilled although
	// another engine had them cached.
	shared, recomputed int
}

func newSessionSim(hosts, engines int) *sessionSim {
	sim := &sessionSim{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(11, 3))}
	for range hosts {
		sim.hosts = append(sim.hosts, &choose.Balancer{Rand: sim.rand.Float64, Speed: &speed.Speed{}, HostCount: func() int { return hosts }})
		var own []*target.Target
		for i := range engines {
			own = append(own, target.New(roster.Row{ID: endpt.ID("engine-" + string(rune('A'+i))), Backend: "plume", State: roster.Live, Slots: 16}))
		}
		sim.views = append(sim.views, own)
	}
	for range engines {
		sim.lastUsed = append(sim.lastUsed, map[uint64]time.Time{})
	}
	return sim
}

// send sends a prompt of a random session from a random host.
func (sim *sessionSim) send() {
	session := uint64(1_000 + sim.rand.IntN(sessions))
	w := &work.Request{ID: "r", Backend: "plume", Route: &path.Route{}, PromptTokens: firstPartTokens + sessionPartTokens + ownPartTokens}
	w.AddPart(1+session%3, firstPartTokens)
	w.AddPart(session, sessionPartTokens)
	w.AddPart(sim.rand.Uint64(), ownPartTokens)
	host := sim.rand.IntN(len(sim.hosts))
	p := sim.hosts[host].Pick(sim.views[host], w, func(*target.Target) bool { return false }, sim.now)
	_, done := p.Target.Begin(w, p.PrefillTokens, sim.now)
	done()
	sim.record(host, p.Target, p.Donor, session)
}

// record counts the prefill or the fetch of a session's part by an engine.
func (sim *sessionSim) record(host int, at, donor *target.Target, session uint64) {
	sim.shared += sessionPartTokens
	has := func(i int) bool {
		used, ok := sim.lastUsed[i][session]
		return ok && sim.now.Sub(used) < cacheRetention
	}
	here, anywhere := false, false
	to := 0
	for i, t := range sim.views[host] {
		if t == at {
			to = i
		}
		here = here || (t == at || t == donor) && has(i)
		anywhere = anywhere || has(i)
	}
	if anywhere && !here {
		sim.recomputed += sessionPartTokens
	}
	sim.lastUsed[to][session] = sim.now
}

var _ = Describe("Selection of engines for sessions by many hosts that do not exchange what is cached", func() {
	It("recomputes few sessions' parts although all engines have the first part of every prompt cached", func() {
		sim := newSessionSim(85, 50)
		for range 6_000 {
			sim.send()
			sim.now = sim.now.Add(10 * time.Millisecond)
		}
		Expect(float64(sim.recomputed) / float64(sim.shared)).To(BeNumerically("<", 0.1))
	})
})
