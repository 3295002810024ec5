// Package site assembles the process of an entry host that finds its configuration, endpoints and peers in the tables of
// the platform's store.
package site

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"github.com/dragonflyroute/dragonflyroute/coordination/choose"
	"github.com/dragonflyroute/dragonflyroute/coordination/leases"
	"github.com/dragonflyroute/dragonflyroute/coordination/ledger"
	"github.com/dragonflyroute/dragonflyroute/coordination/member"
	"github.com/dragonflyroute/dragonflyroute/coordination/moves"
	"github.com/dragonflyroute/dragonflyroute/coordination/pacer"
	"github.com/dragonflyroute/dragonflyroute/coordination/placer"
	"github.com/dragonflyroute/dragonflyroute/coordination/poison"
	"github.com/dragonflyroute/dragonflyroute/coordination/polls"
	"github.com/dragonflyroute/dragonflyroute/coordination/proxy"
	"github.com/dragonflyroute/dragonflyroute/coordination/rates"
	"github.com/dragonflyroute/dragonflyroute/coordination/report"
	"github.com/dragonflyroute/dragonflyroute/coordination/retry"
	"github.com/dragonflyroute/dragonflyroute/coordination/scaler"
	"github.com/dragonflyroute/dragonflyroute/coordination/spread"
	"github.com/dragonflyroute/dragonflyroute/coordination/swap"
	"github.com/dragonflyroute/dragonflyroute/coordination/syncer"
	"github.com/dragonflyroute/dragonflyroute/coordination/tally"
	"github.com/dragonflyroute/dragonflyroute/coordination/warmer"
	"github.com/dragonflyroute/dragonflyroute/coordination/watch"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/rules"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
	"github.com/dragonflyroute/dragonflyroute/state/endreg"
	"github.com/dragonflyroute/dragonflyroute/state/fleet"
	"github.com/dragonflyroute/dragonflyroute/state/flow"
	"github.com/dragonflyroute/dragonflyroute/state/outbox"
	"github.com/dragonflyroute/dragonflyroute/state/policy"
	"github.com/dragonflyroute/dragonflyroute/state/speed"
	"github.com/dragonflyroute/dragonflyroute/state/timing"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
	"github.com/dragonflyroute/dragonflyroute/state/usage"
	"github.com/dragonflyroute/dragonflyroute/transport/idle"
	"github.com/dragonflyroute/dragonflyroute/transport/meter"
	"github.com/dragonflyroute/dragonflyroute/transport/peers"
	"github.com/dragonflyroute/dragonflyroute/transport/ticks"
)

// storeTable is one table of the platform's store.
type storeTable interface {
	Commit(ctx context.Context, t table.Txn) (int64, error)
	Read(ctx context.Context, key string) (record.Record, error)
	Snapshot(ctx context.Context) (rows []record.Record, version int64, err error)
	Changes(ctx context.Context, after int64, wait time.Duration) (rows []record.Record, version int64, arriving time.Duration, err error)
}

// platformCalls are the platform calls that only the holder of the fleet's lease may make.
type platformCalls interface {
	ReportUsage(ctx context.Context, fence, window int64, counts map[acct.ID]int64) error
	Scale(ctx context.Context, fence int64, backend label.Name, in centre.ID, n int, reclaimable bool) error
}

