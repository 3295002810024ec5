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
	sessions    = 157
	firstPart   = 512
	sessionPart = 4_870
	ownPart     = 6_610
	// keptTime is how long an engine keeps a part that nobody asks for.
	keptTime = 10 * time.Second
)

// library is a number of engines under many hosts that tell each other nothing of prompts.
type library struct {
	now    time.Time
	chance *rand.Rand
	hosts  []*choose.Choice
	views  [][]*target.Target
	// kept is when each engine last used each session's part.
	kept []map[uint64]time.Time
	// shared counts the tokens of sessions' parts that were asked for, again those that were read though an engine had them.
	shared, again int
}

func newLibrary(hosts, engines int) *library {
	l := &library{now: time.Unix(1000, 0), chance: rand.New(rand.NewPCG(11, 3))}
	for range hosts {
		l.hosts = append(l.hosts, &choose.Choice{Rand: l.chance.Float64, Speed: &speed.Speed{}, Hosts: func() int { return hosts }})
		var own []*target.Target
		for i := range engines {
			own = append(own, target.New(roster.Row{ID: endpt.ID("engine-" + string(rune('A'+i))), Backend: "plume", State: roster.Live, Slots: 16}))
		}
		l.views = append(l.views, own)
	}
	for range engines {
		l.kept = append(l.kept, map[uint64]time.Time{})
	}
	return l
}

// ask lets a random host send a prompt of a random session.
func (l *library) ask() {
	session := uint64(1_000 + l.chance.IntN(sessions))
	w := &work.Work{ID: "r", Backend: "plume", Path: &path.Path{}, PromptTokens: firstPart + sessionPart + ownPart}
	w.AddPart(1+session%3, firstPart)
	w.AddPart(session, sessionPart)
	w.AddPart(l.chance.Uint64(), ownPart)
	host := l.chance.IntN(len(l.hosts))
	p := l.hosts[host].Pick(l.views[host], w, func(*target.Target) bool { return false }, l.now)
	_, done := p.Target.Begin(w, p.Unread, l.now)
	done()
	l.read(host, p.Target, p.Donor, session)
}

// read lets the engine read or fetch a session's part.
func (l *library) read(host int, at, donor *target.Target, session uint64) {
	l.shared += sessionPart
	has := func(i int) bool {
		used, ok := l.kept[i][session]
		return ok && l.now.Sub(used) < keptTime
	}
	here, anywhere := false, false
	to := 0
	for i, t := range l.views[host] {
		if t == at {
			to = i
		}
		here = here || (t == at || t == donor) && has(i)
		anywhere = anywhere || has(i)
	}
	if anywhere && !here {
		l.again += sessionPart
	}
	l.kept[to][session] = l.now
}

var _ = Describe("Choice of engines for sessions under many hosts that tell each other nothing of them", func() {
	It("reads few sessions' parts again though all engines have the first part of every prompt", func() {
		l := newLibrary(85, 50)
		for range 6_000 {
			l.ask()
			l.now = l.now.Add(10 * time.Millisecond)
		}
		Expect(float64(l.again) / float64(l.shared)).To(BeNumerically("<", 0.1))
	})
})
