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
	"github.com/dragonflyroute/dragonflyroute/coordination/spread"
	"github.com/dragonflyroute/dragonflyroute/coordination/steer"
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
	"github.com/dragonflyroute/dragonflyroute/transport/engine"
	"github.com/dragonflyroute/dragonflyroute/transport/front"
	"github.com/dragonflyroute/dragonflyroute/transport/meter"
	"github.com/dragonflyroute/dragonflyroute/transport/peers"
	"github.com/dragonflyroute/dragonflyroute/transport/plat"
	"github.com/dragonflyroute/dragonflyroute/transport/spans"
)

func (d *Daemon) build(ctx context.Context) error {
	s := d.Settings
	d.start = time.Now()
	d.incarnation = d.start.UnixNano()
	d.spans = &spans.Spans{Host: string(s.Host), OTLP: s.Trace.OTLP, File: s.Trace.File, Sample: s.Trace.Sample}
	if err := d.spans.Open(ctx); err != nil {
		return err
	}
	d.meter = meter.New()
	transport := &http.Transport{MaxIdleConnsPerHost: connectionsPerHost, DisableCompression: true}
	d.platform = &plat.Plat{Base: s.Platform, Timeout: s.Intervals.PlatformTimeout.Of(), Client: &http.Client{Transport: transport}}
	d.batch = batch.New(d.platform)
	d.engine = &engine.Engine{Client: &http.Client{Transport: transport}}
	d.buildState()
	d.buildCoordination()
	d.buildBuyer()
	d.buildOrders()
	d.buildFront()
	return nil
}

func (d *Daemon) buildState() {
	s := d.Settings
	d.fleet = &fleet.Fleet{Self: s.Host, Timeout: missedHeartbeats * s.Intervals.Heartbeat.Of()}
	d.holder = &newest.Catalogue{}
	d.pool = &pool.Pool{Self: s.Host, Subset: s.Bounds.Subset}
	d.runs = &runs.Runs{TTL: s.Intervals.Drain.Of(), Max: maxHanded}
	d.score = &trials.Trials{}
	d.wants = make(chan loan.Loan, maxWanted)
	d.quota = &quota.Quota{Self: s.Host, Hosts: s.EntryHosts, Term: loanTerm, Started: d.start}
	d.gate = &gate.Gate{Share: d.quota.Share, Started: d.start}
	d.loans = &loans.Loans{Quota: d.quota, Gate: d.gate}
}

func (d *Daemon) buildCoordination() {
	s := d.Settings
	d.peers = &peers.Peers{Secret: s.PeerSecret, Service: &peerService{d}, Contacts: d.fleet.Contacts, Keep: keptPeers}
	d.edits = &edits.Edits{Store: d.batch, NewID: record.WriteID, Now: time.Now, HistoryLimit: keptRevisions}
	d.ledger = &once.Ledger{Store: d.batch, Self: s.Host, Incarnation: d.incarnation, NewID: record.WriteID, Dead: d.fleet.Dead}
	d.spread = &spread.Gossip{
		Peers:     d.peers,
		Table:     d.edits,
		Fleet:     d.fleet,
		Catalogue: d.holder,
		Trials:    d.score,
		Self:      d.pulse,
		Now:       time.Now,
		Rand:      mathrand.New(mathrand.NewPCG(uint64(d.incarnation), 0)),
		MaxAge:    s.Intervals.ConfigAge.Of(),

		RoundTimeout: s.Intervals.Heartbeat.Of(),
		Started:      d.start,
	}
	d.leases = &leases.Leases{New: d.lease, Candidate: d.tries, Log: d.Log}
	d.mover = &mover.Mover{
		Catalogue: d.holder,
		Trials:    d.score,
		Edits:     d.edits,
		Peers:     d.peers,
		Ramp:      ramp.Default(),
		Leases:    d.leases,
		Capacity:  d.room,
		Now:       time.Now,
		Log:       d.Log,
	}
}

func (d *Daemon) buildBuyer() {
	d.buyer = &provis.Provisioner{
		Cloud:          d.platform,
		Demand:         d.pool,
		Plan:           plan.Plan{TargetUtilisation: busyPart, SpareHosts: spareHosts, MaxStarting: maxStarting},
		Leases:         d.leases,
		ScaleDownDelay: idleTime,
		Now:            time.Now,
		Log:            d.Log,
	}
}

func (d *Daemon) buildOrders() {
	d.orders = &orders.Orders{
		Catalogue:   d.holder,
		Hosts:       d.listed,
		Leases:      d.leases,
		Engines:     d.engine,
		Assign:      assign.Assign{MaxLoading: maxStarting},
		CallTimeout: orderFlight,
		Now:         time.Now,
		Log:         d.Log,
	}
}

// listed returns the platform's list, as last read.
func (d *Daemon) listed() []roster.Row {
	if rows := d.rows.Load(); rows != nil {
		return *rows
	}
	return nil
}

// room returns the part of an entry's traffic that a version's endpoints can carry, all when they are not ours to order.
func (d *Daemon) room(name, version label.Name) float64 {
	c := d.holder.Current()
	e := c.Entry(name)
	if e == nil || e.EngineOrders == guard.None {
		return 1
	}
	return assign.CapacityShare(c, d.listed(), e, version)
}

// tries reports whether this process is one of the few that try to take a lease, so that the table's reads for it do
// not grow with the fleet.
func (d *Daemon) tries(key string) bool { return d.fleet.InTopRanks(key, leaseTries, time.Now()) }

func (d *Daemon) lease(key string) *elect.Elector {
	return &elect.Elector{
		Store:       d.batch,
		Key:         key,
		Self:        d.Settings.Host,
		Incarnation: d.incarnation,
		Term:        d.Settings.Intervals.LeaseTerm.Of(),
		Now:         time.Now,
		NewID:       record.WriteID,
	}
}

func (d *Daemon) buildFront() {
	picker := route.Picker{Rand: mathrand.Float64}
	st := &steer.Steer{Moves: d.score, Rand: mathrand.Float64}
	d.front = &front.Front{
		Settings:    d.Settings,
		Log:         d.Log,
		Meter:       d.meter,
		Catalogue:   d.holder,
		Fleet:       d.fleet,
		Pool:        d.pool,
		Runs:        d.runs,
		Trials:      d.score,
		Mover:       d.mover,
		Gate:        d.gate,
		Quota:       d.quota,
		Borrow:      d.borrow,
		BorrowAhead: d.wanted,
		Relay:       d.relay(st, picker),
		Ledger:      d.ledger,
		Gossip:      d.spread,
		Edits:       d.edits,
		Steer:       st,
		Picker:      picker,
		Self:        d.pulse,
		NewID:       record.WriteID,
		Now:         time.Now,
		Place:       place.Place{Shuffle: mathrand.Shuffle},
		HandOver:    d.handOver,
	}
}

func (d *Daemon) relay(st *steer.Steer, picker route.Picker) *relay.Relay {
	return &relay.Relay{
		Engine:    d.engine,
		Pool:      d.pool,
		Steer:     st,
		Trials:    d.mover,
		Retries:   &budget.Budget{Ratio: retryRatio, Max: func() float64 { return retryMax }},
		Catalogue: d.holder,
		Picker:    picker,
		Now:       time.Now,
		Trace:     traceAttempt,
	}
}

func traceAttempt(ctx context.Context, name string, attempt int, s *server.Server) (context.Context, func(err error)) {
	return spans.Start(ctx, name, attribute.Int("attempt", attempt), attribute.String("endpoint", string(s.Row().ID)))
}
