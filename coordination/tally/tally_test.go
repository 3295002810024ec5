package tally_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/tally"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/linear"
	"github.com/dragonflyroute/dragonflyroute/protocol/stats"
)

func TestTally(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tally")
}

func figures(n int) *stats.Stats {
	return &stats.Stats{
		Hosts: 1, Demand: map[acct.ID]float64{"mutual": float64(n)}, InFlight: map[string]int{"e": n, fmt.Sprint("e", n%3): 1}, PrefillTokens: map[string]int64{"e": int64(n)},
	}
}

var _ = Describe("Tally", func() {
	now := time.Unix(1000, 0)

	It("totals the figures of all hosts of a large fleet after each host reported to one other", func() {
		const centres, each = 5, 59
		primaries := make([]tally.Tally, centres)
		for c := range primaries {
			for h := 1; h < each; h++ {
				primaries[c].Update(host.ID(fmt.Sprint(c, "-", h)), figures(h), now)
			}
		}
		for c := range primaries {
			for o := range primaries {
				if c != o {
					primaries[c].UpdateGroup(host.ID(fmt.Sprint(o, "-0")), primaries[o].Group(figures(0), now), now)
				}
			}
		}
		want := centres * each * (each - 1) / 2
		for c := range primaries {
			got := primaries[c].Total(figures(0), now)
			Expect(got.Hosts).To(Equal(centres * each))
			Expect(got.Demand["mutual"]).To(Equal(float64(want)))
			Expect(got.PrefillTokens["e"]).To(Equal(int64(want)))
			Expect(got.Without(figures(0)).Hosts).To(Equal(centres*each - 1))
		}
	})

	It("leaves out a host and a group three seconds after their last report", func() {
		t := &tally.Tally{}
		t.Update("a", figures(10), now)
		t.UpdateGroup("b", &stats.Stats{Hosts: 4, Demand: map[acct.ID]float64{"mutual": 100}}, now)
		Expect(t.Total(figures(1), now).Hosts).To(Equal(6))
		Expect(t.Total(figures(1), now.Add(3*time.Second)).Demand).To(Equal(map[acct.ID]float64{"mutual": 1}))
	})

	It("counts a host only once after it has become the primary reader of another group", func() {
		t := &tally.Tally{}
		t.Update("a", figures(10), now)
		t.UpdateGroup("a", figures(10), now)
		Expect(t.Total(figures(1), now).Hosts).To(Equal(2))
	})

	It("weights the engines' speed by the hosts' number of samples, so that a host with few samples does not dominate", func() {
		t := &tally.Tally{}
		for i, rate := range []float64{50_000, 60_000, 55_000, 2_000_000} {
			var seen linear.Fit
			for n := range 40 >> (i / 3 * 5) {
				tokens := float64(1_000 + 4_000*(n%2))
				seen = seen.WithSample(tokens, tokens/rate)
			}
			t.Update(host.ID(fmt.Sprint(i)), &stats.Stats{Hosts: 1, FirstTokenFit: map[label.Name]linear.Fit{"plume": seen}}, now)
		}
		_, slope, known := t.Total(figures(1), now).FirstTokenFit["plume"].Line()
		Expect(known).To(BeTrue())
		Expect(1 / slope).To(BeNumerically("~", 55_000, 2_000))
	})

	It("replaces only the accounts' figures by brief ones, and keeps a host's others", func() {
		t := &tally.Tally{}
		t.Update("a", figures(10), now)
		t.Update("a", (&stats.Stats{Hosts: 1, Demand: map[acct.ID]float64{"mutual": 25}}).OnlyAccounts(), now.Add(time.Second))
		others := t.Others(now.Add(time.Second))
		Expect(others.Demand).To(HaveKeyWithValue(acct.ID("mutual"), 25.0))
		Expect(others.PrefillTokens).To(HaveKeyWithValue("e", int64(10)))
	})

	It("tracks the total age of the figures, through groups too", func() {
		t, primary := &tally.Tally{}, &tally.Tally{}
		t.Update("a", figures(1), now)
		t.Update("b", figures(1), now.Add(200*time.Millisecond))
		primary.UpdateGroup("t", t.Group(figures(1), now.Add(400*time.Millisecond)), now.Add(400*time.Millisecond))
		others := primary.Others(now.Add(500 * time.Millisecond))
		Expect(others.Hosts).To(Equal(3))
		Expect(others.AgeSum).To(BeNumerically("~", 0.5+0.3+0.1, 1e-6))
	})

	It("subtracts figures without going below 0", func() {
		left := figures(3).Without(&stats.Stats{Hosts: 9, Demand: map[acct.ID]float64{"mutual": 3, "other": 1}, InFlight: map[string]int{"e": 1}})
		Expect(left.Hosts).To(Equal(0))
		Expect(left.Demand).To(BeEmpty())
		Expect(left.InFlight).To(HaveKeyWithValue("e", 2))
	})
})
