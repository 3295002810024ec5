package daemon

import (
	"context"
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/dragonflyroute/dragonflyroute/coordination/assign"
	"github.com/dragonflyroute/dragonflyroute/coordination/batch"
	"github.com/dragonflyroute/dragonflyroute/coordination/budget"
	"github.com/dragonflyroute/dragonflyroute/coordination/edits"
	"github.com/dragonflyroute/dragonflyroute/coordination/elect"
	"github.com/dragonflyroute/dragonflyroute/coordination/gate"
	"github.com/dragonflyroute/dragonflyroute/coordination/leases"
	"github.com/dragonflyroute/dragonflyroute/coordination/loans"
	"github.com/dragonflyroute/dragonflyroute/coordination/mover"
	"github.com/dragonflyroute/dragonflyroute/coordination/once"
	"github.com/dragonflyroute/dragonflyroute/coordination/orders"
	"github.com/dragonflyroute/dragonflyroute/coordination/place"
	"github.com/dragonflyroute/dragonflyroute/coordination/plan"
	"github.com/dragonflyroute/dragonflyroute/coordination/provis"
	"github.com/dragonflyroute/dragonflyroute/coordination/quota"
	"github.com/dragonflyroute/dragonflyroute/coordination/ramp"
	"github.com/dragonflyroute/dragonflyroute/coordination/relay"
	"github.com/dragonflyroute/dragonflyroute/coordination/route"
	"github.com/dragonflyroute/dragonflyroute/coordination/split"
	"github.com/dragonflyroute/dragonflyroute/coordination/spread"
	"github.com/dragonflyroute/dragonflyroute/protocol/guard"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/fleet"
	"github.com/dragonflyroute/dragonflyroute/state/newest"
	"github.com/dragonflyroute/dragonflyroute/state/pool"
	"github.com/dragonflyroute/dragonflyroute/state/runs"
	"github.com/dragonflyroute/dragonflyroute/state/server"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
	"github.com/dragonflyroute/dragonflyroute/transport/dial"
	"github.com/dragonflyroute/dragonflyroute/transport/engine"
	"github.com/dragonflyroute/dragonflyroute/transport/front"
	"github.com/dragonflyroute/dragonflyroute/transport/meter"
	"github.com/dragonflyroute/dragonflyroute/transport/peers"
	"github.com/dragonflyroute/dragonflyroute/transport/plat"
	"github.com/dragonflyroute/dragonflyroute/transport/spans"
	"github.com/dragonflyroute/dragonflyroute/transport/verify"
)

// build creates the process's components from its settings.
func (d *Daemon) build(ctx context.Context) error {
	s := d.Settings
	d.start = time.Now()
	d.incarnation = d.start.UnixNano()
	d.spans = &spans.Exporter{Host: string(s.Host), OTLP: s.Trace.OTLP, File: s.Trace.File, SampleRate: s.Trace.SampleRate}
	if err := d.spans.Open(ctx); err != nil {
		return err
	}
	d.meter = meter.New()
	transport := &verify.Transport{Base: &http.Transport{DialContext: dial.Context, MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}}
	d.platform = &plat.Client{Base: s.Platform, Timeout: s.Intervals.PlatformTimeout.Duration(), Client: &http.Client{Transport: transport}}
	d.batch = batch.New(d.platform)
	d.engine = &engine.Client{Client: &http.Client{Transport: transport}}
	d.buildState()
	d.buildCoordination()
	d.buildProvisioner()
	d.buildOrders()
	d.buildFront()
	return nil
}

func (d *Daemon) buildState() {
	s := d.Settings
	d.fleet = &fleet.Fleet{Self: s.Host, Timeout: missedHeartbeats * s.Intervals.Heartbeat.Duration()}
	d.catalogue = &newest.Catalogue{}
	d.pool = &pool.Pool{Self: s.Host, Subset: s.Bounds.SubsetSize}
	d.runs = &runs.Runs{TTL: s.Intervals.DrainTimeout.Duration(), Max: maxHandedOver}
	d.trials = &trials.Trials{}
	d.borrowQueue = make(chan loan.Loan, borrowQueueSize)
	d.quota = &quota.Quota{Self: s.Host, Hosts: s.MaxEntryHosts, Term: loanTerm, Started: d.start}
	d.gate = &gate.Gate{Share: d.quota.Share, Started: d.start}
	d.loans = &loans.Loans{Quota: d.quota, Gate: d.gate}
}

