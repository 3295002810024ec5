package pacer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/pacer"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/notice"
	"github.com/dragonflyroute/dragonflyroute/protocol/pace"
	"github.com/dragonflyroute/dragonflyroute/protocol/permit"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/endreg"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

func TestPacer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pacer")
}

const (
	// requestsPerSecond is the rate of requests, of all hosts together, for which the endpoint is chosen.
	requestsPerSecond = 100
	// step is the resolution of the simulated clock.
	step = 5 * time.Millisecond
	// maxViewDelay is the longest time after which a host knows of a change of the membership.
	maxViewDelay = 1500 * time.Millisecond
	// window is the length of the windows in which requests are counted; tolerance and extra are the allowed multiple of the
	// limit and the requests beyond that.
	window    = 4 * time.Second
	tolerance = 1.5
	extra     = 5
	// noticeTime is the time that hosts have to keep to a new limit.
	noticeTime = 3 * time.Second
	// endpoint is the endpoint that limits its requests.
	endpoint = endpt.ID("i-1")
)

// simHost is one simulated entry host.
type simHost struct {
	fleet *simFleet
	id    host.ID
	pacer *pacer.Pacer
	// registry holds the host's view of the endpoint, live the hosts that it takes for live, without itself.
	registry *endreg.Registry
	live     map[host.ID]bool
	// up is false while the process does not run, and cut is true while it reaches no other host.
	up, cut bool
}

func (h *simHost) target() *target.Target { return h.registry.Get(endpoint) }

// Permit delivers a request for a permit to another host.
func (h *simHost) Permit(_ context.Context, to beat.Heartbeat, q permit.Permit) (permit.Permit, error) {
	other := h.fleet.hosts[to.Host]
	if !other.up || h.cut || other.cut {
		return permit.Permit{}, fault.New(kind.Unavailable, "", "no answer")
	}
	return other.pacer.Grant(q), nil
}

// liveHosts returns the hosts that the host takes for live, itself included.
func (h *simHost) liveHosts(time.Time) []beat.Heartbeat {
	out := []beat.Heartbeat{{Host: h.id, State: beat.Live}}
	for id, live := range h.live {
		if live {
			out = append(out, beat.Heartbeat{Host: id, State: beat.Live})
		}
	}
	return out
}

// simFleet simulates hosts that send requests to one endpoint, which names a limit.
type simFleet struct {
	now   time.Time
	rand  *rand.Rand
	hosts map[host.ID]*simHost
	ids   []host.ID
	// limit is the limit that the endpoint names, negative for none, and limits its value at each step.
	limit  pace.Pace
	limits []pace.Pace
	// arrivals counts the requests at each step.
	arrivals []int
	// pending holds changes of hosts' views.
	pending []viewChange
	// reports holds reports between hosts that are on their way.
	reports []report
	// due is the number of requests to send, which grows by requestsPerSecond.
	due float64
}

// viewChange is the time at which a host learns that another one is live or not.
type viewChange struct {
	at      time.Time
	viewer  host.ID
	subject host.ID
	live    bool
}

// report is what a host told another of the limit.
type report struct {
	sent, at time.Time
	to       *simHost
	notice   notice.Notice
}

func newFleet(n int, limit pace.Pace) *simFleet {
	f := &simFleet{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(uint64(n), 7)), hosts: map[host.ID]*simHost{}, limit: limit}
	for range n {
		f.addHost()
	}
	for _, h := range f.hosts {
		for _, id := range f.ids {
			h.live[id] = id != h.id
		}
	}
	f.pending = nil
	return f
}

// addHost adds a host, which the others learn of later.
func (f *simFleet) addHost() {
	h := &simHost{fleet: f, id: host.ID(fmt.Sprintf("host-%d", len(f.ids))), up: true}
	f.hosts[h.id] = h
	f.ids = append(f.ids, h.id)
	f.startProcess(h)
}

// startProcess starts a host's process, which knows nothing yet.
func (f *simFleet) startProcess(h *simHost) {
	h.live = map[host.ID]bool{}
	h.registry = &endreg.Registry{}
	h.registry.Put(roster.Row{ID: endpoint, Address: "x", Backend: "plume", State: roster.Live})
	h.pacer = &pacer.Pacer{
		Self: h.id, Live: h.liveHosts, Known: func() int { return len(f.ids) }, Endpoints: h.registry, Peers: h,
		Now: func() time.Time { return f.now }, Log: hclog.NewNullLogger(),
	}
	f.setLive(h, true)
}