// Site is the process of one entry host.
//
// Set the exported fields down to Log, then call Prepare, which builds the parts that the handlers need. Set the two
// handlers after it and before Run.
type Site struct {
	// Host is the id of this host, IP its address and DataCentre its location.
	Host       host.ID
	IP         string
	DataCentre centre.ID
	// Capacity is the number of the host's processor cores, at most 1; peers use it as the host's weight.
	Capacity float64
	// CallerAddress, ReadyAddress and DirectoryAddress are the listen addresses for callers' requests, the platform's
	// readiness check and look-ups of entry host addresses.
	CallerAddress, ReadyAddress, DirectoryAddress string
	// PeerPort and MetricsPort are the ports on IP for other entry hosts and for metrics.
	PeerPort, MetricsPort int
	// AdvertisedPeerAddress is the address that other entry hosts connect to, empty for IP and PeerPort.
	AdvertisedPeerAddress string
	// NewSystem is true when the whole system starts for the first time, not only this process.
	NewSystem bool
	// Grace returns the grace period, from the order to stop to the kill.
	Grace func() time.Duration
	// MaxDescriptors returns the largest number of open descriptors of the process, 0 for no limit. It bounds the connections of
	// callers and others, so that descriptors are left for the process's own ones.
	MaxDescriptors func() int
	// Relieve ends a request whose body arrives slowest and reports whether there was one.
	Relieve func() bool
	// RetryRatio and RetryExtra set the retry budget of back ends: retries in proportion to requests, and a fixed number
	// more.
	RetryRatio, RetryExtra float64
	// RateSlack is the excess over the accounts' rate limits that is tolerated once, over all hosts.
	RateSlack float64
	// RateWindow is the length of the window over which the accounts' rate limits are measured.
	RateWindow time.Duration
	// LeaseTerm is the term of the lease under which one host reports usage, orders endpoints and steps moves.
	LeaseTerm time.Duration
	// EndpointDrain is the time after an endpoint starts draining within which the last request must arrive there.
	EndpointDrain time.Duration
	// ConfigApply is the time within which a change of the operator's configuration must take effect on every host.
	ConfigApply time.Duration
	// Contact is the time within which a host that reaches the store again must be up to date.
	Contact time.Duration
	// EndpointHeartbeat is the interval between an endpoint's heartbeats.
	EndpointHeartbeat time.Duration
	// UsageWindow is the length of a window of the usage report, UsageDeadline the time after its end when the report is
	// due.
	UsageWindow, UsageDeadline time.Duration
	// Operator, Endpoints, Hosts, Leases, HostUsage and Status are the tables of the operator's configuration, the
	// endpoints, the entry hosts and the state of moves, the leases, the usage that each host counted, and the status of
	// moves for the operator.
	Operator, Endpoints, Hosts, Leases, HostUsage, Status storeTable
	// ConfigKey is the key of the row that holds the configuration in the operator's table.
	ConfigKey string
	// DecodeConfig and DecodeEndpoint decode the operator's configuration and the row of an endpoint.
	DecodeConfig   func(data []byte) (*rules.Config, error)
	DecodeEndpoint func(id string, data []byte) (roster.Row, error)
	// EvacuatedCentre returns the data centre that a key of the operator's table evacuates while its row is there; ok is false
	// for another key.
	EvacuatedCentre func(key string) (in centre.ID, ok bool)
	// Evacuate is the time within which an evacuation must take effect on every host, 0 for ConfigApply.
	Evacuate time.Duration
	// IsMoveRequest reports whether a key of the operator's table belongs to a requested move, DecodeMove decodes such a
	// row, and EncodeMoveStatus returns the row that reports a move's status to the operator.
	IsMoveRequest    func(key string) bool
	DecodeMove       func(version int64, data []byte) (m move.Move, duration time.Duration, err error)
	EncodeMoveStatus func(m move.Move) (key string, value []byte, err error)
	// PlatformCalls makes the platform calls of the lease holder. It is nil when the platform has no such calls; then no
	// host tries to acquire the lease.
	PlatformCalls platformCalls
	// ReportsUsage and OrdersEndpoints select the platform calls that the lease holder makes.
	ReportsUsage, OrdersEndpoints bool
	// Log is the logger of the process.
	Log hclog.Logger

	// RequestHandler serves callers' requests, and DirectoryHandler look-ups of addresses and the platform's readiness
	// check.
	RequestHandler, DirectoryHandler http.Handler

	// Policy, Registry, Proxy, Rates, Balancer and Meter are built by Prepare.
	Policy   *policy.Policy
	Registry *endreg.Registry
	Proxy    *proxy.Proxy
	Rates    *rates.Rates
	Balancer *choose.Balancer
	Meter    *meter.Meter

	// finalWindows is the newest window of which each host has written its final counts. Only the goroutine of
	// runLeaseHolder uses it.
	finalWindows map[host.ID]int64
	// endpointsRecovered is when the endpoints' table last became reachable again after an outage, in Unix nanoseconds.
	endpointsRecovered atomic.Int64
	// demandLogged is when the demand of each back end was last logged.
	demandLogged map[label.Name]time.Time
	incarnation  int64
	// started is when the process began.
	started time.Time
	fleet   *fleet.Fleet
	gossip  *spread.Gossip
	peers   *peers.Peers
	syncer  *syncer.Syncer
	pacer   *pacer.Pacer
	ledger  *ledger.Ledger
	placer  *placer.Placer
	prompts *poison.Guard
	// tables holds the watchers of the platform's tables, which read them from the store or get them from peers.
	tables map[string]*watch.Watcher
	polls  *polls.Polls
	// peerUsage holds the usage of the hosts that poll this one for the tables.
	peerUsage outbox.Outbox[usageRow]
	usage     *usage.Usage
	flow      *flow.Flow
	speed     *speed.Speed
	scaler    *scaler.Scaler
	leases    *leases.Leases
	report    *report.Report
	// hostCount caches the number of hosts for hostCountTTL.
	hostCount atomic.Pointer[hostCount]
	// hostRows holds the rows of the entry hosts. Only the watcher of their table uses it.
	hostRows map[string]roster.Row
	// evacuated holds the data centres that the operator's table evacuates. Only the watcher of that table uses it.
	evacuated map[centre.ID]bool
	// rows writes the rows of the hosts' table but for the states of moves, and member those of the entry hosts.
	rows     *swap.Rows
	member   *member.Member
	sequence atomic.Int64
	inFlight atomic.Int64
	// peerStats holds the load statistics that came with peers' heartbeats.
	peerStats tally.Tally
	// ownTrials counts this process's trials of each move's versions, and moves steps the moves.
	ownTrials *trials.Trials
	moves     *moves.Moves
	// reclaimSignal makes runLeaseHolder scale without waiting for its next tick.
	reclaimSignal chan struct{}
	// idle closes callers' connections that wait for a request for too long, or that are too many.
	idle idle.Closer
	// killAt is the time of the kill in Unix nanoseconds, 0 before the order to stop.
	killAt atomic.Int64
	// exiting ends, by endRequests, when every request needs its final answer.
	exiting     context.Context
	endRequests context.CancelFunc
	// cutting ends, by cutStreams, when streams that have begun are cut off.
	cutting    context.Context
	cutStreams context.CancelFunc
}