func (d *Daemon) buildCoordination() {
	s := d.Settings
	d.peers = &peers.Peers{Secret: s.PeerSecret, Service: &peerService{d}, Contacts: d.fleet.Contacts, MaxOpen: maxPeerConns}
	d.edits = &edits.Edits{Store: d.batch, NewID: record.NewWriteID, Now: time.Now, HistoryLimit: historyLimit}
	d.ledger = &once.Ledger{Store: d.batch, Self: s.Host, Incarnation: d.incarnation, NewID: record.NewWriteID, Dead: d.fleet.Dead}
	d.gossip = &spread.Gossip{
		Peers:     d.peers,
		Table:     d.edits,
		Fleet:     d.fleet,
		Catalogue: d.catalogue,
		Trials:    d.trials,
		Self:      d.nextHeartbeat,
		Now:       time.Now,
		Rand:      mathrand.New(mathrand.NewPCG(uint64(d.incarnation), 0)),
		MaxAge:    s.Intervals.MaxCatalogueAge.Duration(),

		RoundTimeout: s.Intervals.Heartbeat.Duration(),
		Started:      d.start,
	}
	d.leases = &leases.Leases{New: d.newElector, Candidate: d.isLeaseCandidate, Log: d.Log}
	d.mover = &mover.Mover{
		Catalogue: d.catalogue,
		Trials:    d.trials,
		Edits:     d.edits,
		Peers:     d.peers,
		Ramp:      ramp.Default(),
		Leases:    d.leases,
		Capacity:  d.capacityShare,
		Now:       time.Now,
		Log:       d.Log,
	}
}

func (d *Daemon) buildProvisioner() {
	d.provisioner = &provis.Provisioner{
		Cloud:          d.platform,
		Demand:         d.pool,
		Plan:           plan.Plan{TargetUtilisation: targetUtilisation, SpareHosts: spareHosts, MaxStarting: maxStarting},
		Leases:         d.leases,
		ScaleDownDelay: scaleDownDelay,
		Now:            time.Now,
		Log:            d.Log,
	}
}

func (d *Daemon) buildOrders() {
	d.orders = &orders.Orders{
		Catalogue:   d.catalogue,
		Hosts:       d.listedHosts,
		Leases:      d.leases,
		Engines:     d.engine,
		Assign:      assign.Assign{MaxLoading: maxStarting},
		CallTimeout: orderTimeout,
		Now:         time.Now,
		Log:         d.Log,
	}
}

// listedHosts returns the platform's host list as of the last successful read, or nil before it.
func (d *Daemon) listedHosts() []roster.Row {
	if rows := d.hostList.Load(); rows != nil {
		return *rows
	}
	return nil
}

// capacityShare returns the fraction of an entry's traffic that a version's endpoints have capacity for; it is 1 when
// versions are not assigned to the entry's engines by orders.
func (d *Daemon) capacityShare(name, version label.Name) float64 {
	c := d.catalogue.Current()
	e := c.Entry(name)
	if e == nil || e.EngineOrders == guard.None {
		return 1
	}
	return assign.CapacityShare(c, d.listedHosts(), e, version)
}

// isLeaseCandidate reports whether this process is one of the few that compete for a lease, so that the reads of a
// lease's row do not grow with the number of entry hosts.
func (d *Daemon) isLeaseCandidate(key string) bool {
	return d.fleet.InTopRanks(key, leaseCandidates, time.Now())
}

func (d *Daemon) newElector(key string) *elect.Elector {
	return &elect.Elector{
		Store:       d.batch,
		Key:         key,
		Self:        d.Settings.Host,
		Incarnation: d.incarnation,
		Term:        d.Settings.Intervals.LeaseTerm.Duration(),
		Now:         time.Now,
		NewID:       record.NewWriteID,
	}
}

func (d *Daemon) buildFront() {
	picker := route.Picker{Rand: mathrand.Float64}
	st := &split.Splitter{Moves: d.trials, Rand: mathrand.Float64}
	d.front = &front.Front{
		Settings:    d.Settings,
		Log:         d.Log,
		Meter:       d.meter,
		Catalogue:   d.catalogue,
		Fleet:       d.fleet,
		Pool:        d.pool,
		Runs:        d.runs,
		Trials:      d.trials,
		Mover:       d.mover,
		Gate:        d.gate,
		Quota:       d.quota,
		Borrow:      d.borrow,
		BorrowAhead: d.borrowAhead,
		Relay:       d.newRelay(st, picker),
		Ledger:      d.ledger,
		Gossip:      d.gossip,
		Edits:       d.edits,
		Splitter:    st,
		Picker:      picker,
		Self:        d.nextHeartbeat,
		NewID:       record.NewWriteID,
		Now:         time.Now,
		Place:       place.Place{Shuffle: mathrand.Shuffle},
		HandOver:    d.handOver,
	}
}

func (d *Daemon) newRelay(st *split.Splitter, picker route.Picker) *relay.Relay {
	return &relay.Relay{
		Engine:    d.engine,
		Pool:      d.pool,
		Splitter:  st,
		Trials:    d.mover,
		Retries:   &budget.Budget{Ratio: retryRatio, Max: func() float64 { return retryMax }},
		Catalogue: d.catalogue,
		Picker:    picker,
		Now:       time.Now,
		Trace:     traceAttempt,
	}
}

// traceAttempt starts the span of one attempt at an endpoint.
func traceAttempt(ctx context.Context, name string, attempt int, s *server.Server) (context.Context, func(err error)) {
	return spans.Start(ctx, name, attribute.Int("attempt", attempt), attribute.String("endpoint", string(s.Row().ID)))
}
