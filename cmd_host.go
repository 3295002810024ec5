package main

import (
	"cmp"
	"context"
	"net/http"
	"os"
	"runtime"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/platform/cloud"
	"github.com/dragonflyroute/dragonflyroute/platform/codec"
	"github.com/dragonflyroute/dragonflyroute/platform/conf"
	"github.com/dragonflyroute/dragonflyroute/platform/httpin"
	"github.com/dragonflyroute/dragonflyroute/platform/lookup"
	"github.com/dragonflyroute/dragonflyroute/platform/send"
	"github.com/dragonflyroute/dragonflyroute/platform/store"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/state/intake"
	"github.com/dragonflyroute/dragonflyroute/state/latest"
	"github.com/dragonflyroute/dragonflyroute/state/outage"
	"github.com/dragonflyroute/dragonflyroute/transport/dial"
	"github.com/dragonflyroute/dragonflyroute/transport/outlog"
	"github.com/dragonflyroute/dragonflyroute/transport/reload"
	"github.com/dragonflyroute/dragonflyroute/transport/site"
	"github.com/dragonflyroute/dragonflyroute/transport/verify"
)

// The names of the tables in the platform's store.
const (
	operatorTable = "op"
	endpointTable = "servers"
	hostTable     = "dragonflyroute-hosts"
	leaseTable    = "dragonflyroute-leases"
	usageTable    = "dragonflyroute-usage"
	statusTable   = "status"
)

const (
	// storeTimeout bounds a store call that is not a long poll.
	storeTimeout = time.Second
	// callsPerTerm is the number of cloud calls that can time out in a row within a lease's term, so that the lease
	// outlives them.
	callsPerTerm = 6
	// maxIdleConns bounds the idle connections to the platform, and maxResponseHeaderBytes the headers of its
	// responses.
	maxIdleConns           = 8
	maxResponseHeaderBytes = 64 << 10
)

type hostArgs struct {
	Settings string `placeholder:"FILE" help:"Settings written by the platform; by default the file named in the environment."`
	LogLevel string `default:"info" help:"Minimum log level."`
}

var hostCommand = command{name: "host", help: "Runs an entry host on the users' platform until it is stopped by a signal.", args: &hostArgs{}, serves: true}

// Run serves until ctx ends on SIGTERM or SIGINT, then drains. The log is written until the drain is complete. A signal on
// reloads makes it read the settings file again.
func (a *hostArgs) Run(ctx context.Context, reloads hangups) error {
	file := a.file()
	data, err := os.ReadFile(file)
	if err != nil {
		return fault.Wrap(kind.BadRequest, err, "read settings file")
	}
	cfg, err := conf.Parse(data)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	out := outlog.New(os.Stdout)
	log := hclog.New(&hclog.LoggerOptions{Name: "dragonflyroute", Level: hclog.LevelFromString(a.LogLevel), JSONFormat: true, Output: out})
	redirectStandardLog(log)
	current := newSettings(cfg, log)
	s := newSite(current, log)
	reloader := &reload.Reloader{Path: file, Data: data, Signals: reloads, Apply: current.apply, Log: log}
	var g errgroup.Group
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	g.Go(func() error { return out.Run(taskCtx) })
	g.Go(func() error { return reloader.Run(taskCtx) })
	g.Go(func() error {
		defer stop()
		return s.Run(ctx)
	})
	return g.Wait()
}

// file returns the path of the settings file: the flag, the environment variable or the default, in this order.
func (a *hostArgs) file() string {
	return cmp.Or(a.Settings, os.Getenv(conf.PathVariable), conf.DefaultPath)
}