// Prepare builds the parts that do not depend on the handlers.
func (s *Site) Prepare() {
	s.started = time.Now()
	s.incarnation = s.started.UnixNano()
	s.exiting, s.endRequests = context.WithCancel(context.Background())
	s.cutting, s.cutStreams = context.WithCancel(context.Background())
	s.Meter = meter.New()
	s.idle.Limit = s.idleLimit
	s.boundConnections(&s.idle, callerShare)
	s.Policy = &policy.Policy{}
	s.Registry = &endreg.Registry{Warmer: &warmer.Warmer{Self: s.Host, Listed: s.listedHosts, Policy: s.Policy, Now: time.Now}}
	s.Registry.InTouch = func(now time.Time) bool { return s.Proxy.InTouch(now) }
	s.usage = &usage.Usage{WindowLength: s.UsageWindow}
	s.flow = &flow.Flow{}
	s.speed = &speed.Speed{}
	s.ownTrials = &trials.Trials{Now: time.Now}
	s.fleet = &fleet.Fleet{Self: s.Host, Timeout: heartbeatTimeout}
	s.Rates = &rates.Rates{Hosts: s.hosts, Slack: s.RateSlack, Window: s.RateWindow, Rand: rand.Float64, Started: time.Now()}
	s.Balancer = &choose.Balancer{Rand: rand.Float64, Speed: s.speed, DataCentre: s.DataCentre, HostCount: s.hosts}
	s.ledger = &ledger.Ledger{Endpoints: s.Registry, Speed: s.speed, Rand: rand.Float64, Now: time.Now}
	s.placer = &placer.Placer{
		Self: s.Host, DataCentre: s.DataCentre, Enabled: func() bool { return s.Schedule().Large() }, Policy: s.Policy, Live: s.liveHosts, Ledger: s.ledger, Peers: exchange{s},
		Weight: s.accountWeight, Rand: rand.Float64, Now: time.Now, Count: s.Meter.Count, Log: s.Log,
	}
	s.Balancer.Placer = s.placer
	s.pacer = &pacer.Pacer{Self: s.Host, Live: s.liveHosts, Known: s.hosts, Endpoints: s.Registry, Peers: exchange{s}, Now: time.Now, Log: s.Log}
	s.buildPrompts()
	s.buildProxy()
	s.reclaimSignal = make(chan struct{}, 1)
	s.syncer = &syncer.Syncer{Registry: s.Registry, Decode: s.DecodeEndpoint, Expiry: expiryHeartbeats * s.EndpointHeartbeat, OnReclaim: s.onReclaim, Now: time.Now, Log: s.Log}
	s.buildMembers()
	s.buildMoves()
	s.buildPeers()
	s.buildPolls()
	s.buildTables()
	s.buildLeaseHolder()
}