// setLive changes whether a host is live for the others and the others are for it, in each view after a random time.
func (f *simFleet) setLive(h *simHost, live bool) {
	for _, id := range f.ids {
		if id == h.id {
			continue
		}
		f.changeView(id, h.id, live)
		f.changeView(h.id, id, live && f.hosts[id].up && !f.hosts[id].cut)
	}
}

func (f *simFleet) changeView(viewer, subject host.ID, live bool) {
	at := f.now.Add(time.Duration(f.rand.Int64N(int64(maxViewDelay))))
	f.pending = append(f.pending, viewChange{at: at, viewer: viewer, subject: subject, live: live})
}

func (f *simFleet) kill(h *simHost) {
	h.up = false
	f.setLive(h, false)
}

func (f *simFleet) restart(h *simHost) {
	h.up = true
	f.startProcess(h)
}

func (f *simFleet) setCut(h *simHost, cut bool) {
	h.cut = cut
	f.setLive(h, !cut)
}

// otherGranterWait is the wait in the answer of a host that does not grant the endpoint's permits.
const otherGranterWait = 200 * time.Millisecond

// granter returns the host that grants the permits, found by a request to each host in turn, which may use up a permit.
func (f *simFleet) granter() *simHost {
	for _, id := range f.ids {
		h := f.hosts[id]
		if !h.up {
			continue
		}
		answer := h.pacer.Grant(permit.Permit{Endpoint: endpoint})
		if answer.Granted || answer.Wait != otherGranterWait {
			return h
		}
	}
	return f.hosts[f.ids[0]]
}

// run advances the clock, with requests from random hosts.
func (f *simFleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		f.applyViews()
		f.deliverReports()
		f.arrivals = append(f.arrivals, 0)
		f.limits = append(f.limits, f.limit)
		for f.due += requestsPerSecond * step.Seconds(); f.due >= 1; f.due-- {
			f.send(f.hosts[f.ids[f.rand.IntN(len(f.ids))]])
		}
	}
}

func (f *simFleet) applyViews() {
	f.pending = slices.DeleteFunc(f.pending, func(c viewChange) bool {
		if c.at.After(f.now) {
			return false
		}
		f.hosts[c.viewer].live[c.subject] = c.live
		return true
	})
}

// send sends a request to the endpoint unless the host knows that it gets no permit.
func (f *simFleet) send(h *simHost) {
	t := h.target()
	if !h.up || f.now.Before(t.Limit.HeldUntil()) || !h.pacer.Take(context.Background(), t) || !t.Limit.UsePermit(f.now) {
		return
	}
	f.arrivals[len(f.arrivals)-1]++
	changed := false
	if f.limit < 0 {
		changed = t.Limit.NotNamed(f.now)
	} else {
		changed = t.Limit.Named(f.limit, f.now)
	}
	if changed {
		f.report(h)
	}
}

// report tells what a host knows of the limit to all other hosts, each after a random time.
func (f *simFleet) report(from *simHost) {
	n, _, _ := from.target().Limit.Notice(f.now)
	for _, id := range f.ids {
		if h := f.hosts[id]; h != from && !h.cut && !from.cut {
			f.reports = append(f.reports, report{at: f.now.Add(time.Duration(f.rand.Int64N(int64(maxViewDelay)))), sent: f.now, to: h, notice: n})
		}
	}
}

// deliverReports delivers the reports that are due.
func (f *simFleet) deliverReports() {
	f.reports = slices.DeleteFunc(f.reports, func(r report) bool {
		if r.at.After(f.now) {
			return false
		}
		n := r.notice
		n.Age += f.now.Sub(r.sent)
		r.to.target().Limit.Merge(n, f.now)
		return true
	})
}

// worst returns the largest number of requests beyond what is allowed in a window.
func (f *simFleet) worst() float64 {
	worst := 0.0
	for end := range f.arrivals {
		allowed, ok := f.allowed(end)
		if !ok {
			continue
		}
		n := 0
		for _, at := range f.arrivals[end-int(window/step)+1 : end+1] {
			n += at
		}
		worst = max(worst, float64(n)-allowed)
	}
	return worst
}

// allowed returns the requests allowed in the window that ends with a step. A lower limit counts once hosts had time to
// keep to it; ok is false while the endpoint named none for a part of that time.
func (f *simFleet) allowed(end int) (n float64, ok bool) {
	from := end - int((window+noticeTime)/step)
	if from < 0 {
		return 0, false
	}
	highest := slices.Max(f.limits[from : end+1])
	if slices.Min(f.limits[from:end+1]) < 0 {
		return 0, false
	}
	return tolerance*float64(highest)*window.Seconds() + extra, true
}

