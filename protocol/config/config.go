// Package config holds the settings of one process.
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
	// Callers is the IP number and port for callers and operators.
	Callers string `json:"callers"`
	// Peers is the IP number and port for other entry hosts.
	Peers string `json:"peers"`
}

type bounds struct {
	// BodyBytes bounds a request's body.
	BodyBytes int64 `json:"body-bytes"`
	// HeaderBytes bounds a request's headers.
	HeaderBytes int `json:"header-bytes"`
	// Connections bounds the callers' connections at one time.
	Connections int `json:"connections"`
	// WriteBuffer bounds what waits unread in the kernel for each caller, in bytes.
	WriteBuffer int `json:"write-buffer-bytes"`
	// ReadTimeout bounds the time to read a request.
	ReadTimeout period.Period `json:"read-timeout"`
	// WriteTimeout bounds the time that a caller may take to read one event.
	WriteTimeout period.Period `json:"write-timeout"`
	// Subset bounds the endpoints that the process works with, for each back end and version.
	Subset int `json:"subset"`
}

type intervals struct {
	// Heartbeat is the time between heartbeats to peers.
	Heartbeat period.Period `json:"heartbeat"`
	// HostList is the time between reads of the platform's list.
	HostList period.Period `json:"host-list"`
	// Load is the time between reads of an endpoint's load.
	Load period.Period `json:"load"`
	// TableRead is the mean time between reads of the catalogue's head row.
	TableRead period.Period `json:"table-read"`
	// LeaseTerm is the term of a lease.
	LeaseTerm period.Period `json:"lease-term"`
	// MoveStep is the time between looks at a move's evidence.
	MoveStep period.Period `json:"move-step"`
	// ConfigAge bounds the age of an unconfirmed catalogue before new work is refused.
	ConfigAge period.Period `json:"config-age"`
	// KeepAnswer is how long callers may keep an address answer.
	KeepAnswer period.Period `json:"keep-answer"`
	// Drain bounds a graceful stop.
	Drain period.Period `json:"drain"`
	// PlatformTimeout bounds one request to the platform.
	PlatformTimeout period.Period `json:"platform-timeout"`
}

type trace struct {
	// OTLP is the URL of an OTLP/HTTP collector, empty for none.
	OTLP string `json:"otlp,omitempty"`
	// File is the path of a JSON-lines file, empty for none.
	File string `json:"file,omitempty"`
	// Sample is the part of new traces that is kept, 0 to 1.
	Sample float64 `json:"sample"`
}

