package main

import (
	"github.com/dragonflyroute/dragonflyroute/model/serve"
)

type costCmd struct {
	output
	Runs     int  `default:"8" help:"Runs of each policy, each of half an hour."`
	Prefixes int  `default:"40" help:"Prefixes of prompts; an engine caches 64."`
	Deaf     bool `help:"Ignore the engines' cache events."`
}

type costFigures struct {
	Sent                 int     `json:"sent"`
	RefusedShare         float64 `json:"refused-share"`
	RefusedLate          float64 `json:"refused-as-too-late-share"`
	RefusedFlood         float64 `json:"refused-of-flood-share"`
	RefusedWrongly       float64 `json:"refused-wrongly-share"`
	RefusedWronglySteady float64 `json:"refused-wrongly-in-calm-share"`
	QuickInTime          float64 `json:"quick-in-time"`
	LongInTime           float64 `json:"long-in-time"`
	SmallQuickInTime     float64 `json:"small-accounts-quick-in-time-under-flood"`
	AcceptedLost         int     `json:"accepted-lost"`
	PrefixHitShare       float64 `json:"prefix-hit-share"`
	RecomputedTokens     int     `json:"tokens-recomputed"`
	Euros                float64 `json:"euros"`
	RefundedEuros        float64 `json:"euros-refunded"`
	MicrosPerAnswer      float64 `json:"micro-euros-per-answer-in-time"`
}

type userFigures struct {
	CostRatio       float64                `json:"cost-ratio"`
	RecomputedRatio float64                `json:"tokens-recomputed-ratio"`
	Policies        map[string]costFigures `json:"policies"`
}

// Run measures the cost of serving within the latency limit for the workloads of both users, and compares it with two
// naive routing policies.
func (c *costCmd) Run() error {
	figures := map[string]userFigures{}
	for _, user := range []string{"kerlann", "aliance"} {
		f := userFigures{Policies: map[string]costFigures{}}
		for _, policy := range []string{serve.Product, serve.LeastOutstanding, serve.RoundRobin} {
			f.Policies[policy] = c.measure(user, policy)
		}
		product, least, round := f.Policies[serve.Product], f.Policies[serve.LeastOutstanding], f.Policies[serve.RoundRobin]
		f.CostRatio = product.MicrosPerAnswer / min(least.MicrosPerAnswer, round.MicrosPerAnswer)
		f.RecomputedRatio = float64(product.RecomputedTokens) / float64(max(1, round.RecomputedTokens))
		figures[user] = f
	}
	return c.print(figures)
}

func (c *costCmd) measure(user, policy string) costFigures {
	runs := make([]*serve.Simulation, c.Runs)
	parallel(c.Runs, func(i int) {
		runs[i] = &serve.Simulation{Seed: c.Seed*1_000_003 + uint64(i), User: user, Policy: policy, Prefixes: c.Prefixes, IgnoreCacheEvents: c.Deaf}
		runs[i].Run()
	})
	var f costFigures
	var refused, quick, quickOK, long, longOK, small, smallOK int
	var hostCost, refunds float64
	var prefixes, hits int
	for _, r := range runs {
		f.Sent += r.Sent
		f.AcceptedLost += r.Lost
		f.RecomputedTokens += r.RecomputedTokens
		refused += r.Refused
		f.RefusedLate += float64(r.RefusedLate)
		f.RefusedFlood += float64(r.RefusedFlood)
		f.RefusedWrongly += float64(r.RefusedWrongly)
		f.RefusedWronglySteady += float64(r.RefusedWronglySteady)
		quick, quickOK = quick+r.QuickAccepted, quickOK+r.QuickInTime
		long, longOK = long+r.LongAccepted, longOK+r.LongInTime
		small, smallOK = small+r.SmallQuickAccepted, smallOK+r.SmallQuickInTime
		hostCost += r.HostCost
		refunds += r.Refunds
		prefixes, hits = prefixes+r.PrefixLookups, hits+r.PrefixHits
	}
	f.PrefixHitShare = float64(hits) / float64(prefixes)
	f.RefusedShare = float64(refused) / float64(f.Sent)
	f.RefusedLate /= float64(f.Sent)
	f.RefusedFlood /= float64(f.Sent)
	f.RefusedWronglySteady /= float64(f.Sent)
	f.RefusedWrongly /= float64(f.Sent)
	f.QuickInTime = float64(quickOK) / float64(quick)
	f.LongInTime = float64(longOK) / float64(long)
	f.SmallQuickInTime = float64(smallOK) / float64(small)
	f.Euros = (hostCost + refunds) / 1e6
	f.RefundedEuros = refunds / 1e6
	f.MicrosPerAnswer = (hostCost + refunds) / float64(quickOK+longOK)
	return f
}