// accountWeight returns an account's weight in a shortage of room, its rate limit in tokens per second; 0 if it has none.
func (s *Site) accountWeight(id acct.ID) float64 {
	if a := s.Policy.Named(id); a != nil && a.Tokens {
		return a.Rate
	}
	return 0
}

// buildProxy builds what runs requests, with the ends that a stop sets to them.
func (s *Site) buildProxy() {
	s.Proxy = &proxy.Proxy{
		Endpoints:   s.Registry,
		Permits:     s.pacer,
		Prompts:     s.prompts,
		Balancer:    s.Balancer,
		Retries:     &retry.Budgets{Ratio: s.RetryRatio, Extra: s.RetryExtra, Hosts: s.hosts},
		Usage:       s.usage,
		Speed:       s.speed,
		Flow:        s.flow,
		Durations:   &timing.Durations{},
		Draining:    s.Leaving,
		DrainPeriod: func() time.Duration { return s.Grace() - exitLead - answerLead },
		OnExit:      func(end func()) func() bool { return context.AfterFunc(s.exiting, end) },
		OnCut:       func(end func()) func() bool { return context.AfterFunc(s.cutting, end) },
		CutDelay:    answerLead - cutLead,
		LastPart:    func() time.Duration { return max(0, s.Grace()/lastPartFraction-exitLead-cutLead) },
		Now:         time.Now,
		Count:       s.Meter.Count,
		Log:         s.Log,
	}
}

// hostCountTTL is how long the number of hosts is cached, as each request needs it several times.
const hostCountTTL = 50 * time.Millisecond

// hosts returns the number of known entry hosts, including this one.
func (s *Site) hosts() int {
	now := time.Now()
	if c := s.hostCount.Load(); c != nil && now.Sub(c.at) < hostCountTTL {
		return c.n
	}
	n := 1 + len(s.fleet.Contacts())
	s.hostCount.Store(&hostCount{n: n, at: now})
	return n
}

type hostCount struct {
	n  int
	at time.Time
}