// newSite creates the process from the settings and the platform's adapters.
func newSite(current *settings, log hclog.Logger) *site.Site {
	cfg := current.load()
	s := siteFromConfig(cfg, log)
	s.Grace = current.grace
	s.MaxDescriptors = current.maxDescriptors
	connectPlatform(s, cfg)
	s.Prepare()
	s.DirectoryHandler = &lookup.Handler{Addresses: s.EntryAddresses, TTL: current.addressTTL, Ready: s.IsReady, Log: log}
	bodies := &intake.Intake{Total: current.bodyMemory, Now: time.Now, Count: s.Meter.Count}
	s.Relieve = bodies.AbortSlowest
	sender := send.New()
	sender.Log = log
	s.RequestHandler = &httpin.Handler{
		Policy:        s.Policy,
		Rates:         s.Rates,
		PickBackend:   s.Balancer.PickBackend,
		Proxy:         s.Proxy,
		Sender:        sender,
		BodyMemory:    bodies,
		Draining:      s.Leaving,
		RecordOutcome: s.Meter.RecordAnswer,
		Now:           time.Now,
		Log:           log,
	}
	return s
}

// connectPlatform sets the clients of the platform and the decoders of its rows.
func connectPlatform(s *site.Site, cfg *conf.Conf) {
	transport := &http.Transport{DialContext: dial.Context, DisableCompression: true, MaxIdleConnsPerHost: maxIdleConns, MaxResponseHeaderBytes: maxResponseHeaderBytes}
	cloudTransport := transport.Clone()
	cloudTransport.DialContext = dial.ResetOnClose
	era, outages := &latest.Era{}, &outage.Detector{}
	verified := &verify.Transport{Base: transport}
	tableClient := func(table string) *store.Store {
		return &store.Store{Address: cfg.Store, Table: table, Transport: verified, Timeout: storeTimeout, Era: era, Outages: outages, Log: s.Log}
	}
	s.Operator = tableClient(operatorTable)
	s.Endpoints = tableClient(endpointTable)
	s.Hosts = tableClient(hostTable)
	s.Leases = tableClient(leaseTable)
	s.HostUsage = tableClient(usageTable)
	s.Status = tableClient(statusTable)
	s.ConfigKey = codec.ConfigKey
	s.IsMoveRequest = codec.IsMove
	s.EvacuatedCentre = codec.EvacuatedCentre
	s.DecodeMove = codec.Move
	s.EncodeMoveStatus = codec.Status
	s.DecodeConfig = codec.Config
	s.DecodeEndpoint = codec.Endpoint
	if cfg.Cloud != "" {
		s.PlatformCalls = &cloud.Client{Address: cfg.Cloud, Self: cfg.Host, HoldsLease: s.HoldsLease, Transport: &verify.Transport{Base: cloudTransport}, Timeout: min(storeTimeout, cfg.LeaseTerm/callsPerTerm)}
	}
}

// siteFromConfig returns a process with its settings, but without the clients of the platform.
func siteFromConfig(cfg *conf.Conf, log hclog.Logger) *site.Site {
	return &site.Site{
		Host:                  cfg.Host,
		IP:                    cfg.IP,
		DataCentre:            cfg.DataCentre,
		Capacity:              cfg.Cores,
		CallerAddress:         cfg.CallerAddress,
		ReadyAddress:          cfg.ReadyAddress,
		DirectoryAddress:      cfg.DirectoryAddress,
		PeerPort:              cfg.PeerPort,
		MetricsPort:           cfg.MetricsPort,
		AdvertisedPeerAddress: cfg.AdvertisedPeerAddress,
		NewSystem:             cfg.NewSystem,
		RetryRatio:            cfg.RetryRatio,
		RetryExtra:            cfg.RetryExtra,
		RateSlack:             cfg.RateSlack,
		RateWindow:            cfg.RateWindow,
		LeaseTerm:             cfg.LeaseTerm,
		UsageWindow:           cfg.UsageWindow,
		UsageDeadline:         cfg.UsageDeadline,
		EndpointDrain:         cfg.EndpointDrain,
		ConfigApply:           cfg.ConfigApply,
		Evacuate:              cfg.Evacuate,
		Contact:               cfg.Contact,
		EndpointHeartbeat:     cfg.EndpointHeartbeat,
		ReportsUsage:          cfg.ReportsUsage,
		OrdersEndpoints:       cfg.OrdersEndpoints,
		Log:                   log,
	}
}
