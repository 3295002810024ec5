package main

import (
	"slices"

	"github.com/dragonflyroute/dragonflyroute/model/homes"
)

type homesCmd struct {
	output
	Runs int `default:"20" help:"Runs of an hour each."`
}

type homesFigures struct {
	Median       float64 `json:"largest-over-mean-p50"`
	P95          float64 `json:"largest-over-mean-p95"`
	ChangedShare float64 `json:"changed-answers-share"`
}

// Run measures how evenly address lookups distribute load over the entry hosts, and compares it with equal weights that
// ignore load.
func (c *homesCmd) Run() error {
	return c.print(map[string]homesFigures{"product": c.measure(false), "even-weights": c.measure(true)})
}

func (c *homesCmd) measure(equalWeights bool) homesFigures {
	runs := make([]*homes.Simulation, c.Runs)
	parallel(c.Runs, func(i int) {
		runs[i] = &homes.Simulation{Seed: c.Seed*1_000_003 + uint64(i), EqualWeights: equalWeights}
		runs[i].Run()
	})
	var ratios []float64
	changes, lookups := 0, 0
	for _, r := range runs {
		ratios = append(ratios, r.MaxOverMean...)
		changes, lookups = changes+r.HostChanges, lookups+r.Lookups
	}
	slices.Sort(ratios)
	return homesFigures{Median: ratios[len(ratios)/2], P95: ratios[len(ratios)*95/100], ChangedShare: float64(changes) / float64(lookups)}
}