// Settings is all that one entry host is told at its start.
type Settings struct {
	// Host names the process's host.
	Host host.ID `json:"host"`
	// DataCentre is where the host stands.
	DataCentre centre.ID `json:"data-centre"`
	// Listen holds the addresses that the process serves on.
	Listen listen `json:"listen"`
	// Platform is the base URL of the platform's services.
	Platform string `json:"platform"`
	// EntryHosts bounds the entry hosts at one time; account limits are divided by it.
	EntryHosts int `json:"entry-hosts"`
	// OperatorKey opens the operators' calls.
	OperatorKey string `json:"operator-key"`
	// PeerSecret opens the entry hosts' own protocol.
	PeerSecret string `json:"peer-secret"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `json:"log-level"`
	// Trace says where spans go.
	Trace trace `json:"trace"`
	// Bounds holds the process's bounds on input.
	Bounds bounds `json:"bounds"`
	// Intervals holds the process's periods and timeouts.
	Intervals intervals `json:"intervals"`
}

const (
	minKeyBytes = 16
	// minWriteBuffer holds a few events, in bytes.
	minWriteBuffer = 4 << 10
	// minLeaseTerm is several times what a holder needs to gather evidence before it acts.
	minLeaseTerm = time.Second
)

// Default returns settings with every optional value set.
func Default() *Settings {
	return &Settings{
		EntryHosts: 7,
		LogLevel:   "info",
		Trace:      trace{Sample: 1},
		Bounds: bounds{
			BodyBytes:    1 << 20,
			HeaderBytes:  16 << 10,
			Connections:  4096,
			WriteBuffer:  64 << 10,
			ReadTimeout:  period.Period(10 * time.Second),
			WriteTimeout: period.Period(10 * time.Second),
			Subset:       32,
		},
		Intervals: intervals{
			Heartbeat:       period.Period(500 * time.Millisecond),
			HostList:        period.Period(time.Second),
			Load:            period.Period(250 * time.Millisecond),
			TableRead:       period.Period(2 * time.Second),
			LeaseTerm:       period.Period(5 * time.Second),
			MoveStep:        period.Period(500 * time.Millisecond),
			ConfigAge:       period.Period(30 * time.Second),
			KeepAnswer:      period.Period(5 * time.Second),
			Drain:           period.Period(20 * time.Second),
			PlatformTimeout: period.Period(2 * time.Second),
		},
	}
}

// Parse reads settings strictly over the defaults and returns every fault found.
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

// Check returns every fault of the settings.
func (s *Settings) Check() []error {
	var faults []error
	require := func(ok bool, field, format string, args ...any) {
		if !ok {
			faults = append(faults, fault.New(kind.BadRequest, field, format, args...))
		}
	}
	require(label.Name(s.Host).Valid(), "host", "%q is not a kebab-case name", s.Host)
	require(label.Name(s.DataCentre).Valid(), "data-centre", "%q is not a kebab-case name", s.DataCentre)
	require(address(s.Listen.Callers), "listen.callers", "%q is not an IP number and port", s.Listen.Callers)
	require(address(s.Listen.Peers), "listen.peers", "%q is not an IP number and port", s.Listen.Peers)
	require(strings.HasPrefix(s.Platform, "http://") || strings.HasPrefix(s.Platform, "https://"), "platform", "%q is not an HTTP URL", s.Platform)
	require(s.EntryHosts > 0, "entry-hosts", "must be above 0")
	require(len(s.OperatorKey) >= minKeyBytes, "operator-key", "must have at least %d bytes", minKeyBytes)
	require(len(s.PeerSecret) >= minKeyBytes, "peer-secret", "must have at least %d bytes", minKeyBytes)
	require(knownLevel(s.LogLevel), "log-level", "%q is none of trace, debug, info, warn, error", s.LogLevel)
	require(s.Trace.Sample >= 0 && s.Trace.Sample <= 1, "trace.sample", "%g is outside 0 to 1", s.Trace.Sample)
	require(s.Bounds.BodyBytes > 0, "bounds.body-bytes", "must be above 0")
	require(s.Bounds.HeaderBytes > 0, "bounds.header-bytes", "must be above 0")
	require(s.Bounds.Connections > 0, "bounds.connections", "must be above 0")
	require(s.Bounds.WriteBuffer >= minWriteBuffer, "bounds.write-buffer-bytes", "must be at least %d", minWriteBuffer)
	require(s.Bounds.Subset > 0, "bounds.subset", "must be above 0")
	require(s.Intervals.LeaseTerm.Of() >= minLeaseTerm, "intervals.lease-term", "must be at least %s", minLeaseTerm)
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
		"intervals.host-list":        s.Intervals.HostList,
		"intervals.load":             s.Intervals.Load,
		"intervals.table-read":       s.Intervals.TableRead,
		"intervals.lease-term":       s.Intervals.LeaseTerm,
		"intervals.move-step":        s.Intervals.MoveStep,
		"intervals.config-age":       s.Intervals.ConfigAge,
		"intervals.keep-answer":      s.Intervals.KeepAnswer,
		"intervals.drain":            s.Intervals.Drain,
		"intervals.platform-timeout": s.Intervals.PlatformTimeout,
	}
}

func address(text string) bool {
	name, port, err := net.SplitHostPort(text)
	return err == nil && port != "" && net.ParseIP(name) != nil
}

func knownLevel(level string) bool {
	switch level {
	case "trace", "debug", "info", "warn", "error":
		return true
	default:
		return false
	}
}
