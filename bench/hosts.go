package main

import "github.com/dragonflyroute/dragonflyroute/model/market"

type hostsCmd struct {
	output
	Runs int `default:"20" help:"Runs of each strategy, each of six hours."`
}

type hostsFigures struct {
	Euros        float64 `json:"euros"`
	Shortfall    float64 `json:"shortfall-share"`
	Starts       float64 `json:"starts"`
	MaxStarting  int     `json:"most-loading-weights"`
	MaxHeldRatio float64 `json:"most-held-over-needed"`
	StaleOrders  int     `json:"old-orders-refused"`
}

// Run measures host provisioning under reclaim waves and refused starts, and compares it with two naive strategies.
func (c *hostsCmd) Run() error {
	figures := map[string]any{}
	euros := map[string]float64{}
	for _, strategy := range []string{market.Product, market.OnDemand, market.Reclaimable} {
		f := c.measure(strategy)
		figures[strategy], euros[strategy] = f, f.Euros
	}
	figures["cost-ratio-to-on-demand"] = euros[market.Product] / euros[market.OnDemand]
	figures["cost-ratio-to-reclaimable"] = euros[market.Product] / euros[market.Reclaimable]
	return c.print(figures)
}

func (c *hostsCmd) measure(strategy string) hostsFigures {
	runs := make([]*market.Simulation, c.Runs)
	parallel(c.Runs, func(i int) {
		runs[i] = &market.Simulation{Seed: c.Seed*1_000_003 + uint64(i), Strategy: strategy}
		runs[i].Run()
	})
	var f hostsFigures
	for _, r := range runs {
		f.Euros += r.CostEuros / float64(c.Runs)
		f.Shortfall += r.Shortfall / float64(c.Runs)
		f.Starts += float64(r.Starts) / float64(c.Runs)
		f.MaxStarting = max(f.MaxStarting, r.MaxStarting)
		f.MaxHeldRatio = max(f.MaxHeldRatio, r.MaxHeldRatio)
		f.StaleOrders += r.StaleOrders
	}
	return f
}
