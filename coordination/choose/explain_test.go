package choose_test

import (
	"context"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/choose"
	"github.com/dragonflyroute/dragonflyroute/protocol/avail"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/dryrun"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/method"
	"github.com/dragonflyroute/dragonflyroute/protocol/option"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/speed"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

// fixedKeeper returns the same result for each request.
type fixedKeeper struct{ result dryrun.Result }

func (k fixedKeeper) Explain(context.Context, *work.Request, []*target.Target) (dryrun.Result, bool) {
	return k.result, true
}

var _ = Describe("Explaining a choice", func() {
	ctx := context.Background()
	now := time.Now()
	unused := func(*target.Target) bool { return false }
	var b *choose.Balancer
	var all []*target.Target
	var prompt, plain *work.Request
	seeded := func() *choose.Balancer {
		return &choose.Balancer{Rand: rand.New(rand.NewPCG(1, 1)).Float64, Speed: &speed.Speed{}, DataCentre: "east"}
	}
	add := func(ids ...endpt.ID) {
		for i, id := range ids {
			in := []centre.ID{"east", "west"}[i%2]
			all = append(all, target.New(roster.Row{ID: id, Backend: "plume", DataCentre: in, State: roster.Live, Slots: 8}))
		}
	}
	chill := func(t *target.Target, sender bool) {
		t.Warmup.Time = func() time.Duration { return time.Second }
		t.Warmup.Interval = func() (time.Duration, bool) { return 0, sender }
		t.Warmup.Announced(time.Second, now)
	}
	states := func(r dryrun.Result) map[endpt.ID]avail.State {
		out := map[endpt.ID]avail.State{}
		for _, o := range r.Options {
			out[o.Endpoint] = o.State
		}
		return out
	}
	sum := func(o option.Option) time.Duration {
		return (o.AheadCost + o.PrefillCost + o.QueueCost + o.RunningCost + o.CentreCost + o.RepeatCost).Duration()
	}
	BeforeEach(func() {
		b = seeded()
		all = nil
		prompt = &work.Request{ID: "r", Backend: "plume", Route: &path.Route{}, PromptTokens: 6000}
		prompt.AddPart(7, 5000)
		prompt.AddPart(8, 1000)
		plain = &work.Request{ID: "p", Backend: "plume", Route: &path.Route{}}
	})

	It("of a prompt in a small fleet names the endpoint that is picked, and the parts of each cost", func() {
		add("a", "b", "c")
		_, _ = all[0].Begin(prompt, 40_000, now)
		_, done := all[1].Begin(prompt, 6_000, now)
		done()
		r := b.Explain(ctx, nil, all, prompt, true, now)
		Expect(r.Method).To(Equal(method.Sample))
		Expect(r.Endpoint).To(Equal(b.Pick(all, prompt, unused, now).Target.Row().ID))
		Expect(r.Endpoint).To(Equal(r.Options[0].Endpoint))
		for _, o := range r.Options {
			Expect(sum(o)).To(Equal(o.Cost.Duration()))
			Expect(o.AheadCost + o.PrefillCost + o.QueueCost).To(Equal(o.TimeToFirst))
			Expect(o.Compared).To(BeTrue())
			switch o.Endpoint {
			case "a":
				Expect(o.AheadTokens).To(Equal(int64(40_000)))
				Expect(o.AheadCost).To(BeNumerically(">", 0))
				Expect(o.Running).To(Equal(1))
				Expect(o.CentreCost).To(BeZero())
			case "b":
				Expect(o.CachedTokens).To(Equal(int64(6_000)))
				Expect(o.PrefillTokens).To(BeZero())
				Expect(o.CentreCost).To(BeNumerically(">", 0))
			case "c":
				Expect(o.CachedTokens).To(BeZero())
				Expect(o.FetchedTokens).To(BeNumerically(">", 0))
				Expect(o.Donor).NotTo(BeEmpty())
				Expect(o.RepeatCost).To(BeNumerically(">=", 0))
			}
		}
	})

	It("tells which endpoints get no requests, why and for how long", func() {
		add("available", "leaving", "evacuated", "paused", "limited", "cold", "failed")
		all[1].MarkLeaving()
		all[2].SetEvacuated(true)
		all[3].PauseUntil(now.Add(3 * time.Second))
		all[4].Limit.Named(2, now)
		all[4].Limit.HoldUntil(now.Add(2 * time.Second))
		chill(all[5], false)
		all[6].RecordFailure(now)
		for _, w := range []*work.Request{prompt, plain} {
			r := b.Explain(ctx, nil, all, w, true, now)
			Expect(r.Endpoint).To(Equal(endpt.ID("available")))
			Expect(states(r)).To(Equal(map[endpt.ID]avail.State{
				"available": avail.Available, "leaving": avail.Leaving, "evacuated": avail.Evacuated, "paused": avail.Paused,
				"limited": avail.Limited, "cold": avail.Cold, "failed": avail.BackingOff,
			}))
			for _, o := range r.Options {
				switch o.State {
				case avail.Paused:
					Expect(o.Until.Duration()).To(Equal(3 * time.Second))
				case avail.Limited:
					Expect(o.Until.Duration()).To(Equal(2 * time.Second))
				}
				if o.State > avail.BackingOff {
					Expect(o.Compared).To(BeFalse())
				}
			}
		}
	})

	It("names an endpoint that failed a moment ago only if no other may get the request", func() {
		add("a", "b")
		all[0].MarkLeaving()
		all[1].RecordFailure(now)
		Expect(b.Explain(ctx, nil, all, prompt, true, now).Endpoint).To(Equal(endpt.ID("b")))
		Expect(b.Explain(ctx, nil, all, plain, true, now).Endpoint).To(Equal(endpt.ID("b")))
	})

	It("names no endpoint if none may get the request, and the time until one may", func() {
		add("a", "b")
		all[0].MarkLeaving()
		all[1].PauseUntil(now.Add(3 * time.Second))
		for _, w := range []*work.Request{prompt, plain} {
			r := b.Explain(ctx, nil, all, w, true, now)
			Expect(r.Endpoint).To(BeEmpty())
			Expect(r.Reason).NotTo(BeEmpty())
			Expect(r.RetryAfter.Duration()).To(Equal(3 * time.Second))
		}
		Expect(b.Explain(ctx, nil, nil, plain, true, now).Endpoint).To(BeEmpty())
	})

	It("of a request without a prompt tells the chance of each endpoint, as they are drawn", func() {
		add("a", "b", "c", "d")
		for range 6 {
			all[0].Begin(plain, 0, now)
		}
		r := b.Explain(ctx, nil, all, plain, true, now)
		Expect(r.Method).To(Equal(method.Random))
		drawn := map[endpt.ID]float64{}
		const draws = 4000
		for range draws {
			drawn[b.Pick(all, plain, unused, now.Add(time.Hour)).Target.Row().ID] += 1.0 / draws
		}
		total := 0.0
		for _, o := range r.Options {
			total += o.Chance
		}
		Expect(total).To(BeNumerically("~", 1, 1e-9))
		last := r.Options[len(r.Options)-1]
		Expect(last.Endpoint).To(Equal(endpt.ID("a")))
		Expect(last.Chance).To(BeNumerically("<", 0.1))
		Expect(drawn["b"]).To(BeNumerically(">", last.Chance))
	})

	It("takes the keeper's answer, unless the endpoint may not get the request here or a cold one is faster", func() {
		add("a", "b")
		kept := dryrun.Result{Method: method.Keeper, Endpoint: "a", TimeToFirst: 1, Options: []option.Option{{Endpoint: "a", Compared: true}}}
		Expect(b.Explain(ctx, fixedKeeper{kept}, all, prompt, false, now)).To(Equal(kept))
		kept.TimeToFirst = 1 << 40
		chill(all[1], true)
		r := b.Explain(ctx, fixedKeeper{kept}, all, prompt, false, now)
		Expect(r.Endpoint).To(Equal(endpt.ID("b")))
		Expect(r.Options).To(HaveLen(2))
		all[0].PauseUntil(now.Add(time.Second))
		r = b.Explain(ctx, fixedKeeper{kept}, all, prompt, false, now)
		Expect(r.Method).To(Equal(method.Sample))
		Expect(r.Endpoint).To(Equal(endpt.ID("b")))
	})

	It("changes no later choice", func() {
		play := func(explained bool) (ids []endpt.ID) {
			all = nil
			add("a", "b", "c")
			b = seeded()
			for i := range 60 {
				w := prompt
				if i%2 == 0 {
					w = plain
				}
				at := now.Add(time.Duration(i) * 10 * time.Millisecond)
				if explained {
					b.Explain(ctx, nil, all, w, true, at)
				}
				p := b.Pick(all, w, unused, at)
				all[0].Begin(w, p.PrefillTokens, at)
				ids = append(ids, p.Target.Row().ID)
			}
			return ids
		}
		Expect(play(true)).To(Equal(play(false)))
	})
})
