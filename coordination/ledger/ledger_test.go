package ledger_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/ledger"
	"github.com/dragonflyroute/dragonflyroute/protocol/avail"
	"github.com/dragonflyroute/dragonflyroute/protocol/dryrun"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/event"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/option"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/state/endreg"
)

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

const (
	firstLatency = 10 * time.Millisecond
	timeout      = 10 * time.Second
	promptTokens = 1_000
)

// fixedSpeed prefills one token in a millisecond.
type fixedSpeed struct{}

func (fixedSpeed) TimeToFirstToken(_ label.Name, tokens int64) time.Duration {
	return firstLatency + time.Duration(tokens)*time.Millisecond
}

var _ = Describe("Ledger", func() {
	var now time.Time
	var reg *endreg.Registry
	var l *ledger.Ledger
	var lastID int64
	row := func(id endpt.ID, start int64) roster.Row {
		return roster.Row{ID: id, Address: "x", Backend: "plume", State: roster.Live, Slots: 8, StartMillis: start}
	}
	request := func() task.Task {
		lastID++
		return task.Task{ID: lastID, Backend: "plume", Shards: 1, Left: timeout, PromptTokens: promptTokens}
	}
	place := func() grant.Grant {
		g := l.Place(request())
		Expect(g.Endpoint).NotTo(BeEmpty())
		return g
	}
	begun := func(g grant.Grant, first time.Duration, slowness float64) {
		l.Record([]event.Event{{Grant: g.ID, Begun: true, First: first, Slowness: slowness}})
	}
	ended := func(g grant.Grant) { l.Record([]event.Event{{Grant: g.ID, Ended: true}}) }
	explain := func() dryrun.Result { return l.Explain(request()) }
	at := func(id endpt.ID) option.Option {
		all := explain().Options
		i := slices.IndexFunc(all, func(o option.Option) bool { return o.Endpoint == id })
		Expect(i).NotTo(Equal(-1))
		return all[i]
	}
	expectOutstanding := func(running int, unread int64) {
		GinkgoHelper()
		gotRunning, gotUnread, _ := l.Work()
		Expect(gotRunning).To(Equal(running))
		Expect(gotUnread).To(Equal(unread))
	}
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		reg = &endreg.Registry{}
		reg.Put(row("a", 1))
		l = &ledger.Ledger{Endpoints: reg, Speed: fixedSpeed{}, Rand: func() float64 { return 0 }, Now: func() time.Time { return now }}
	})

	Describe("counts what is outstanding", func() {
		It("until a request begins, then until it ends", func() {
			g := place()
			expectOutstanding(1, promptTokens)
			begun(g, time.Second, 0)
			expectOutstanding(1, 0)
			ended(g)
			expectOutstanding(0, 0)
		})

		It("until a request ends that has not begun", func() {
			ended(place())
			expectOutstanding(0, 0)
		})

		It("once, however often an event arrives", func() {
			first, _ := place(), place()
			for range 3 {
				begun(first, time.Second, 0)
			}
			expectOutstanding(2, promptTokens)
			ended(first)
			ended(first)
			begun(first, time.Second, 0)
			expectOutstanding(1, promptTokens)
		})

		It("whatever is reported of grants that it does not know", func() {
			g := place()
			l.Record([]event.Event{{Grant: g.ID + 1, Ended: true}, {Grant: 0, Begun: true}, {Grant: -1, Begun: true, Ended: true, Failed: true}})
			expectOutstanding(1, promptTokens)
			Expect(at("a").State).To(Equal(avail.Available))
		})

		It("with the events that come with a request", func() {
			g := place()
			next := request()
			next.Events = []event.Event{{Grant: g.ID, Begun: true, First: time.Second, Ended: true}}
			Expect(l.Place(next).AheadTokens).To(BeZero())
			expectOutstanding(1, promptTokens)
		})

		It("ahead of the next request", func() {
			place()
			Expect(place().AheadTokens).To(Equal(int64(promptTokens)))
		})
	})

	Describe("whose events are lost", func() {
		It("counts a request as begun a while after it should have", func() {
			g := place()
			now = now.Add(2 * g.TimeToFirst)
			expectOutstanding(1, promptTokens)
			now = now.Add(time.Second)
			expectOutstanding(1, 0)
			Expect(place().AheadTokens).To(BeZero())
		})

		It("counts a request as ended a while after its deadline", func() {
			place()
			now = now.Add(timeout)
			expectOutstanding(1, 0)
			now = now.Add(2 * time.Second)
			expectOutstanding(0, 0)
			place()
			expectOutstanding(1, promptTokens)
		})

		It("counts a late event of such a request no second time", func() {
			g := place()
			now = now.Add(timeout + 2*time.Second)
			place()
			begun(g, time.Second, 0)
			ended(g)
			expectOutstanding(1, promptTokens)
		})
	})

	It("forgets what was outstanding at an endpoint that restarts", func() {
		g := place()
		reg.Put(row("a", 2))
		Expect(at("a").Running).To(BeZero())
		Expect(place().AheadTokens).To(BeZero())
		ended(g)
		Expect(at("a").Running).To(Equal(1))
		Expect(at("a").AheadTokens).To(Equal(int64(promptTokens)))
	})

	It("forgets the speed of an endpoint that restarts", func() {
		for range 50 {
			g := place()
			begun(g, 2*(firstLatency+promptTokens*time.Millisecond), 0)
			ended(g)
		}
		Expect(at("a").Slowdown).To(BeNumerically("~", 2, 0.05))
		reg.Put(row("a", 2))
		Expect(at("a").Slowdown).To(Equal(1.0))
	})

	It("places no more than it can track", func() {
		for l.Place(request()).ID != 0 {
			if running, _, _ := l.Work(); running > 1<<16 {
				break
			}
			for range 1_000 {
				l.Place(request())
			}
		}
		running, _, _ := l.Work()
		Expect(running).To(Equal(1 << 15))
		Expect(explain().Endpoint).To(BeEmpty())
	})

	Describe("learns an endpoint's speed", func() {
		const usual = firstLatency + promptTokens*time.Millisecond
		observe := func(n int, factor, slowness float64) {
			for range n {
				g := place()
				begun(g, time.Duration(factor*float64(usual)), slowness)
				ended(g)
			}
		}

		It("from the times to first token", func() {
			observe(50, 1.7, 0)
			Expect(at("a").Slowdown).To(BeNumerically("~", 1.7, 0.02))
			observe(50, 0.7, 0)
			Expect(at("a").Slowdown).To(BeNumerically("~", 0.7, 0.02))
		})

		It("less what the endpoint says of its present slowness, which counts for a short time only", func() {
			observe(50, 3.4, 2)
			Expect(at("a").Slowdown).To(BeNumerically("~", 3.4, 0.05))
			now = now.Add(time.Second)
			Expect(at("a").Slowdown).To(BeNumerically("~", 1.7, 0.02))
		})

		It("within bounds, whatever one request shows", func() {
			observe(1, 1e6, 0)
			Expect(at("a").Slowdown).To(BeNumerically("<", 2))
			observe(200, 1e-6, 0)
			Expect(at("a").Slowdown).To(BeNumerically(">", 0.3))
		})

		It("not from requests that end without a begin, or whose time is not known", func() {
			observe(10, 0, 0)
			ended(place())
			Expect(at("a").Slowdown).To(Equal(1.0))
		})

		It("and places requests at the faster one", func() {
			observe(50, 2, 0)
			reg.Put(row("b", 1))
			Expect(place().Endpoint).To(Equal(endpt.ID("b")))
		})
	})

	It("counts the load that others report while its book of an endpoint is new", func() {
		reg.Get("a").SetOthers(2, 3_000, now)
		Expect(place().AheadTokens).To(Equal(int64(3_000)))
		now = now.Add(1100 * time.Millisecond)
		Expect(place().AheadTokens).To(BeNumerically("<", 3_000))
	})

	It("places requests where the fewest tokens are unread", func() {
		reg.Put(row("b", 1))
		first := place()
		Expect(place().Endpoint).NotTo(Equal(first.Endpoint))
		_, _, unevenness := l.Work()
		Expect(unevenness).To(Equal(1.0))
		begun(first, time.Second, 0)
		_, _, unevenness = l.Work()
		Expect(unevenness).To(Equal(2.0))
	})

	It("avoids an endpoint that failed a request", func() {
		reg.Put(row("b", 1))
		g := place()
		l.Record([]event.Event{{Grant: g.ID, Ended: true, Failed: true}})
		Expect(at(g.Endpoint).State).To(Equal(avail.BackingOff))
		for range 3 {
			Expect(place().Endpoint).NotTo(Equal(g.Endpoint))
		}
	})

	Describe("explains a placement", func() {
		It("as the placement is made", func() {
			for _, id := range []endpt.ID{"b", "c", "d"} {
				reg.Put(row(id, 1))
			}
			for range 40 {
				r := explain()
				g := place()
				Expect(g.Endpoint).To(Equal(r.Endpoint))
				Expect(g.TimeToFirst).To(Equal(r.TimeToFirst.Duration()))
				Expect(g.PrefillTokens).To(Equal(r.Options[0].PrefillTokens))
				Expect(g.AheadTokens).To(Equal(r.Options[0].AheadTokens))
				now = now.Add(100 * time.Millisecond)
			}
		})

		It("and changes nothing", func() {
			played := func(explained bool) (grants []grant.Grant) {
				now, lastID = time.Unix(1000, 0), 0
				reg = &endreg.Registry{}
				for _, id := range []endpt.ID{"a", "b", "c"} {
					reg.Put(row(id, 1))
				}
				l = &ledger.Ledger{Endpoints: reg, Speed: fixedSpeed{}, Rand: func() float64 { return 0 }, Now: func() time.Time { return now }}
				for i := range 60 {
					t := request()
					t.Parts, t.Lengths = []uint64{uint64(i % 4), uint64(100 + i)}, []int64{600, 400}
					if explained {
						l.Explain(t)
					}
					g := l.Place(t)
					grants = append(grants, g)
					now = now.Add(150 * time.Millisecond)
					if i%2 == 0 {
						begun(g, 300*time.Millisecond, 0)
					}
				}
				return grants
			}
			Expect(played(true)).To(Equal(played(false)))
		})

		It("also where none may get the request", func() {
			reg.Get("a").MarkLeaving()
			r := explain()
			Expect(r.Endpoint).To(BeEmpty())
			Expect(r.Options[0].State).To(Equal(avail.Leaving))
			Expect(l.Place(request()).Endpoint).To(BeEmpty())
		})
	})

	// Guards against prompts that are sent to, or fetched from, an endpoint that never got them: of two hosts that are asked for a
	// place, one is asked in vain.
	It("takes a prompt for cached from its place on, unless the endpoint never gets it", func() {
		session := func() grant.Grant {
			lastID++
			return l.Place(task.Task{ID: lastID, Backend: "plume", Shards: 1, Left: time.Minute, PromptTokens: 900, Parts: []uint64{7, 8}, Lengths: []int64{600, 300}})
		}
		unused := session()
		Expect(unused.PrefillTokens).To(Equal(int64(900)))
		ended(unused)
		first := session()
		Expect(first.PrefillTokens).To(Equal(int64(900)))
		now = now.Add(time.Millisecond)
		second := session()
		Expect(second.PrefillTokens).To(BeZero())
		begun(first, time.Second, 0)
		ended(first)
		ended(second)
		Expect(session().PrefillTokens).To(BeZero())
	})

	It("places nothing without an endpoint that may get the request", func() {
		Expect(l.Place(task.Task{ID: 1, Backend: "plume", Shards: 1, PromptTokens: 1, Excluded: []endpt.ID{"a"}})).To(Equal(grant.Grant{}))
		Expect(l.Place(task.Task{ID: 2, Backend: "other", Shards: 1, PromptTokens: 1})).To(Equal(grant.Grant{}))
		reg.Get("a").SetEvacuated(true)
		Expect(l.Place(request())).To(Equal(grant.Grant{}))
	})
})
