package main

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/assign"
	"github.com/dragonflyroute/dragonflyroute/coordination/elect"
	"github.com/dragonflyroute/dragonflyroute/coordination/judge"
	"github.com/dragonflyroute/dragonflyroute/coordination/leases"
	"github.com/dragonflyroute/dragonflyroute/coordination/mover"
	"github.com/dragonflyroute/dragonflyroute/coordination/plan"
	"github.com/dragonflyroute/dragonflyroute/coordination/provis"
	"github.com/dragonflyroute/dragonflyroute/coordination/ramp"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/guard"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/offer"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/scale"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
	"github.com/dragonflyroute/dragonflyroute/state/newest"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
)

type rolesCmd struct {
	output
}

type roleFigures struct {
	Micros    float64 `json:"us-per-step"`
	Kilobytes float64 `json:"kilobytes-allocated-per-step"`
}

// Run measures one step of the mover by number of entry hosts, one of the provisioner by number of data centres, and one
// computation of the engine orders by number of engines, without the network.
func (c *rolesCmd) Run() error {
	figures := map[string]any{}
	var moverFit, provisionerFit linearFit
	for _, n := range []int{7, 100, 300, 1100} {
		f := measureStep(newMover(n))
		figures[fmt.Sprintf("mover-%d-hosts", n)] = f
		moverFit.add(float64(n), f.Micros)
	}
	for _, n := range []int{1, 3, 5, 7} {
		f := measureStep(newProvisioner(n))
		figures[fmt.Sprintf("buyer-%d-data-centres", n)] = f
		provisionerFit.add(float64(n), f.Micros)
	}
	var ordersFit linearFit
	for _, n := range []int{10, 100, 1000, 5500} {
		f := measureStep(newEngineOrders(n))
		figures[fmt.Sprintf("orders-%d-engines", n)] = f
		ordersFit.add(float64(n), f.Micros)
	}
	figures["orders-us-by-engines"] = ordersFit.fit()
	figures["mover-us-by-hosts"] = moverFit.fit()
	figures["buyer-us-by-data-centres"] = provisionerFit.fit()
	return c.print(figures)
}

// measureStep benchmarks one step.
func measureStep(step func(ctx context.Context)) roleFigures {
	r := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			step(context.Background())
		}
	})
	return roleFigures{Micros: perOp(r) / 1000, Kilobytes: float64(r.AllocedBytesPerOp()) / 1024}
}

// fakeTable is an in-memory table without faults or delay.
type fakeTable map[string]record.Record

// Read returns one row.
func (r fakeTable) Read(_ context.Context, key string) (record.Record, error) { return r[key], nil }

// Commit applies the writes of a transaction.
func (r fakeTable) Commit(_ context.Context, t table.Txn) (int64, error) {
	for _, w := range t.Writes {
		r[w.Key] = record.Record{Key: w.Key, Value: w.Value, Version: r[w.Key].Version + 1}
	}
	return 1, nil
}

func newLeases() *leases.Leases {
	return &leases.Leases{Log: hclog.NewNullLogger(), New: func(key string) *elect.Elector {
		return &elect.Elector{Store: fakeTable{}, Key: key, Self: "entry", Incarnation: 1, Term: time.Minute, Now: time.Now, NewID: func() string { return "id" }}
	}}
}

const (
	routesPerHost  = 4
	trialsPerRoute = 1000
)

// fleetTrials holds the trials of many hosts and ignores the steps of moves.
type fleetTrials map[string][]trial.Trial

// Trials returns the trials by entry host.
func (f fleetTrials) Trials(context.Context, string) map[string][]trial.Trial {
	out := make(map[string][]trial.Trial, len(f)+1)
	for h, trials := range f {
		out[h] = trials
	}
	return out
}

// StepMove does nothing.
func (f fleetTrials) StepMove(context.Context, string, int64, func(m *move.Move)) (move.Move, error) {
	return move.Move{}, nil
}

// Head returns an empty catalogue.
func (f fleetTrials) Head(context.Context) (*catlog.Catalogue, error) {
	return &catlog.Catalogue{}, nil
}

// newMover returns the step of a mover that reads the trials of the given number of hosts.
func newMover(hosts int) func(ctx context.Context) {
	trialsByHost := fleetTrials{}
	for i := range hosts {
		var trials []trial.Trial
		for r := range routesPerHost {
			trials = append(trials, trial.Trial{Route: fmt.Sprint("route-", r), Old: trialsPerRoute, OldBad: 20, New: trialsPerRoute, NewBad: 30})
		}
		trialsByHost[fmt.Sprint("10.0.0.", i)] = trials
	}
	catalogue := &newest.Catalogue{}
	now := time.Now()
	catalogue.Offer(&catlog.Catalogue{Revision: 1, Moves: []move.Move{{ID: "m", Entry: "e", From: "v1", To: "v2", State: move.Ramping, Started: now, FinishBy: now.Add(time.Hour)}}})
	m := &mover.Mover{
		Catalogue: catalogue,
		Trials:    &trials.Trials{},
		Edits:     trialsByHost,
		Peers:     trialsByHost,
		Ramp:      ramp.Ramp{Judge: judge.Judge{Alpha: 0.001, Margin: 0.02}, Exposure: 0.02},
		Leases:    newLeases(),
		Now:       time.Now,
		Log:       hclog.NewNullLogger(),
	}
	return m.Step
}

// newEngineOrders returns a function that computes the orders for engines in the middle of a move, without sending them.
func newEngineOrders(engines int) func(ctx context.Context) {
	c := &catlog.Catalogue{
		Entries: []entry.Entry{{Name: "e", Backend: "b", Version: "v1", EngineOrders: guard.Fenced}},
		Moves:   []move.Move{{ID: "m", Entry: "e", From: "v1", To: "v2", State: move.Ramping, Share: 0.2}},
	}
	var rows []roster.Row
	for i := range engines {
		rows = append(rows, roster.Row{ID: endpt.ID(fmt.Sprint("e", i)), Backend: "b", Version: "v1", State: roster.Live, DataCentre: centre.ID(fmt.Sprint("dc-", i%7))})
	}
	a := assign.Assign{MaxLoading: 4}
	return func(context.Context) { a.Orders(c, rows) }
}

// fakeCloud offers hosts for backendCount back ends in as many data centres as its value.
type fakeCloud int

const backendCount = 4

// Offers returns one offer for each back end and data centre.
func (c fakeCloud) Offers(context.Context) ([]offer.Offer, error) {
	var out []offer.Offer
	for b := range backendCount {
		for i := range int(c) {
			out = append(out, offer.Offer{DataCentre: centre.ID(fmt.Sprint("dc-", i)), Backend: label.Name(fmt.Sprint("b-", b)), ReclaimablePrice: int64(5 + i), OnDemandPrice: 18, Live: 100})
		}
	}
	return out, nil
}

// SetDesired accepts the order and does nothing.
func (c fakeCloud) SetDesired(context.Context, scale.Desired) error { return nil }

// Demand returns the demand of each back end as a number of fully utilised hosts.
func (c fakeCloud) Demand(label.Name) float64 { return 500 }

// newProvisioner returns the step of a provisioner for the given number of data centres.
func newProvisioner(centres int) func(ctx context.Context) {
	cloud := fakeCloud(centres)
	p := &provis.Provisioner{Cloud: cloud, Demand: cloud, Plan: plan.Plan{TargetUtilisation: 0.7, SpareHosts: 1, MaxStarting: 4}, Leases: newLeases(), ScaleDownDelay: time.Minute, Now: time.Now, Log: hclog.NewNullLogger()}
	return p.Step
}
