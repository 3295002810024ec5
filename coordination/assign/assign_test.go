package assign_test

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflyroute/dragonflyroute/coordination/assign"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/guard"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

func TestAssign(t *testing.T) {
	NewWithT(t).Expect(flag.Set("rapid.seed", cmp.Or(os.Getenv("DRAGONFLYROUTE_SEED"), "1"))).To(Succeed())
	RegisterFailHandler(Fail)
	RunSpecs(t, "assign")
}

func catalogue(state string, share float64) *catlog.Catalogue {
	e := entry.Entry{Name: "e", Backend: "plume", Version: "v1", EngineOrders: guard.Fenced}
	if state == move.Done {
		e.Version = "v2"
	}
	m := move.Move{ID: "m", Entry: "e", From: "v1", To: "v2", State: state, Share: share, Started: time.Unix(0, 0)}
	return &catlog.Catalogue{Entries: []entry.Entry{e}, Moves: []move.Move{m}}
}

func engines(versions ...label.Name) []roster.Row {
	var out []roster.Row
	for i, v := range versions {
		out = append(out, roster.Row{ID: endpt.ID(fmt.Sprint("e", i)), Backend: "plume", Version: v, State: roster.Live, DataCentre: centre.ID(fmt.Sprint("dc-", i%3))})
	}
	return out
}

func allV1(n int) []roster.Row {
	versions := make([]label.Name, n)
	for i := range versions {
		versions[i] = "v1"
	}
	return engines(versions...)
}

func count(rows []roster.Row, version label.Name) (n int) {
	for _, r := range rows {
		if r.Version == version && r.State == roster.Live {
			n++
		}
	}
	return n
}

// converge carries out orders until there are none, and returns the engines.
func converge(c *catlog.Catalogue, rows []roster.Row) []roster.Row {
	a := assign.Assign{MaxLoading: 2}
	for range 10 * len(rows) {
		orders := a.Orders(c, rows)
		if len(orders) == 0 {
			return rows
		}
		for _, d := range orders {
			for i := range rows {
				if rows[i].ID == d.Endpoint {
					rows[i].Version = d.Version
				}
			}
		}
	}
	Fail("the orders do not converge")
	return nil
}

var _ = Describe("Assign", func() {
	It("gives no orders to engines that take none", func() {
		c := catalogue(move.Ramping, 0.5)
		c.Entries[0].EngineOrders = guard.None
		a := assign.Assign{MaxLoading: 4}
		Expect(a.Orders(c, allV1(10))).To(BeEmpty())
	})

	DescribeTable("gives a new version more engines than its share of the traffic, and keeps the old one loaded until the move is done",
		func(n int, state string, share float64, want int) {
			rows := converge(catalogue(state, share), allV1(n))
			Expect(count(rows, "v2")).To(Equal(want))
			Expect(count(rows, "v1")).To(Equal(n - want))
		},
		Entry("at the start", 10, move.Ramping, 0.0, 1),
		Entry("at a fifth", 10, move.Ramping, 0.2, 4),
		Entry("at the full share", 10, move.Ramping, 1.0, 7),
		Entry("done", 10, move.Done, 1.0, 10),
		Entry("rolled back", 10, move.RolledBack, 0.0, 0),
		Entry("with two engines", 2, move.Ramping, 1.0, 1),
		Entry("with one engine", 1, move.Ramping, 0.0, 0),
		Entry("one engine, done", 1, move.Done, 1.0, 1),
	)

	It("spreads the new version over data centres", func() {
		rows := converge(catalogue(move.Ramping, 0.15), allV1(12))
		centres := map[centre.ID]int{}
		for _, r := range rows {
			if r.Version == "v2" {
				centres[r.DataCentre]++
			}
		}
		Expect(centres).To(HaveLen(3))
	})

	It("always lets a move reach its full share", func() {
		for n := 2; n <= 60; n++ {
			rows, reached := allV1(n), 0.0
			for range 100 {
				c := catalogue(move.Ramping, reached)
				rows = converge(c, rows)
				reached = max(reached, min(1, assign.CapacityShare(c, rows, &c.Entries[0], "v2")))
			}
			Expect(reached).To(Equal(1.0), "with %d engines", n)
		}
	})

	It("bounds concurrent loads, orders no leaving engine, and keeps the last live engine of a version with traffic", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			rows := allV1(rapid.IntRange(1, 20).Draw(t, "n"))
			for i := range rows {
				rows[i].Version = rapid.SampledFrom([]label.Name{"v1", "v2", "v0"}).Draw(t, "version")
				switch rapid.IntRange(0, 5).Draw(t, "state") {
				case 0:
					rows[i].State = roster.Leaving
				case 1:
					rows[i].State, rows[i].Loading = roster.Leaving, "v2"
				}
			}
			c := catalogue(rapid.SampledFrom([]string{move.Ramping, move.Done, move.RolledBack}).Draw(t, "state"), rapid.Float64Range(0, 1).Draw(t, "share"))
			a := assign.Assign{MaxLoading: rapid.IntRange(1, 4).Draw(t, "max")}
			loading := 0
			for _, r := range rows {
				if r.Loading != "" {
					loading++
				}
			}
			before := map[label.Name]int{"v1": count(rows, "v1"), "v2": count(rows, "v2")}
			orders := a.Orders(c, rows)
			if len(orders) > 0 && loading+len(orders) > a.MaxLoading {
				t.Fatalf("%d engines are loading and %d more are ordered to load", loading, len(orders))
			}
			for _, d := range orders {
				for i := range rows {
					if rows[i].ID != d.Endpoint {
						continue
					}
					if rows[i].State != roster.Live || rows[i].Version == d.Version {
						t.Fatalf("order %+v to %+v", d, rows[i])
					}
					rows[i].State, rows[i].Loading = roster.Leaving, d.Version
				}
			}
			if c.Moves[0].State != move.Ramping {
				return
			}
			for version, n := range before {
				if n > 0 && count(rows, version) == 0 {
					t.Fatalf("version %s has no live engine left", version)
				}
			}
		})
	})
})