// total returns the requests of the last steps of a time.
func (f *simFleet) total(length time.Duration) int {
	n := 0
	for _, at := range f.arrivals[len(f.arrivals)-int(length/step):] {
		n += at
	}
	return n
}

var _ = Describe("A fleet before an endpoint that limits its requests", func() {
	sizes := []int{1, 3, 7, 85, 295}

	// Guards against hosts that keep the limit each for themselves, or give permits to a few of them only.
	DescribeTable("sends as many requests as the limit allows, and no more",
		func(limit float64) {
			for _, n := range sizes {
				f := newFleet(n, pace.Pace(limit))
				f.run(20 * time.Second)
				Expect(f.worst()).To(BeNumerically("<=", 0), "%d hosts", n)
				Expect(f.total(10*time.Second)).To(BeNumerically(">=", int(0.8*limit*10)), "%d hosts", n)
				Expect(f.total(10*time.Second)).To(BeNumerically("<=", int(limit*10)+2), "%d hosts", n)
			}
		},
		Entry("less than one in ten seconds", 0.05), Entry("one in two seconds", 0.5), Entry("a few", 2.0), Entry("many", 20.0),
	)

	It("asks now and then whether an endpoint that accepts none still does so", func() {
		f := newFleet(7, 0)
		f.run(60 * time.Second)
		Expect(f.worst()).To(BeNumerically("<=", 0))
		Expect(f.total(30 * time.Second)).To(And(BeNumerically(">=", 2), BeNumerically("<=", 4)))
		f.limit = -1
		f.run(15 * time.Second)
		Expect(f.total(time.Second)).To(BeNumerically(">", 50))
	})

	DescribeTable("keeps to the limit when hosts come and go",
		func(limit float64, disturb func(f *simFleet, round int)) {
			for _, n := range []int{3, 7, 85} {
				f := newFleet(n, pace.Pace(limit))
				f.run(8 * time.Second)
				for round := range 12 {
					disturb(f, round)
					f.run(time.Duration(500+f.rand.IntN(3000)) * time.Millisecond)
				}
				Expect(f.worst()).To(BeNumerically("<=", 0), "%d hosts", n)
			}
		},
		Entry("the host that grants the permits is killed", 2.0, killGranter),
		Entry("the host that grants many permits is killed", 20.0, killGranter),
		Entry("the host that grants the permits is cut off", 2.0, cutGranter),
		Entry("the host that grants many permits is cut off", 20.0, cutGranter),
		Entry("hosts are added", 2.0, func(f *simFleet, _ int) { f.addHost() }),
		Entry("hosts are added to a fleet with many permits", 20.0, func(f *simFleet, _ int) { f.addHost() }),
		Entry("all hosts are killed and restarted", 20.0, func(f *simFleet, _ int) {
			for _, id := range f.ids {
				f.kill(f.hosts[id])
			}
			for _, id := range f.ids {
				f.restart(f.hosts[id])
			}
		}),
	)

	It("follows a limit that rises, falls and ends", func() {
		for _, n := range sizes {
			f := newFleet(n, 2)
			for _, limit := range []pace.Pace{2, 20, 0.5, 8, 1} {
				f.limit = limit
				f.run(12 * time.Second)
				Expect(f.total(4*time.Second)).To(BeNumerically(">=", int(0.7*float64(limit)*4)), "%d hosts, limit %v", n, limit)
			}
			Expect(f.worst()).To(BeNumerically("<=", 0), "%d hosts", n)
			f.limit = -1
			f.run(10 * time.Second)
			Expect(f.total(2*time.Second)).To(BeNumerically(">=", 180), "%d hosts", n)
		}
	})
})

// killGranter kills the host that grants the permits, and restarts it in the next round.
func killGranter(f *simFleet, round int) {
	if round%2 == 0 {
		f.kill(f.granter())
		return
	}
	for _, id := range f.ids {
		if h := f.hosts[id]; !h.up {
			f.restart(h)
		}
	}
}

// cutGranter cuts off the host that grants the permits, and reconnects it in the next round.
func cutGranter(f *simFleet, round int) {
	if round%2 == 0 {
		f.setCut(f.granter(), true)
		return
	}
	for _, id := range f.ids {
		if h := f.hosts[id]; h.cut {
			f.setCut(h, false)
		}
	}
}
