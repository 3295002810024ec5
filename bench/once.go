package main

import (
	"slices"
	"time"

	"github.com/dragonflyroute/dragonflyroute/model/calls"
	"github.com/dragonflyroute/dragonflyroute/model/leases"
)

type onceCmd struct {
	output
	Histories int `default:"2000" help:"Histories."`
}

type onceFigures struct {
	Histories      int     `json:"histories"`
	Calls          int     `json:"calls"`
	DoubleRuns     int     `json:"double-runs"`
	FalseNotRun    int     `json:"false-not-run"`
	StuckClaims    int     `json:"stuck-claims"`
	OutcomeUnknown float64 `json:"outcome-unknown-share"`
	Answered       float64 `json:"answered-share"`
	CommitsPerCall float64 `json:"commits-per-call"`
	LatencyP99     float64 `json:"calm-latency-p99-ms"`
}

// Run measures non-idempotent calls over histories with faults, and compares them with a baseline that retries without
// claims.
func (c *onceCmd) Run() error {
	product, naive := c.measure(calls.History{}), c.measure(calls.History{Naive: true})
	return c.print(map[string]any{
		"product":                 product,
		"naive":                   naive,
		"product-in-long-outages": c.measure(calls.History{MaxOutage: longOutage}),
		"leased-in-long-outages":  c.measure(calls.History{MaxOutage: longOutage, Leased: true}),
		"added-latency-p99-ms":    product.LatencyP99 - naive.LatencyP99,
	})
}

// longOutage is the longest outage in the histories with long outages; it exceeds the callers' retries.
const longOutage = time.Second

// measure simulates the histories of a policy, each with its faults and without any.
func (c *onceCmd) measure(policy calls.History) onceFigures {
	failing, faultFree := make([]*calls.History, c.Histories), make([]*calls.History, c.Histories)
	parallel(c.Histories, func(i int) {
		seed := c.Seed*1_000_003 + uint64(i)
		failing[i] = &calls.History{Seed: seed, Naive: policy.Naive, Leased: policy.Leased, MaxOutage: policy.MaxOutage}
		failing[i].Run()
		faultFree[i] = &calls.History{Seed: seed, Naive: policy.Naive, Leased: policy.Leased, NoFaults: true}
		faultFree[i].Run()
	})
	f := onceFigures{Histories: c.Histories}
	for _, h := range failing {
		f.Calls += h.Calls
		f.DoubleRuns += h.DoubleRuns
		f.FalseNotRun += h.FalseNotRun
		f.StuckClaims += h.StuckClaims
		f.OutcomeUnknown += float64(h.UnknownOutcomes)
		f.Answered += float64(h.Answered)
	}
	f.OutcomeUnknown /= float64(f.Calls)
	f.Answered /= float64(f.Calls)
	f.addFaultFree(faultFree)
	return f
}

// addFaultFree sets the figures that are taken from the histories without faults.
func (f *onceFigures) addFaultFree(histories []*calls.History) {
	var latency []time.Duration
	commits, total := 0, 0
	for _, h := range histories {
		latency = append(latency, h.Latencies...)
		commits += h.Commits
		total += h.Calls
	}
	slices.Sort(latency)
	f.CommitsPerCall = float64(commits) / float64(total)
	f.LatencyP99 = float64(percentile(latency, 0.99).Microseconds()) / 1000
}

type leaseCmd struct {
	output
	Histories int `default:"500" help:"Histories."`
}

type leaseFigures struct {
	Histories int `json:"histories"`
	Orders    int `json:"orders"`
	Holders   int `json:"holders"`
	Overlaps  int `json:"overlapping-effects"`
	Refused   int `json:"refused-by-fencing"`
}

// Run measures leases over histories with pauses and lost responses, and compares them with a baseline that doesn't check
// again that its lease is valid when it acts.
func (c *leaseCmd) Run() error {
	return c.print(map[string]leaseFigures{
		"endpoints-that-fence":  c.measure(false, true),
		"endpoints-that-do-not": c.measure(false, false),
		"naive":                 c.measure(true, false),
	})
}

func (c *leaseCmd) measure(naive, fencing bool) leaseFigures {
	histories := make([]*leases.History, c.Histories)
	parallel(c.Histories, func(i int) {
		histories[i] = &leases.History{Seed: c.Seed*1_000_003 + uint64(i), Naive: naive, Fencing: fencing}
		histories[i].Run()
	})
	f := leaseFigures{Histories: c.Histories}
	for _, h := range histories {
		f.Orders += h.Orders
		f.Holders += h.Holders
		f.Overlaps += h.Overlaps
		f.Refused += h.Refused
	}
	return f
}
