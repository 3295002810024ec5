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

// Run measures one step of the mover by entry hosts, and one of the buyer by data centres,
// and one of the orders by engines, without the network.
func (c *rolesCmd) Run() error {
	figures := map[string]any{}
	var moverLine, buyerLine line
	for _, n := range []int{7, 100, 300, 1100} {
		f := measureStep(newMover(n))
		figures[fmt.Sprintf("mover-%d-hosts", n)] = f
		moverLine.add(float64(n), f.Micros)
	}
	for _, n := range []int{1, 3, 5, 7} {
		f := measureStep(newBuyer(n))
		figures[fmt.Sprintf("buyer-%d-data-centres", n)] = f
		buyerLine.add(float64(n), f.Micros)
	}
	var ordersLine line
	for _, n := range []int{10, 100, 1000, 5500} {
		f := measureStep(newOrders(n))
		figures[fmt.Sprintf("orders-%d-engines", n)] = f
		ordersLine.add(float64(n), f.Micros)
	}
	figures["orders-us-by-engines"] = ordersLine.fit()
	figures["mover-us-by-hosts"] = moverLine.fit()
	figures["buyer-us-by-data-centres"] = buyerLine.fit()
	return c.print(figures)
}

func measureStep(step func(ctx context.Context)) roleFigures {
	r := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			step(context.Background())
		}
	})
	return roleFigures{Micros: perOp(r) / 1000, Kilobytes: float64(r.AllocedBytesPerOp()) / 1024}
}

// rows is a table without failures or delay.
type rows map[string]record.Record

// Read returns one row.
func (r rows) Read(_ context.Context, key string) (record.Record, error) { return r[key], nil }

// Commit carries out a transaction.
func (r rows) Commit(_ context.Context, t table.Txn) (int64, error) {
	for _, w := range t.Writes {
		r[w.Key] = record.Record{Key: w.Key, Value: w.Value, Version: r[w.Key].Version + 1}
	}
	return 1, nil
}

func newLeases() *leases.Leases {
	return &leases.Leases{Log: hclog.NewNullLogger(), New: func(key string) *elect.Elector {
		return &elect.Elector{Store: rows{}, Key: key, Self: "entry", Incarnation: 1, Term: time.Minute, Now: time.Now, NewID: func() string { return "id" }}
	}}
}

const (
	roleRoutes = 4
	roleTrials = 1000
)

// fleetEvidence is the trials of many hosts; no step is ever taken on them.
type fleetEvidence map[string][]trial.Trial

// Trials returns the trials of all other entry hosts.
func (e fleetEvidence) Trials(context.Context, string) map[string][]trial.Trial {
	out := make(map[string][]trial.Trial, len(e)+1)
	for h, trials := range e {
		out[h] = trials
	}
	return out
}

// StepMove takes no step.
func (e fleetEvidence) StepMove(context.Context, string, int64, func(m *move.Move)) (move.Move, error) {
	return move.Move{}, nil
}

// Head returns an empty catalogue.
func (e fleetEvidence) Head(context.Context) (*catlog.Catalogue, error) {
	return &catlog.Catalogue{}, nil
}

func newMover(hosts int) func(ctx context.Context) {
	evidence := fleetEvidence{}
	for i := range hosts {
		var trials []trial.Trial
		for r := range roleRoutes {
			trials = append(trials, trial.Trial{Route: fmt.Sprint("route-", r), Old: roleTrials, OldBad: 20, New: roleTrials, NewBad: 30})
		}
		evidence[fmt.Sprint("10.0.0.", i)] = trials
	}
	h := &newest.Catalogue{}
	now := time.Now()
	h.Offer(&catlog.Catalogue{Revision: 1, Moves: []move.Move{{ID: "m", Entry: "e", From: "v1", To: "v2", State: move.Ramping, Started: now, FinishBy: now.Add(time.Hour)}}})
	m := &mover.Mover{
		Catalogue: h,
		Trials:    &trials.Trials{},
		Edits:     evidence,
		Peers:     evidence,
		Ramp:      ramp.Ramp{Judge: judge.Judge{Alpha: 0.001, Margin: 0.02}, Exposure: 0.02},
		Leases:    newLeases(),
		Now:       time.Now,
		Log:       hclog.NewNullLogger(),
	}
	return m.Step
}

// newOrders works out the duties of engines in the middle of a move, and sends none.
func newOrders(engines int) func(ctx context.Context) {
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

// stall offers hosts for a few back ends in a number of data centres.
type stall int

const roleBackends = 4

// Offers returns what the cloud offers.
func (m stall) Offers(context.Context) ([]offer.Offer, error) {
	var out []offer.Offer
	for b := range roleBackends {
		for i := range int(m) {
			out = append(out, offer.Offer{DataCentre: centre.ID(fmt.Sprint("dc-", i)), Backend: label.Name(fmt.Sprint("b-", b)), ReclaimablePrice: int64(5 + i), OnDemandPrice: 18, Live: 100})
		}
	}
	return out, nil
}

// SetDesired takes an order.
func (m stall) SetDesired(context.Context, scale.Desired) error { return nil }

// Demand returns the hosts' worth of busy slots.
func (m stall) Demand(label.Name) float64 { return 500 }

func newBuyer(centres int) func(ctx context.Context) {
	m := stall(centres)
	b := &provis.Provisioner{Cloud: m, Demand: m, Plan: plan.Plan{TargetUtilisation: 0.7, SpareHosts: 1, MaxStarting: 4}, Leases: newLeases(), ScaleDownDelay: time.Minute, Now: time.Now, Log: hclog.NewNullLogger()}
	return b.Step
}
