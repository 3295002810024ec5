package main

import (
	"fmt"
	"time"

	"github.com/dragonflyroute/dragonflyroute/model/proof"
)

type proofCmd struct {
	output
	Moves int             `default:"200" help:"Moves of each kind, rate and duration."`
	Rates []float64       `default:"8,64,300" help:"Requests per second."`
	Lasts []time.Duration `default:"30s,90s" help:"Durations of the moves."`
}

type proofFigures struct {
	Completed  float64 `json:"completed"`
	RolledBack float64 `json:"rolled-back-by-evidence"`
	OutOfTime  float64 `json:"out-of-time"`
	// Exposed is the mean share of the requests that the new version got.
	Exposed float64 `json:"exposed"`
}

// proofKinds are the versions that are played: good ones beside callers who leave or whose requests are wrong, and bad ones.
// The shares are those of the old and of the new version.
var proofKinds = map[string]proof.Simulation{
	"good": {},
	"good, half of the callers leave when they like":                 {Leaving: 0.5},
	"good, all callers leave when they like":                         {Leaving: 1},
	"good, a tenth of the callers of both versions leave late":       {Slow: [2]float64{0.1, 0.1}},
	"good, a tenth of the answers of both is 404":                    {Missing: [2]float64{0.1, 0.1}},
	"good, three tenths of the answers of both are 404":              {Missing: [2]float64{0.3, 0.3}},
	"good, callers of both err in a tenth of the seconds":            {Bursts: 0.1},
	"good, a tenth is rejected on both":                              {Rejecting: [2]float64{0.1, 0.1}},
	"bad, two fifths slow past the callers' patience":                {Slow: [2]float64{0, 0.4}},
	"bad, two fifths slow, half of the callers leave when they like": {Slow: [2]float64{0, 0.4}, Leaving: 0.5},
	"bad, two fifths 404":                                            {Missing: [2]float64{0, 0.4}},
	"bad, two fifths 404, a tenth on the old one":                    {Missing: [2]float64{0.1, 0.5}},
	"bad, two fifths rejected":                                       {Rejecting: [2]float64{0, 0.4}},
	"bad, two fifths fail":                                           {Failing: [2]float64{0, 0.4}},
}

// Run measures how often good and bad versions are completed, with all evidence, and without that of callers who leave, of
// rejections and of statuses below 500.
func (c *proofCmd) Run() error {
	figures := map[string]map[string]map[string]proofFigures{}
	for name, kind := range proofKinds {
		figures[name] = map[string]map[string]proofFigures{}
		for _, lasts := range c.Lasts {
			for _, rate := range c.Rates {
				s := kind
				s.Rate, s.Lasts = rate, lasts
				blind := s
				blind.Blind = true
				figures[name][fmt.Sprintf("%v at %v/s", lasts, rate)] = map[string]proofFigures{"all": c.measure(s), "blind": c.measure(blind)}
			}
		}
	}
	return c.print(figures)
}

// measure plays moves of one kind.
func (c *proofCmd) measure(of proof.Simulation) proofFigures {
	all := make([]proof.Simulation, c.Moves)
	parallel(c.Moves, func(i int) {
		all[i] = of
		all[i].Seed = c.Seed*1_000_003 + uint64(i)
		all[i].Run()
	})
	var f proofFigures
	for _, s := range all {
		switch {
		case s.Done:
			f.Completed++
		case s.Reason == "no time was left to prove the version":
			f.OutOfTime++
		default:
			f.RolledBack++
		}
		f.Exposed += float64(s.Exposed) / float64(max(1, s.Requests))
	}
	n := float64(c.Moves)
	return proofFigures{Completed: f.Completed / n, RolledBack: f.RolledBack / n, OutOfTime: f.OutOfTime / n, Exposed: f.Exposed / n}
}
