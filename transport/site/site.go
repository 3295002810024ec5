// Package site assembles the process of an entry host that finds everything through the platform's store.
package site

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"github.com/dragonflyroute/dragonflyroute/coordination/again"
	"github.com/dragonflyroute/dragonflyroute/coordination/census"
	"github.com/dragonflyroute/dragonflyroute/coordination/choose"
	"github.com/dragonflyroute/dragonflyroute/coordination/crew"
	"github.com/dragonflyroute/dragonflyroute/coordination/follow"
	"github.com/dragonflyroute/dragonflyroute/coordination/leases"
	"github.com/dragonflyroute/dragonflyroute/coordination/pass"
	"github.com/dragonflyroute/dragonflyroute/coordination/polls"
	"github.com/dragonflyroute/dragonflyroute/coordination/ramp"
	"github.com/dragonflyroute/dragonflyroute/coordination/rates"
	"github.com/dragonflyroute/dragonflyroute/coordination/report"
	"github.com/dragonflyroute/dragonflyroute/coordination/spread"
	"github.com/dragonflyroute/dragonflyroute/coordination/tally"
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
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
	"github.com/dragonflyroute/dragonflyroute/state/depot"
	"github.com/dragonflyroute/dragonflyroute/state/fleet"
	"github.com/dragonflyroute/dragonflyroute/state/flow"
	"github.com/dragonflyroute/dragonflyroute/state/pace"
	"github.com/dragonflyroute/dragonflyroute/state/policy"
	"github.com/dragonflyroute/dragonflyroute/state/score"
	"github.com/dragonflyroute/dragonflyroute/state/speed"
	"github.com/dragonflyroute/dragonflyroute/state/usage"
	"github.com/dragonflyroute/dragonflyroute/transport/meter"
	"github.com/dragonflyroute/dragonflyroute/transport/peers"
	"github.com/dragonflyroute/dragonflyroute/transport/ticks"
)

// storeTable is one table of the platform's store.
type storeTable interface {
	Commit(ctx context.Context, t table.Txn) (int64, error)
	Read(ctx context.Context, key string) (record.Record, error)
	Snapshot(ctx context.Context) (rows []record.Record, version int64, err error)
	Changes(ctx context.Context, after int64, wait time.Duration) (rows []record.Record, version int64, err error)
}

// platformCalls are the platform calls that are one host's at a time.
type platformCalls interface {
	Usage(ctx context.Context, fence, window int64, counts map[acct.ID]int64) error
	Order(ctx context.Context, fence int64, backend label.Name, in centre.ID, n int, reclaimable bool) error
}

