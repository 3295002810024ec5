package placer_test

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/placer"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/event"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/state/endreg"
)

// scriptedKeeper answers with its grants in turn, and not at all after them.
type scriptedKeeper struct {
	grants []grant.Grant
	tasks  []task.Task
}

func (k *scriptedKeeper) Place(_ context.Context, _ beat.Heartbeat, t task.Task) (grant.Grant, error) {
	k.tasks = append(k.tasks, t)
	if len(k.tasks) > len(k.grants) {
		return grant.Grant{}, context.DeadlineExceeded
	}
	return k.grants[len(k.tasks)-1], nil
}

func (k *scriptedKeeper) Report(context.Context, beat.Heartbeat, []event.Event) error { return nil }

var _ = Describe("A request that is held for want of room", func() {
	held := grant.Grant{Wait: time.Millisecond}
	placed := grant.Grant{ID: 7, Endpoint: "e003"}
	var k *scriptedKeeper
	var p *placer.Placer
	var counts map[string]int64
	var reg *endreg.Registry
	BeforeEach(func() {
		reg = &endreg.Registry{}
		// Few enough for one shard.
		for _, r := range rows()[:12] {
			reg.Put(r)
		}
		k, counts = &scriptedKeeper{}, map[string]int64{}
		p = &placer.Placer{
			Self: "h0", Enabled: func() bool { return true }, Policy: policy{8}, Live: func(time.Time) []beat.Heartbeat { return []beat.Heartbeat{{Host: "h1"}} }, Peers: k,
			Weight: func(acct.ID) float64 { return 5 }, Rand: func() float64 { return 0 }, Now: time.Now,
			Count: func(name string, n int64) { counts[name] += n }, Log: hclog.NewNullLogger(),
		}
	})
	place := func(ctx context.Context) (grant.Grant, bool) {
		w := prompt(7)
		w.Account, w.Priority, w.Deadline = "a", 2, time.Now().Add(time.Second)
		return p.Place(ctx, w, reg.ByBackend("plume"), nil)
	}

	It("is asked for again with the time that it waited, its account and less time left", func() {
		k.grants = []grant.Grant{held, held, placed}
		g, ok := place(context.Background())
		Expect(ok).To(BeTrue())
		Expect(g.ID).To(Equal(int64(7)))
		Expect(k.tasks).To(HaveLen(3))
		Expect(k.tasks[0].Waited).To(BeZero())
		Expect(k.tasks[2].Waited).To(BeNumerically(">=", 2*held.Wait))
		Expect(k.tasks[2].Left).To(BeNumerically("<=", k.tasks[0].Left-2*held.Wait))
		Expect(k.tasks[2].Account).To(Equal(acct.ID("a")))
		Expect(k.tasks[2].Weight).To(Equal(5.0))
		Expect(counts).To(HaveKeyWithValue("requests_held_priority_2_total", int64(1)))
	})

	It("is refused with the time that the keeper names", func() {
		k.grants = []grant.Grant{held, {RetryAfter: time.Second}}
		g, ok := place(context.Background())
		Expect(ok).To(BeTrue())
		Expect(g.RetryAfter).To(Equal(time.Second))
		Expect(counts).To(HaveKeyWithValue("requests_refused_priority_2_total", int64(1)))
	})

	It("is left to the host's own choice if its keeper is lost meanwhile", func() {
		k.grants = []grant.Grant{held}
		_, ok := place(context.Background())
		Expect(ok).To(BeFalse())
		Expect(k.tasks).To(HaveLen(2))
	})

	It("is not asked for again once its caller is gone", func() {
		k.grants = []grant.Grant{{Wait: time.Hour}, placed}
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		g, ok := place(ctx)
		Expect(ok).To(BeTrue())
		Expect(g.RetryAfter).To(BeNumerically(">", 0))
		Expect(k.tasks).To(HaveLen(1))
	})
})

var _ = Describe("A shortage at 76 hosts and 140 endpoints", func() {
	It("has the keepers hold or refuse requests, which take no place, and ends with it", func() {
		s := newSim(1)
		k, _, _ := s.newKeepers()
		l := k.ledgers["h0"]
		t := task.Task{Backend: "plume", Shards: 1, TargetLatency: quickTarget, Left: 3 * time.Second, PromptTokens: 20_000}
		var last grant.Grant
		placed := []int64{}
		for range 10 * endpoints {
			t.ID++
			if last = l.Place(t); last.Endpoint == "" {
				break
			}
			placed = append(placed, last.ID)
		}
		Expect(last.Wait + last.RetryAfter).To(BeNumerically(">", 0))
		Expect(len(placed)).To(BeNumerically(">=", endpoints))
		for _, id := range placed {
			l.Record([]event.Event{{Grant: id, Begun: true, Ended: true}})
		}
		s.now = s.now.Add(time.Second)
		t.ID++
		Expect(l.Place(t).Endpoint).NotTo(BeEmpty())
	})
})
