package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/route"
	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/need"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/pool"
	"github.com/dragonflyroute/dragonflyroute/state/server"
)

type decideCmd struct {
	output
}

type decideFigures struct {
	DecisionNanos float64 `json:"ns-per-decision"`
	Allocations   int64   `json:"allocations"`
	ScanNanos     float64 `json:"naive-scan-ns"`
	ScanRatio     float64 `json:"ratio-to-scan"`
}

const subset = 32

// Run measures one routing decision at several fleet sizes, and compares it with a scan of all endpoints.
func (c *decideCmd) Run() error {
	figures := map[string]any{}
	var smallest, largest float64
	for _, n := range []int{10, 50, 500, 5500} {
		product, scan := c.measure(n, subset, c.pick), c.measure(n, n, scanAll)
		f := decideFigures{DecisionNanos: perOp(product), Allocations: product.AllocsPerOp(), ScanNanos: perOp(scan)}
		f.ScanRatio = f.DecisionNanos / f.ScanNanos
		figures[fmt.Sprintf("endpoints-%d", n)] = f
		if n == 10 {
			smallest = f.DecisionNanos
		}
		largest = f.DecisionNanos
	}
	figures["largest-over-smallest"] = largest / smallest
	return c.print(figures)
}

func perOp(r testing.BenchmarkResult) float64 { return float64(r.T.Nanoseconds()) / float64(r.N) }

// pick makes the decision with route.Picker, as an entry host does.
func (c *decideCmd) pick(candidates []*server.Server, n *need.Requirements, now time.Time) {
	(&route.Picker{Rand: rand.Float64}).Pick(candidates, n, nil, now)
}

// scanAll is the naive baseline: the lowest estimated cost of all endpoints.
func scanAll(candidates []*server.Server, n *need.Requirements, now time.Time) {
	best := math.Inf(1)
	for _, s := range candidates {
		if _, cost := route.Estimate(s, n, now); !s.Leaving() && cost < best {
			best = cost
		}
	}
}

func (c *decideCmd) measure(endpoints, size int, decide func([]*server.Server, *need.Requirements, time.Time)) testing.BenchmarkResult {
	r := rand.New(rand.NewPCG(c.Seed, 0))
	now := time.Unix(1_000_000, 0)
	p := &pool.Pool{Self: "entry", Subset: size}
	var rows []roster.Row
	for i := range endpoints {
		rows = append(rows, roster.Row{ID: endpt.ID(fmt.Sprint(i)), Backend: "b", Version: "v", State: roster.Live, Price: 1 + r.Int64N(1000)})
	}
	p.Update(rows, now)
	for _, s := range p.All() {
		var running, waiting [class.Call + 1]int
		running[class.Quick] = r.IntN(8)
		s.SetLoad(running, waiting, 8, 20*time.Millisecond, 4000)
	}
	n := &need.Requirements{Class: class.Quick, PromptTokens: 500, OutTokens: 50, FirstToken: time.Second, Answer: 4 * time.Second, Refund: 2000, PriceCeiling: 2000}
	return testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			decide(p.Candidates("b", "v"), n, now)
		}
	})
}
