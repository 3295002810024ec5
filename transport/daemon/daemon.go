// Package daemon assembles and runs the process of an entry host.
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
	// missedHeartbeats is the number of heartbeat periods without a message after which a peer is considered down.
	missedHeartbeats = 6
	// retryRatio and retryMax are the retry budget: retries per successful request, and the most that can accumulate.
	retryRatio = 0.2
	retryMax   = 20
	// maxHandedOver bounds the handed-over requests that wait for their callers to reconnect.
	maxHandedOver = 4096
	// renewalsPerTerm is how often the holder of a lease renews it within its term.
	renewalsPerTerm = 4
	// leaseCandidates is the number of processes that compete for one lease.
	leaseCandidates = 3
	// targetUtilisation, spareHosts, maxStarting and scaleDownDelay configure the autoscaling: the fraction of a host's
	// slots to use, the hosts kept beyond the demand, the hosts that may load weights at the same time, and how long the
	// demand must stay lower before hosts are released.
	targetUtilisation = 0.7
	spareHosts        = 1
	maxStarting       = 4
	// orderTimeout bounds one order to an engine to serve a version.
	orderTimeout   = time.Second
	scaleDownDelay = 5 * time.Minute
	// maxPeerConns bounds the connections to peers that stay open; it is a quarter of the connections that a peer
	// accepts.
	maxPeerConns = 64
	// historyLimit is the number of revisions in the catalogue's history: three days at 3,200 changes a day.
	historyLimit = 10_000
	// loanTerm is how long a share of an account's limits is lent.
	loanTerm = 2 * time.Second
	// loanChecksPerTerm is how often within its term a loan is checked for return.
	loanChecksPerTerm = 8
	// maxIdleConnsPerHost bounds the idle connections that are kept to one endpoint.
	maxIdleConnsPerHost = 64
)

// Daemon is the process of one entry host.
//
// The exported fields are set before Run.
type Daemon struct {
	// Settings are the process's settings.
	Settings *config.Settings
	// Log is the process's logger; it writes JSON lines.
	Log hclog.Logger

	incarnation int64
	start       time.Time
	platform    *plat.Client
	batch       *batch.Batch
	engine      *engine.Client
	peers       *peers.Peers
	front       *front.Front
	gate        *gate.Gate
	quota       *quota.Quota
	fleet       *fleet.Fleet
	catalogue   *newest.Catalogue
	pool        *pool.Pool
	runs        *runs.Runs
	trials      *trials.Trials
	gossip      *spread.Gossip
	ledger      *once.Ledger
	edits       *edits.Edits
	leases      *leases.Leases
	loans       *loans.Loans
	mover       *mover.Mover
	provisioner *provis.Provisioner
	orders      *orders.Orders
	// hostList is the platform's host list as of the last successful read.
	hostList  atomic.Pointer[[]roster.Row]
	meter     *meter.Meter
	spans     *spans.Exporter
	heartbeat heartbeatState
	weight    weight.Weight
	// loadIndex counts the endpoints considered by readLoads, for its round-robin order; only readLoads uses it.
	loadIndex     int
	borrowLimiter borrowLimiter
	borrowQueue   chan loan.Loan
}

// Run serves until ctx ends, then drains the process and returns.
func (d *Daemon) Run(ctx context.Context) error {
	callerListener, err := net.Listen("tcp", d.Settings.Listen.Callers)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "listen.callers")
	}
	peerListener, err := net.Listen("tcp", d.Settings.Listen.Peers)
	if err != nil {
		_ = callerListener.Close()
		return fault.Wrap(kind.Unavailable, err, "listen.peers")
	}
	if err := d.build(ctx); err != nil {
		return err
	}
	d.Log.Info("started", "host", d.Settings.Host, "incarnation", d.incarnation, "callers", callerListener.Addr().String(), "peers", peerListener.Addr().String())
	err = d.runAll(ctx, callerListener, peerListener)
	d.peers.Close()
	closeCtx, cancel := context.WithTimeout(context.Background(), d.Settings.Intervals.PlatformTimeout.Duration())
	defer cancel()
	_ = d.spans.Close(closeCtx)
	_ = d.meter.Close()
	d.Log.Info("stopped", "host", d.Settings.Host)
	return err
}

// runAll runs all tasks until ctx ends and the drain is complete, or until one task fails.
func (d *Daemon) runAll(ctx context.Context, callerListener, peerListener net.Listener) error {
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g run.Group
	add := func(task func(ctx context.Context) error) {
		g.Add(func() error { return task(taskCtx) }, func(error) { stop() })
	}
	add(func(c context.Context) error { return d.front.Run(c, callerListener) })
	add(func(c context.Context) error { return d.peers.Serve(c, peerListener) })
	add(d.batch.Run)
	add(ticks.Every(d.Settings.Intervals.HostListRead.Duration(), d.readHosts))
	add(ticks.Every(d.Settings.Intervals.LoadRead.Duration(), d.readLoads))
	add(d.gossipRounds)
	add(ticks.Every(d.Settings.Intervals.MoveStep.Duration(), d.mover.Step))
	add(ticks.Every(d.Settings.Intervals.LeaseTerm.Duration()/renewalsPerTerm, d.provisioner.Step))
	add(ticks.Every(d.Settings.Intervals.LeaseTerm.Duration()/renewalsPerTerm, d.orders.Step))
	add(ticks.Every(d.Settings.Intervals.Heartbeat.Duration(), d.reconcile))
	add(d.readTable)
	add(d.processBorrowQueue)
	add(ticks.Every(loanTerm/loanChecksPerTerm, d.returnLoans))
	add(d.gossipChanges)
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