// Leaving reports whether the process is draining, and the time left until it ends its requests.
func (s *Site) Leaving() (leaving bool, left time.Duration) {
	at := s.killAt.Load()
	if at == 0 {
		return false, 0
	}
	return true, time.Until(time.Unix(0, at)) - exitLead - answerLead
}

// IsReady reports whether the process accepts requests: it has a configuration and an endpoint, knows which versions of
// endpoints were rolled back, and is not draining.
func (s *Site) IsReady() bool {
	return s.killAt.Load() == 0 && s.Policy.Rules() != nil && len(s.Registry.All()) > 0 && s.knowsVerdicts()
}

// Run serves until ctx ends, then drains within the grace period.
func (s *Site) Run(ctx context.Context) error {
	listeners, err := s.listen()
	if err != nil {
		return err
	}
	s.Log.Info("started", "host", s.Host, "incarnation", s.incarnation, "callers", s.CallerAddress, "data-centre", s.DataCentre)
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g run.Group
	add := func(task func(ctx context.Context) error) {
		g.Add(func() error { return task(taskCtx) }, func(error) { stop() })
	}
	server := s.requestServer()
	add(func(c context.Context) error { return serve(c, server, s.idle.Listener(listeners.requests)) })
	add(s.serveShort(s.DirectoryHandler, listeners.ready, checkShare))
	add(s.serveShort(s.DirectoryHandler, listeners.addresses, lookupShare))
	add(s.serveShort(s.internalHandler(), listeners.metrics, checkShare))
	add(func(c context.Context) error { return s.peers.Serve(c, listeners.peers) })
	for _, t := range s.tables {
		add(t.Run)
	}
	add(s.pollLoop)
	add(s.gossipLoop)
	add(s.runLeaseHolder)
	add(s.prompts.Run)
	add(s.placer.Run)
	add(s.writeUsage)
	add(ticks.Every(expiryInterval, func(context.Context) { s.syncer.Expire() }))
	add(ticks.Every(gaugeInterval, func(context.Context) { s.gaugeEndpoints() }))
	add(func(c context.Context) error {
		select {
		case <-ctx.Done():
			s.drain(c, listeners.requests)
		case <-c.Done():
		}
		return nil
	})
	err = g.Run()
	s.peers.Close()
	s.Log.Info("stopped", "host", s.Host)
	return err
}

// gaugeEndpoints updates the gauges of the endpoints that get fewer requests than others, or none.
func (s *Site) gaugeEndpoints() {
	now := time.Now()
	limited, coldOnes, evacuated := 0, 0, 0
	for _, t := range s.Registry.All() {
		if t.Limit.InForce() {
			limited++
		}
		if t.Warmup.Cold(now) {
			coldOnes++
		}
		if t.Evacuated() {
			evacuated++
		}
	}
	s.Meter.Gauge("limited_endpoints", float64(limited))
	s.Meter.Gauge("cold_endpoints", float64(coldOnes))
	s.Meter.Gauge("evacuated_endpoints", float64(evacuated))
	s.gaugeWork()
}

type listeners struct{ requests, ready, addresses, peers, metrics net.Listener }

func (s *Site) listen() (*listeners, error) {
	var l listeners
	for _, part := range []struct {
		name, address string
		to            *net.Listener
	}{
		{"callers", s.CallerAddress, &l.requests},
		{"ready", s.ReadyAddress, &l.ready},
		{"addresses", s.DirectoryAddress, &l.addresses},
		{"peers", net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)), &l.peers},
		{"metrics", net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort)), &l.metrics},
	} {
		listener, err := net.Listen("tcp", part.address)
		if err != nil {
			return nil, fault.Wrap(kind.Unavailable, err, "listen on %s for %s", part.address, part.name)
		}
		*part.to = listener
	}
	return &l, nil
}

// peerAddress returns the address that other entry hosts connect to.
func (s *Site) peerAddress() string {
	return cmp.Or(s.AdvertisedPeerAddress, net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)))
}
