// Package config reads and checks the settings of one entry host process.
package config

import (
	"net"
	"strings"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/period"
	"github.com/dragonflyroute/dragonflyroute/protocol/strict"
)

type listen struct {
	// Callers is the IP address and port for callers and operators.
	Callers string `json:"callers"`
	// Peers is the IP address and port for other entry hosts.
	Peers string `json:"peers"`
}

type bounds struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `json:"body-bytes"`
	// MaxHeaderBytes is the maximum size of a request's headers.
	MaxHeaderBytes int `json:"header-bytes"`
	// MaxConnections is the maximum number of concurrent connections from callers.
	MaxConnections int `json:"connections"`
	// WriteBuffer is the size of the kernel's send buffer for each caller, in bytes.
	WriteBuffer int `json:"write-buffer-bytes"`
	// ReadTimeout is the maximum time to read a request.
	ReadTimeout period.Period `json:"read-timeout"`
	// WriteTimeout is the maximum time that a caller may take to read one event.
	WriteTimeout period.Period `json:"write-timeout"`
	// SubsetSize is the maximum number of endpoints that the process uses for each back end and version.
	SubsetSize int `json:"subset"`
}

type intervals struct {
	// Heartbeat is the time between heartbeats to peers.
	Heartbeat period.Period `json:"heartbeat"`
	// HostListRead is the time between reads of the platform's list of hosts.
	HostListRead period.Period `json:"host-list"`
	// LoadRead is the time between reads of an endpoint's load.
	LoadRead period.Period `json:"load"`
	// TableRead is the mean time between reads of the catalogue's head row.
	TableRead period.Period `json:"table-read"`
	// LeaseTerm is the time from a renewal of a lease until other hosts may acquire it.
	LeaseTerm period.Period `json:"lease-term"`
	// MoveStep is the time between evaluations of a move's outcome counts.
	MoveStep period.Period `json:"move-step"`
	// MaxCatalogueAge is the maximum age of a catalogue that is not confirmed; beyond it, new requests are refused.
	MaxCatalogueAge period.Period `json:"config-age"`
	// AddressTTL is how long callers may cache the addresses of their entry hosts.
	AddressTTL period.Period `json:"keep-answer"`
	// DrainTimeout is the maximum time of a graceful stop.
	DrainTimeout period.Period `json:"drain"`
	// PlatformTimeout is the timeout of one request to the platform.
	PlatformTimeout period.Period `json:"platform-timeout"`
}

type trace struct {
	// OTLP is the URL of an OTLP/HTTP collector, empty for none.
	OTLP string `json:"otlp,omitempty"`
	// File is the path of a JSON-lines file, empty for none.
	File string `json:"file,omitempty"`
	// SampleRate is the fraction of new traces that is recorded, 0 to 1.
	SampleRate float64 `json:"sample"`
}

