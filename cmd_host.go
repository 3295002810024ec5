package main

import (
	"context"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/dragonflyroute/dragonflyroute/platform/codec"
	"github.com/dragonflyroute/dragonflyroute/platform/conf"
	"github.com/dragonflyroute/dragonflyroute/platform/desk"
	"github.com/dragonflyroute/dragonflyroute/platform/door"
	"github.com/dragonflyroute/dragonflyroute/platform/duty"
	"github.com/dragonflyroute/dragonflyroute/platform/send"
	"github.com/dragonflyroute/dragonflyroute/platform/store"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/transport/dial"
	"github.com/dragonflyroute/dragonflyroute/transport/outlog"
	"github.com/dragonflyroute/dragonflyroute/transport/site"
)

// The tables of the platform's store.
const (
	operatorTable = "op"
	serverTable   = "servers"
	hostTable     = "dragonflyroute-hosts"
	leaseTable    = "dragonflyroute-leases"
	usageTable    = "dragonflyroute-usage"
	statusTable   = "status"
)

const (
	// storeTimeout bounds a call to the platform that does not wait for changes.
	storeTimeout = time.Second
	// dutyCalls is the number of duty calls without an answer that fit into a lease's term: the lease must outlive them.
	dutyCalls = 6
	// idleCalls bounds the idle connections to the platform, and callHeaderBytes the headers of its answers.
	idleCalls       = 8
	callHeaderBytes = 64 << 10
	// memoryPart is the part of the memory limit from which the collector works harder.
	memoryPart = 0.7
	// bodyPart is the part of the memory limit that callers' bodies may take, and bodyRoom what they may take where the
	// settings have no limit, in bytes.
	bodyPart = 0.2
	bodyRoom = 64 << 20
	// keepAnswer is how long callers shall keep an address answer, where the platform's bound allows it.
	keepAnswer = 2 * time.Second
)

type hostArgs struct {
	Settings string `placeholder:"FILE" help:"Settings that the platform wrote; by default the file that it names in the environment."`
	LogLevel string `default:"info" help:"Least level of the lines to log."`
}

var hostCommand = command{name: "host", help: "Runs an entry host on the users' platform until it is told to stop.", args: &hostArgs{}}

// Run serves until the process is told to stop, then drains.
func (a *hostArgs) Run(ctx context.Context) error {
	cfg, err := a.read()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(memoryPart * float64(cfg.MemoryBytes)))
	out := outlog.New(os.Stdout)
	log := hclog.New(&hclog.LoggerOptions{Name: "dragonflyroute", Level: hclog.LevelFromString(a.LogLevel), JSONFormat: true, Output: out})
	s := newSite(cfg, log)
	var g errgroup.Group
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	g.Go(func() error { return out.Run(logCtx) })
	g.Go(func() error {
		defer stopLog()
		return s.Run(ctx)
	})
	return g.Wait()
}

func (a *hostArgs) read() (*conf.Conf, error) {
	file := a.Settings
	if file == "" {
		file = os.Getenv(conf.Variable)
	}
	if file == "" {
		file = conf.Path
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(kind.BadRequest, err, "settings")
	}
	return conf.Parse(data)
}

// newSite assembles the process from the settings and the platform's adapters.
func newSite(cfg *conf.Conf, log hclog.Logger) *site.Site {
	calls := &http.Transport{DialContext: dial.Context, DisableCompression: true, MaxIdleConnsPerHost: idleCalls, MaxResponseHeaderBytes: callHeaderBytes}
	orders := calls.Clone()
	orders.DialContext = dial.Dropping
	s := settledSite(cfg, log)
	rows := func(table string) *store.Store {
		return &store.Store{Address: cfg.Store, Table: table, Transport: calls, Timeout: storeTimeout}
	}
	s.Operator = rows(operatorTable)
	s.Servers = rows(serverTable)
	s.Hosts = rows(hostTable)
	s.Leases = rows(leaseTable)
	s.Counts = rows(usageTable)
	s.Status = rows(statusTable)
	s.ConfigKey = codec.ConfigKey
	s.IsMove = codec.IsMove
	s.MoveAsked = codec.Move
	s.MoveStatus = codec.Status
	s.Rules = codec.Rules
	s.Endpoint = codec.Endpoint
	if cfg.Cloud != "" {
		s.Duties = &duty.Duty{Address: cfg.Cloud, Self: cfg.Host, Holds: s.HoldsDuties, Transport: orders, Timeout: min(storeTimeout, cfg.LeaseTerm/dutyCalls)}
	}
	s.Prepare()
	s.Desk = &desk.Desk{Addresses: s.EntryAddresses, Keep: min(keepAnswer, cfg.KeepAnswer), Ready: s.IsReady, Log: log}
	s.Front = &door.Door{
		Policy:  s.Policy,
		Rates:   s.Rates,
		Backend: s.Choice.PickBackend,
		Pass:    s.Pass,
		Send:    send.New(),
		Room:    semaphore.NewWeighted(roomForBodies(cfg)),
		Leaving: s.Leaving,
		Count:   s.Meter.Answer,
		Now:     time.Now,
		Log:     log,
	}
	return s
}

// roomForBodies returns the bytes that callers' bodies may take.
func roomForBodies(cfg *conf.Conf) int64 {
	if cfg.MemoryBytes <= 0 {
		return bodyRoom
	}
	return int64(bodyPart * float64(cfg.MemoryBytes))
}

// settledSite returns a process with its settings, without what reaches the platform.
func settledSite(cfg *conf.Conf, log hclog.Logger) *site.Site {
	return &site.Site{
		Host:              cfg.Host,
		IP:                cfg.IP,
		DataCentre:        cfg.DataCentre,
		Capacity:          cfg.Capacity,
		Callers:           cfg.Callers,
		Ready:             cfg.Ready,
		Addresses:         cfg.Addresses,
		PeerPort:          cfg.PeerPort,
		MetricsPort:       cfg.MetricsPort,
		First:             cfg.First,
		Grace:             cfg.Grace,
		RetryRatio:        cfg.RetryRatio,
		RetryExtra:        cfg.RetryExtra,
		RateSlack:         cfg.RateSlack,
		RateWindow:        cfg.RateWindow,
		LeaseTerm:         cfg.LeaseTerm,
		UsageWindow:       cfg.UsageWindow,
		UsageLate:         cfg.UsageLate,
		EndpointDrain:     cfg.EndpointDrain,
		ConfigApply:       cfg.ConfigApply,
		EndpointHeartbeat: cfg.EndpointHeartbeat,
		ReportsUsage:      cfg.ReportsUsage,
		OrdersEndpoints:   cfg.OrdersEndpoints,
		Log:               log,
	}
}