// Site is the process of one entry host.
//
// Prepare builds the parts that the adapters need; the exported fields up to there are set before it, the handlers
// after it and before Run.
type Site struct {
	// Host names the process's host, IP is its address and DataCentre where it stands.
	Host       host.ID
	IP         string
	DataCentre centre.ID
	// Capacity is the host's processor cores, at most 1.
	Capacity float64
	// Callers, Ready and Addresses are the listen addresses for requests, the platform's check and address answers.
	Callers, Ready, Addresses string
	// PeerPort and MetricsPort are ports for other entry hosts and for metrics.
	PeerPort, MetricsPort int
	// First tells that the whole system starts for the first time.
	First bool
	// Grace is the time from the order to stop to the kill.
	Grace time.Duration
	// RetryRatio and RetryExtra bound further arrivals at back ends.
	RetryRatio, RetryExtra float64
	// RateSlack is the excess over the accounts' rates that is tolerated once, over all hosts.
	RateSlack float64
	// RateWindow is the length of the window in which the accounts' rates hold.
	RateWindow time.Duration
	// LeaseTerm is the term of the duties' lease.
	LeaseTerm time.Duration
	// EndpointDrain is the time in which the last work must arrive at an endpoint that leaves.
	EndpointDrain time.Duration
	// ConfigApply is the time in which a change of the operator's configuration must be in force.
	ConfigApply time.Duration
	// EndpointHeartbeat is the time between an endpoint's reports.
	EndpointHeartbeat time.Duration
	// UsageWindow is the length of a window of the usage report, UsageLate when it is due after its end.
	UsageWindow, UsageLate time.Duration
	// Operator, Servers, Hosts, Leases, Counts and Status are the tables of the operator, the endpoints, the entry hosts
	// with the moves they make, the leases, the hosts' usage, and what the operator is told.
	Operator, Servers, Hosts, Leases, Counts, Status storeTable
	// ConfigKey is the operator's row that holds the configuration.
	ConfigKey string
	// Rules and Endpoint decode rows of the operator and of the endpoints.
	Rules    func(data []byte) (*rules.Rules, error)
	Endpoint func(id string, data []byte) (roster.Row, error)
	// IsMove, MoveAsked and MoveStatus know the operator's rows that ask for moves, and those that tell how far they are.
	IsMove     func(key string) bool
	MoveAsked  func(version int64, data []byte) (m move.Move, duration time.Duration, err error)
	MoveStatus func(m move.Move) (key string, value []byte, err error)
	// Duties makes the platform calls; nil when there are none.
	Duties platformCalls
	// ReportsUsage and OrdersEndpoints tell which duties there are.
	ReportsUsage, OrdersEndpoints bool
	// Log takes JSON lines.
	Log hclog.Logger

	// Front answers callers' requests, and Desk address questions and the platform's check.
	Front, Desk http.Handler

	// Policy, Depot, Pass, Rates, Choice and Meter are built by Prepare.
	Policy *policy.Policy
	Depot  *depot.Depot
	Pass   *pass.Pass
	Rates  *rates.Rates
	Choice *choose.Choice
	Meter  *meter.Meter

	// finalWindows is the newest window of which each host has written its final counts; the duties' part alone uses it.
	finalWindows map[host.ID]int64
	// endpointsRecovered is when the endpoints' table last answered again after an outage, in nanoseconds since 1970.
	endpointsRecovered atomic.Int64
	// demandLogged is when a line on a back end's demand was logged last.
	demandLogged map[label.Name]time.Time
	incarnation  int64
	fleet        *fleet.Fleet
	gossip       *spread.Spread
	peers        *peers.Peers
	syncer       *census.Census
	// tables reads or hears the platform's tables.
	tables map[string]*follow.Follow
	polls  *polls.Polls
	// peerUsage holds the usage of hosts for which this one reads.
	peerUsage usageBatch
	usage     *usage.Usage
	flow      *flow.Flow
	speed     *speed.Speed
	scaler    *crew.Crew
	leases    *leases.Leases
	report    *report.Report
	// hostCount is the number of hosts as it was a moment ago.
	hostCount atomic.Pointer[hostCount]
	// hostRows holds the rows of the entry hosts; only the reader of their table uses it.
	hostRows map[string]roster.Row
	// wasListed tells that the own row was there once, unlisted that it is missing since; goneSince is since when hosts are gone, which only the duties use.
	wasListed  bool
	rowMissing atomic.Bool
	downSince  map[host.ID]time.Time
	sequence   atomic.Int64
	inFlight   atomic.Int64
	// peerStats holds the figures that came with heartbeats.
	peerStats tally.Tally
	// ownTrials is this process's evidence on moves, told that of its peers; base is the evidence as of each back end's last
	// change of shares, and statuses the state last told for each move; only the duties use these two.
	ownTrials      *score.Score
	ramp           ramp.Ramp
	movesMu        sync.Mutex
	peerTrials     map[host.ID]map[string][]trial.Trial
	baseline       map[label.Name][]trial.Trial
	reportedStates map[string]string
	// reclaimSignal wakes the duties.
	reclaimSignal chan struct{}
	// killAt is the time of the kill in Unix nanoseconds, nought before the order to stop.
	killAt atomic.Int64
}

