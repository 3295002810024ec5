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
	Sent            int     `json:"sent"`
	RefusedShare    float64 `json:"refused-share"`
	RefusedLate     float64 `json:"refused-as-too-late-share"`
	RefusedFlood    float64 `json:"refused-of-flood-share"`
	RefusedWrongly  float64 `json:"refused-wrongly-share"`
	RefusedCalm     float64 `json:"refused-wrongly-in-calm-share"`
	QuickInTime     float64 `json:"quick-in-time"`
	LongInTime      float64 `json:"long-in-time"`
	SmallInTime     float64 `json:"small-accounts-quick-in-time-under-flood"`
	Lost            int     `json:"accepted-lost"`
	PrefixHits      float64 `json:"prefix-hit-share"`
	Recomputed      int     `json:"tokens-recomputed"`
	Euros           float64 `json:"euros"`
	Refunds         float64 `json:"euros-refunded"`
	MicrosPerAnswer float64 `json:"micro-euros-per-answer-in-time"`
}

type userFigures struct {
	Ratio      float64                `json:"cost-ratio"`
	Recomputed float64                `json:"tokens-recomputed-ratio"`
	Policies   map[string]costFigures `json:"policies"`
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
		f.Ratio = product.MicrosPerAnswer / min(least.MicrosPerAnswer, round.MicrosPerAnswer)
		f.Recomputed = float64(product.Recomputed) / float64(max(1, round.Recomputed))
		figures[user] = f
	}
	return c.print(figures)
}

func (c *costCmd) measure(user, policy string) costFigures {
	runs := make([]*serve.Serve, c.Runs)
	parallel(c.Runs, func(i int) {
		runs[i] = &serve.Serve{Seed: c.Seed*1_000_003 + uint64(i), User: user, Policy: policy, Prefixes: c.Prefixes, Deaf: c.Deaf}
		runs[i].Run()
	})
	var f costFigures
	var refused, quick, quickOK, long, longOK, small, smallOK int
	var price, refunds float64
	var prefixes, hits int
	for _, r := range runs {
		f.Sent += r.Sent
		f.Lost += r.Lost
		f.Recomputed += r.Recomputed
		refused += r.Refused
		f.RefusedLate += float64(r.RefusedLate)
		f.RefusedFlood += float64(r.RefusedFlood)
		f.RefusedWrongly += float64(r.RefusedWrongly)
		f.RefusedCalm += float64(r.RefusedCalm)
		quick, quickOK = quick+r.QuickAccepted, quickOK+r.QuickInTime
		long, longOK = long+r.LongAccepted, longOK+r.LongInTime
		small, smallOK = small+r.SmallQuick, smallOK+r.SmallQuickInTime
		price += r.Price
		refunds += r.Refunds
		prefixes, hits = prefixes+r.PrefixSent, hits+r.PrefixHits
	}
	f.PrefixHits = float64(hits) / float64(prefixes)
	f.RefusedShare = float64(refused) / float64(f.Sent)
	f.RefusedLate /= float64(f.Sent)
	f.RefusedFlood /= float64(f.Sent)
	f.RefusedCalm /= float64(f.Sent)
	f.RefusedWrongly /= float64(f.Sent)
	f.QuickInTime = float64(quickOK) / float64(quick)
	f.LongInTime = float64(longOK) / float64(long)
	f.SmallInTime = float64(smallOK) / float64(small)
	f.Euros = (price + refunds) / 1e6
	f.Refunds = refunds / 1e6
	f.MicrosPerAnswer = (price + refunds) / float64(quickOK+longOK)
	return f
}