// Settings holds the settings that one entry host reads at its start.
type Settings struct {
	// Host is the id of the entry host.
	Host host.ID `json:"host"`
	// DataCentre is the host's data centre.
	DataCentre centre.ID `json:"data-centre"`
	// Listen holds the addresses that the process serves on.
	Listen listen `json:"listen"`
	// Platform is the base URL of the platform's services.
	Platform string `json:"platform"`
	// MaxEntryHosts is the maximum number of concurrent entry hosts; account limits are divided by it.
	MaxEntryHosts int `json:"entry-hosts"`
	// OperatorKey authenticates operators' requests.
	OperatorKey string `json:"operator-key"`
	// PeerSecret authenticates requests between entry hosts.
	PeerSecret string `json:"peer-secret"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `json:"log-level"`
	// Trace configures where spans are exported to.
	Trace trace `json:"trace"`
	// Bounds holds limits on requests, connections and endpoints.
	Bounds bounds `json:"bounds"`
	// Intervals holds periods and timeouts.
	Intervals intervals `json:"intervals"`
}

const (
	minKeyBytes = 16
	// minWriteBufferBytes leaves room for a few events.
	minWriteBufferBytes = 4 << 10
	// minLeaseTerm is several times the time that a lease holder takes to collect reports before it acts.
	minLeaseTerm = time.Second
)

// Default returns settings with the default of every optional value.
func Default() *Settings {
	return &Settings{
		MaxEntryHosts: 7,
		LogLevel:      "info",
		Trace:         trace{SampleRate: 1},
		Bounds: bounds{
			MaxBodyBytes:   1 << 20,
			MaxHeaderBytes: 16 << 10,
			MaxConnections: 4096,
			WriteBuffer:    64 << 10,
			ReadTimeout:    period.Period(10 * time.Second),
			WriteTimeout:   period.Period(10 * time.Second),
			SubsetSize:     32,
		},
		Intervals: intervals{
			Heartbeat:       period.Period(500 * time.Millisecond),
			HostListRead:    period.Period(time.Second),
			LoadRead:        period.Period(250 * time.Millisecond),
			TableRead:       period.Period(2 * time.Second),
			LeaseTerm:       period.Period(5 * time.Second),
			MoveStep:        period.Period(500 * time.Millisecond),
			MaxCatalogueAge: period.Period(30 * time.Second),
			AddressTTL:      period.Period(5 * time.Second),
			DrainTimeout:    period.Period(20 * time.Second),
			PlatformTimeout: period.Period(2 * time.Second),
		},
	}
}

// Parse decodes settings over the defaults and checks them. It returns every fault found; unknown fields and duplicate
// keys are faults.
func Parse(data []byte) (*Settings, []error) {
	s := Default()
	if err := strict.Decode(data, s); err != nil {
		return nil, []error{err}
	}
	if faults := s.Check(); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// Check returns every fault of the settings, each a *fault.Error with the field's path.
func (s *Settings) Check() []error {
	var faults []error
	require := func(ok bool, field, format string, args ...any) {
		if !ok {
			faults = append(faults, fault.New(kind.BadRequest, field, format, args...))
		}
	}
	require(label.Name(s.Host).Valid(), "host", "%q is not a kebab-case name", s.Host)
	require(label.Name(s.DataCentre).Valid(), "data-centre", "%q is not a kebab-case name", s.DataCentre)
	require(isHostPort(s.Listen.Callers), "listen.callers", "%q is not an IP address and port", s.Listen.Callers)
	require(isHostPort(s.Listen.Peers), "listen.peers", "%q is not an IP address and port", s.Listen.Peers)
	require(strings.HasPrefix(s.Platform, "http://") || strings.HasPrefix(s.Platform, "https://"), "platform", "%q is not an HTTP URL", s.Platform)
	require(s.MaxEntryHosts > 0, "entry-hosts", "must be above 0")
	require(len(s.OperatorKey) >= minKeyBytes, "operator-key", "must have at least %d bytes", minKeyBytes)
	require(len(s.PeerSecret) >= minKeyBytes, "peer-secret", "must have at least %d bytes", minKeyBytes)
	require(isLogLevel(s.LogLevel), "log-level", "%q is not one of trace, debug, info, warn, error", s.LogLevel)
	require(s.Trace.SampleRate >= 0 && s.Trace.SampleRate <= 1, "trace.sample", "%g is outside 0 to 1", s.Trace.SampleRate)
	require(s.Bounds.MaxBodyBytes > 0, "bounds.body-bytes", "must be above 0")
	require(s.Bounds.MaxHeaderBytes > 0, "bounds.header-bytes", "must be above 0")
	require(s.Bounds.MaxConnections > 0, "bounds.connections", "must be above 0")
	require(s.Bounds.WriteBuffer >= minWriteBufferBytes, "bounds.write-buffer-bytes", "must be at least %d", minWriteBufferBytes)
	require(s.Bounds.SubsetSize > 0, "bounds.subset", "must be above 0")
	require(s.Intervals.LeaseTerm.Duration() >= minLeaseTerm, "intervals.lease-term", "must be at least %s", minLeaseTerm)
	for name, p := range s.periods() {
		require(p > 0, name, "must be above 0")
	}
	return faults
}

func (s *Settings) periods() map[string]period.Period {
	return map[string]period.Period{
		"bounds.read-timeout":        s.Bounds.ReadTimeout,
		"bounds.write-timeout":       s.Bounds.WriteTimeout,
		"intervals.heartbeat":        s.Intervals.Heartbeat,
		"intervals.host-list":        s.Intervals.HostListRead,
		"intervals.load":             s.Intervals.LoadRead,
		"intervals.table-read":       s.Intervals.TableRead,
		"intervals.lease-term":       s.Intervals.LeaseTerm,
		"intervals.move-step":        s.Intervals.MoveStep,
		"intervals.config-age":       s.Intervals.MaxCatalogueAge,
		"intervals.keep-answer":      s.Intervals.AddressTTL,
		"intervals.drain":            s.Intervals.DrainTimeout,
		"intervals.platform-timeout": s.Intervals.PlatformTimeout,
	}
}

func isHostPort(addr string) bool {
	ip, port, err := net.SplitHostPort(addr)
	return err == nil && port != "" && net.ParseIP(ip) != nil
}

func isLogLevel(level string) bool {
	switch level {
	case "trace", "debug", "info", "warn", "error":
		return true
	default:
		return false
	}
}