// Prepare builds the parts that do not depend on the adapters' handlers.
func (s *Site) Prepare() {
	s.incarnation = time.Now().UnixNano()
	s.Meter = meter.New()
	s.Policy = &policy.Policy{}
	s.Depot = &depot.Depot{}
	s.usage = &usage.Usage{Length: s.UsageWindow}
	s.flow = &flow.Flow{}
	s.speed = &speed.Speed{}
	s.ownTrials = &score.Score{}
	s.fleet = &fleet.Fleet{Self: s.Host, Timeout: silenceTimeout}
	s.Rates = &rates.Rates{Hosts: s.hosts, Slack: s.RateSlack, Window: s.RateWindow, Rand: rand.Float64, Started: time.Now()}
	s.Choice = &choose.Choice{Rand: rand.Float64, Speed: s.speed, Home: s.DataCentre, Hosts: s.hosts}
	s.Pass = &pass.Pass{
		Endpoints: s.Depot,
		Choice:    s.Choice,
		Retries:   &again.Again{Ratio: s.RetryRatio, Extra: s.RetryExtra, Hosts: s.hosts},
		Usage:     s.usage,
		Speed:     s.speed,
		Flow:      s.flow,
		Pace:      &pace.Pace{},
		Leaving:   s.Leaving,
		Now:       time.Now,
		Log:       s.Log,
	}
	s.reclaimSignal = make(chan struct{}, 1)
	s.syncer = &census.Census{Depot: s.Depot, Decode: s.Endpoint, Reclaimed: s.onReclaim, Now: time.Now, Log: s.Log}
	s.buildMoves()
	s.buildPeers()
	s.buildPolls()
	s.buildTables()
	s.buildLeaseHolder()
}

// hostCountTTL is for how long the number of hosts is kept; it is asked for several times for each request.
const hostCountTTL = 50 * time.Millisecond

// hosts returns the number of entry hosts known, this one included.
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

// Leaving reports whether the process is stopping, and the time left until it ends.
func (s *Site) Leaving() (leaving bool, left time.Duration) {
	at := s.killAt.Load()
	if at == 0 {
		return false, 0
	}
	return true, time.Until(time.Unix(0, at)) - exitLead
}

// IsReady reports whether the process takes requests.
func (s *Site) IsReady() bool {
	return s.killAt.Load() == 0 && s.Policy.Rules() != nil && len(s.Depot.All()) > 0
}

// Run serves until ctx ends, then stops within the grace time.
func (s *Site) Run(ctx context.Context) error {
	listeners, err := s.listen()
	if err != nil {
		return err
	}
	s.Log.Info("started", "host", s.Host, "incarnation", s.incarnation, "callers", s.Callers, "data-centre", s.DataCentre)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g run.Group
	add := func(part func(ctx context.Context) error) {
		g.Add(func() error { return part(background) }, func(error) { stop() })
	}
	server := s.requestServer()
	add(func(c context.Context) error { return serve(c, server, listeners.requests) })
	add(func(c context.Context) error { return serve(c, shortServer(s.Desk), listeners.ready) })
	add(func(c context.Context) error { return serve(c, shortServer(s.Desk), listeners.addresses) })
	add(func(c context.Context) error { return serve(c, shortServer(s.Meter.Handler()), listeners.metrics) })
	add(func(c context.Context) error { return s.peers.Serve(c, listeners.peers) })
	for _, t := range s.tables {
		add(t.Run)
	}
	add(s.pollLoop)
	add(s.gossipLoop)
	add(s.runLeaseHolder)
	add(s.writeUsage)
	add(ticks.Every(expiryInterval, func(context.Context) { s.syncer.Step() }))
	add(func(c context.Context) error {
		select {
		case <-ctx.Done():
			s.drain(c, server)
		case <-c.Done():
		}
		return nil
	})
	err = g.Run()
	s.peers.Close()
	s.Log.Info("stopped", "host", s.Host)
	return err
}

type listeners struct{ requests, ready, addresses, peers, metrics net.Listener }

func (s *Site) listen() (*listeners, error) {
	var l listeners
	for _, part := range []struct {
		name, address string
		to            *net.Listener
	}{
		{"callers", s.Callers, &l.requests},
		{"ready", s.Ready, &l.ready},
		{"addresses", s.Addresses, &l.addresses},
		{"peers", s.peerAddress(), &l.peers},
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

func (s *Site) peerAddress() string { return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)) }
