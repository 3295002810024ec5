// Package daemon assembles an entry host's process.
package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"github.com/dragonflyroute/dragonflyroute/coordination/batch"
	"github.com/dragonflyroute/dragonflyroute/coordination/edits"
	"github.com/dragonflyroute/dragonflyroute/coordination/gate"
	"github.com/dragonflyroute/dragonflyroute/coordination/leases"
	"github.com/dragonflyroute/dragonflyroute/coordination/loans"
	"github.com/dragonflyroute/dragonflyroute/coordination/mover"
	"github.com/dragonflyroute/dragonflyroute/coordination/once"
	"github.com/dragonflyroute/dragonflyroute/coordination/orders"
	"github.com/dragonflyroute/dragonflyroute/coordination/provis"
	"github.com/dragonflyroute/dragonflyroute/coordination/quota"
	"github.com/dragonflyroute/dragonflyroute/coordination/spread"
	"github.com/dragonflyroute/dragonflyroute/coordination/weight"
	"github.com/dragonflyroute/dragonflyroute/protocol/config"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/fleet"
	"github.com/dragonflyroute/dragonflyroute/state/newest"
	"github.com/dragonflyroute/dragonflyroute/state/pool"
	"github.com/dragonflyroute/dragonflyroute/state/runs"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
	"github.com/dragonflyroute/dragonflyroute/transport/engine"
	"github.com/dragonflyroute/dragonflyroute/transport/front"
	"github.com/dragonflyroute/dragonflyroute/transport/meter"
	"github.com/dragonflyroute/dragonflyroute/transport/peers"
	"github.com/dragonflyroute/dragonflyroute/transport/plat"
	"github.com/dragonflyroute/dragonflyroute/transport/spans"
	"github.com/dragonflyroute/dragonflyroute/transport/ticks"
)

const (
	// missedHeartbeats is the number of silent heartbeat periods after which a peer counts as dead.
	missedHeartbeats = 6
	// retryRatio and retryMax bound retries after failures.
	retryRatio = 0.2
	retryMax   = 20
	// maxHanded bounds the requests that peers may hand over.
	maxHanded = 4096
	// leaseSteps is how often a lease is renewed within its term.
	leaseSteps = 4
	// leaseTries is the number of processes that try to take one lease.
	leaseTries = 3
	// busyPart, spareHosts, maxStarting and idleTime shape the buying of hosts.
	busyPart    = 0.7
	spareHosts  = 1
	maxStarting = 4
	// orderFlight bounds one order to an engine.
	orderFlight = time.Second
	idleTime    = 5 * time.Minute
	// keptPeers bounds the connections to peers that stay open, a quarter of what a peer serves.
	keptPeers = 64
	// keptRevisions is the number of revisions in the catalogue's history, three days of 3,200 changes.
	keptRevisions = 10_000
	// loanTerm is how long a part of an account's limits is lent.
	loanTerm = 2 * time.Second
	// loanLooks is how often within its term a loan is looked at.
	loanLooks = 8
	// connectionsPerHost bounds the idle connections kept to one endpoint.
	connectionsPerHost = 64
)

// Daemon is the process of one entry host.
//
// The exported fields are set before Run.
type Daemon struct {
	// Settings are the process's settings.
	Settings *config.Settings
	// Log takes JSON lines.
	Log hclog.Logger

	incarnation int64
	start       time.Time
	platform    *plat.Plat
	batch       *batch.Batch
	engine      *engine.Engine
	peers       *peers.Peers
	front       *front.Front
	gate        *gate.Gate
	quota       *quota.Quota
	fleet       *fleet.Fleet
	holder      *newest.Catalogue
	pool        *pool.Pool
	runs        *runs.Runs
	score       *trials.Trials
	spread      *spread.Gossip
	ledger      *once.Ledger
	edits       *edits.Edits
	leases      *leases.Leases
	loans       *loans.Loans
	mover       *mover.Mover
	buyer       *provis.Provisioner
	orders      *orders.Orders
	// rows is the platform's list.
	rows   atomic.Pointer[[]roster.Row]
	meter  *meter.Meter
	spans  *spans.Spans
	heart  heart
	weight weight.Weight
	// loadTurn is the endpoint whose load is read next; only readLoads uses it.
	loadTurn int
	asked    askedFor
	wants    chan loan.Loan
}

// Run serves until ctx ends, then drains and returns.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", d.Settings.Listen.Callers)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "listen.callers")
	}
	inner, err := net.Listen("tcp", d.Settings.Listen.Peers)
	if err != nil {
		_ = callers.Close()
		return fault.Wrap(kind.Unavailable, err, "listen.peers")
	}
	if err := d.build(ctx); err != nil {
		return err
	}
	d.Log.Info("started", "host", d.Settings.Host, "incarnation", d.incarnation, "callers", callers.Addr().String(), "peers", inner.Addr().String())
	err = d.runAll(ctx, callers, inner)
	d.peers.Close()
	stop, cancel := context.WithTimeout(context.Background(), d.Settings.Intervals.PlatformTimeout.Of())
	defer cancel()
	_ = d.spans.Close(stop)
	_ = d.meter.Close()
	d.Log.Info("stopped", "host", d.Settings.Host)
	return err
}

// runAll runs every part until ctx ends and the drain is over.
func (d *Daemon) runAll(ctx context.Context, callers, inner net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g run.Group
	add := func(part func(ctx context.Context) error) {
		g.Add(func() error { return part(background) }, func(error) { stop() })
	}
	add(func(c context.Context) error { return d.front.Run(c, callers) })
	add(func(c context.Context) error { return d.peers.Serve(c, inner) })
	add(d.batch.Run)
	add(ticks.Every(d.Settings.Intervals.HostList.Of(), d.readHosts))
	add(ticks.Every(d.Settings.Intervals.Load.Of(), d.readLoads))
	add(d.rounds)
	add(ticks.Every(d.Settings.Intervals.MoveStep.Of(), d.mover.Step))
	add(ticks.Every(d.Settings.Intervals.LeaseTerm.Of()/leaseSteps, d.buyer.Step))
	add(ticks.Every(d.Settings.Intervals.LeaseTerm.Of()/leaseSteps, d.orders.Step))
	add(ticks.Every(d.Settings.Intervals.Heartbeat.Of(), d.reconcile))
	add(d.readTable)
	add(d.askAhead)
	add(ticks.Every(loanTerm/loanLooks, d.giveBack))
	add(d.tellChanges)
	add(func(c context.Context) error {
		select {
		case <-ctx.Done():
			d.drain(c)
		case <-c.Done():
		}
		return nil
	})
	return g.Run()
}
