package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/route"
	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/need"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/server"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

var now = time.Unix(1000, 0)

func servers(r *rand.Rand, n int) []*server.Server {
	var out []*server.Server
	for i := range n {
		s := server.New(roster.Row{ID: endpt.ID(fmt.Sprint(i)), State: roster.Live, Price: 100_000 + r.Int64N(900_000)}, now)
		var running, waiting [class.Call + 1]int
		running[class.Quick], waiting[class.Long] = r.IntN(10), r.IntN(10)
		s.SetLoad(running, waiting, 8, time.Duration(1+r.IntN(40))*time.Millisecond, 1000+r.Float64()*9000)
		if r.IntN(5) == 0 {
			s.SetRow(roster.Row{ID: s.Row().ID, State: roster.Leaving, Price: s.Row().Price}, now)
		}
		out = append(out, s)
	}
	return out
}

func request() *need.Requirements {
	return &need.Requirements{Class: class.Quick, PromptTokens: 400, OutTokens: 50, FirstToken: 1200 * time.Millisecond, Answer: 4 * time.Second, Refund: 2000, PriceCeiling: 900_000}
}

// lowestCost is the reference implementation: a scan for the lowest estimate.
func lowestCost(all []*server.Server, n *need.Requirements) (best float64) {
	best = -1
	for _, s := range all {
		if _, cost := route.Estimate(s, n, now); !s.Leaving() && s.Row().Price <= n.PriceCeiling && (best < 0 || cost < best) {
			best = cost
		}
	}
	return best
}

var _ = Describe("Picker", func() {
	It("is as cheap as a naive scan, up to its tie-breaking, and never picks an endpoint that leaves or exceeds the price ceiling", func() {
		for seed := range uint64(300) {
			r := rand.New(rand.NewPCG(seed, 0))
			all, n := servers(r, 1+r.IntN(12)), request()
			got, _ := (&route.Picker{Rand: r.Float64}).Pick(all, n, nil, now)
			want := lowestCost(all, n)
			if want < 0 {
				Expect(got).To(BeNil())
				continue
			}
			Expect(got.Leaving()).To(BeFalse())
			Expect(got.Row().Price).To(BeNumerically("<=", n.PriceCeiling))
			_, cost := route.Estimate(got, n, now)
			Expect(cost).To(BeNumerically("<=", want*1.0201), "seed %d", seed)
		}
	})

	It("finds a usable endpoint at any index of a large subset", func() {
		for index := range 40 {
			r := rand.New(rand.NewPCG(uint64(index), 0))
			var all []*server.Server
			for i := range 40 {
				state := roster.Leaving
				if i == index {
					state = roster.Live
				}
				all = append(all, server.New(roster.Row{ID: endpt.ID(fmt.Sprint(i)), State: state}, now))
			}
			got, _ := (&route.Picker{Rand: r.Float64}).Pick(all, request(), nil, now)
			Expect(got).To(BeIdenticalTo(all[index]))
		}
	})

	It("does not count long requests ahead of quick ones", func() {
		s := server.New(roster.Row{State: roster.Live}, now)
		var running, waiting [class.Call + 1]int
		running[class.Long], waiting[class.Long] = 8, 50
		s.SetLoad(running, waiting, 8, 10*time.Millisecond, 10_000)
		quick, _ := route.Estimate(s, request(), now)
		long := request()
		long.Class = class.Long
		slow, _ := route.Estimate(s, long, now)
		Expect(quick).To(BeNumerically(">", 0))
		Expect(slow).To(BeNumerically("<", quick-2*time.Second))
	})

	It("counts requests sent since the last report", func() {
		s := server.New(roster.Row{State: roster.Live}, now)
		s.SetLoad([class.Call + 1]int{}, [class.Call + 1]int{}, 2, 10*time.Millisecond, 10_000)
		before, _ := route.Estimate(s, request(), now)
		for range 4 {
			s.Begin(class.Quick, now)
		}
		after, _ := route.Estimate(s, request(), now)
		Expect(after).To(BeNumerically("<", before))
	})

	It("prefers an endpoint that is likely to have the prompt's prefix cached, with a likelihood that falls over time", func() {
		a, b := server.New(roster.Row{State: roster.Live}, now), server.New(roster.Row{State: roster.Live}, now)
		n := request()
		n.Prefix, n.PromptTokens = 7, 20_000
		b.Cached().RecordSent(7, now)
		got, _ := (&route.Picker{Rand: func() float64 { return 0 }}).Pick([]*server.Server{a, b}, n, nil, now)
		Expect(got).To(BeIdenticalTo(b))
		Expect(b.Cached().Probability(7, now.Add(time.Hour))).To(BeNumerically("<", 0.1))
	})

	It("lowers the expected hit rate of an endpoint's cache after an unexpected miss", func() {
		s := server.New(roster.Row{State: roster.Live}, now)
		s.Cached().RecordSent(7, now)
		s.Cached().ObserveResult(0.2, false)
		Expect(s.Cached().Probability(7, now)).To(Equal(1.0))
		s.Cached().ObserveResult(0.9, false)
		Expect(s.Cached().Probability(7, now)).To(BeNumerically("~", 0.5))
	})

	It("does not allocate", func() {
		r := rand.New(rand.NewPCG(1, 0))
		all, n, p := servers(r, 32), request(), &route.Picker{Rand: r.Float64}
		Expect(testing.AllocsPerRun(100, func() { p.Pick(all, n, nil, now) })).To(BeZero())
	})
})

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 32} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 0))
			all, need, p := servers(r, n), request(), &route.Picker{Rand: r.Float64}
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(all, need, nil, now)
			}
		})
	}
}
