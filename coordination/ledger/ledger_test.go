package ledger_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/ledger"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/event"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/state/endreg"
)

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

// fixedSpeed prefills 10 tokens in a millisecond.
type fixedSpeed struct{}

func (fixedSpeed) TimeToFirstToken(_ label.Name, tokens int64) time.Duration {
	return time.Duration(tokens) * time.Millisecond / 10
}

var _ = Describe("Ledger", func() {
	const slots = 4
	var now time.Time
	var reg *endreg.Registry
	var l *ledger.Ledger
	var lastID int64

	row := func(i int) roster.Row {
		return roster.Row{ID: endpt.ID(fmt.Sprintf("e%d", i)), Address: "x", Backend: "plume", State: roster.Live, Slots: slots}
	}
	BeforeEach(func() {
		now, lastID = time.Unix(1000, 0), 0
		reg = &endreg.Registry{}
		reg.Put(row(0))
		l = &ledger.Ledger{Endpoints: reg, Speed: fixedSpeed{}, Rand: func() float64 { return 0 }, Now: func() time.Time { return now }}
	})
	place := func(tokens int64, events ...event.Event) grant.Grant {
		lastID++
		return l.Place(task.Task{ID: lastID, Backend: "plume", Shards: 1, Left: 10 * time.Second, PromptTokens: tokens, Events: events})
	}
	ended := func(g grant.Grant) event.Event { return event.Event{Grant: g.ID, Ended: true} }

	It("counts the prompts of placed requests until they begin, and no longer", func() {
		first := place(1_000)
		Expect(first.TimeToFirst).To(Equal(100 * time.Millisecond))
		second := place(500)
		Expect(second.AheadTokens).To(Equal(int64(1_000)))
		Expect(second.TimeToFirst).To(Equal(150 * time.Millisecond))
		l.Record([]event.Event{{Grant: first.ID, Begun: true, First: 100 * time.Millisecond}})
		Expect(place(10).AheadTokens).To(Equal(int64(500)))
		Expect(place(10, ended(second)).AheadTokens).To(Equal(int64(10)))
	})

	It("counts an event that comes twice, or for a request that it does not know, once or not at all", func() {
		first, begun := place(1_000), event.Event{Grant: 1, Begun: true}
		l.Record([]event.Event{begun, begun, ended(first), ended(first), begun, {Grant: 99, Ended: true}})
		Expect(place(10).AheadTokens).To(BeZero())
		for range slots - 1 {
			place(0)
		}
		Expect(place(0).TimeToFirst).To(BeNumerically(">=", 60*time.Millisecond))
	})

	// Guards against books that stay full after the hosts that sent the requests are gone.
	It("takes requests of which it hears nothing for begun when they are overdue, and for ended after their deadline", func() {
		for range slots {
			place(1_000)
		}
		now = now.Add(5 * time.Second)
		busy := place(0)
		Expect(busy.AheadTokens).To(BeZero())
		Expect(busy.TimeToFirst).To(BeNumerically(">=", 60*time.Millisecond))
		now = now.Add(12 * time.Second)
		Expect(place(0).TimeToFirst).To(BeZero())
	})

	It("forgets what an endpoint had to do when it is started again", func() {
		old := place(1_000)
		restarted := row(0)
		restarted.StartMillis = 7
		reg.Put(restarted)
		Expect(place(10).AheadTokens).To(BeZero())
		Expect(place(10, ended(old)).AheadTokens).To(Equal(int64(10)))
	})

	It("counts the load that others report while its book of an endpoint is new", func() {
		reg.Get("e0").SetOthers(2, 3_000, now)
		Expect(place(10).AheadTokens).To(Equal(int64(3_000)))
		now = now.Add(1100 * time.Millisecond)
		Expect(place(10).AheadTokens).To(BeNumerically("<", 3_000))
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
		l.Record([]event.Event{ended(unused)})
		first := session()
		Expect(first.PrefillTokens).To(Equal(int64(900)))
		now = now.Add(time.Millisecond)
		second := session()
		Expect(second.PrefillTokens).To(BeZero())
		l.Record([]event.Event{{Grant: first.ID, Begun: true, First: time.Second}, ended(first), ended(second)})
		Expect(session().PrefillTokens).To(BeZero())
	})

	It("places nothing without an endpoint that may get the request", func() {
		Expect(l.Place(task.Task{ID: 1, Backend: "plume", Shards: 1, PromptTokens: 1, Excluded: []endpt.ID{"e0"}})).To(Equal(grant.Grant{}))
		Expect(l.Place(task.Task{ID: 2, Backend: "other", Shards: 1, PromptTokens: 1})).To(Equal(grant.Grant{}))
		reg.Get("e0").SetEvacuated(true)
		Expect(place(1)).To(Equal(grant.Grant{}))
	})
})
