package main

import (
	"fmt"

	"github.com/dragonflyroute/dragonflyroute/model/gossip"
)

type configCmd struct {
	output
	Loss float64 `default:"0.1" help:"Probability that a message is lost."`
}

type configFigures struct {
	P50        float64 `json:"spread-p50-ms"`
	P99        float64 `json:"spread-p99-ms"`
	Max        float64 `json:"spread-worst-ms"`
	Reached    float64 `json:"reached-share"`
	HealedP99  float64 `json:"after-heal-p99-ms"`
	Reverts    int     `json:"reverts"`
	Messages   float64 `json:"messages-per-second"`
	Bytes      float64 `json:"bytes-per-second"`
	IdleBytes  float64 `json:"idle-bytes-per-second"`
	TableReads float64 `json:"table-reads-per-second"`
}

// Run measures how fast catalogue changes propagate at several fleet sizes, with message loss and with a data centre that
// is partitioned off and reconnected.
func (c *configCmd) Run() error {
	sizes := []int{7, 20, 100, 300, 1100}
	runs := make([]*gossip.Simulation, len(sizes))
	parallel(len(sizes), func(i int) {
		runs[i] = &gossip.Simulation{Seed: c.Seed, Hosts: sizes[i], MessageLoss: c.Loss, Changes: 4}
		runs[i].Run()
	})
	figures := map[string]configFigures{}
	for _, r := range runs {
		quantile := func(q float64, times []float64) float64 { return percentile(times, q) }
		propagated, healed := millis(r.PropagationTimes), millis(r.HealTimes)
		partitioned := (r.Hosts + 6) / 7
		figures[fmt.Sprintf("hosts-%d", r.Hosts)] = configFigures{
			P50:        quantile(0.5, propagated),
			P99:        quantile(0.99, propagated),
			Max:        quantile(1, propagated),
			Reached:    float64(len(propagated)) / float64((r.Changes+1)*(r.Hosts-partitioned)),
			HealedP99:  quantile(0.99, healed),
			Reverts:    r.Reverts,
			Messages:   r.Messages,
			Bytes:      r.Bytes,
			IdleBytes:  r.IdleBytes,
			TableReads: r.TableReads,
		}
	}
	return c.print(figures)
}
