// Package meter counts what a process does.
package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

const reportInterval = time.Second

// Meter reports metrics in the Prometheus format. All methods may be called concurrently.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a running meter.
func New() *Meter {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "dragonflyroute",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return &Meter{scope: scope, closer: closer, reporter: reporter}
}

// Close stops reporting.
func (m *Meter) Close() error { return m.closer.Close() }

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Request records one ended request: outcome is "ok" or the name of a failure.
func (m *Meter) Request(entry label.Name, c class.Class, outcome string, took time.Duration) {
	s := m.scope.Tagged(map[string]string{"entry": string(entry), "class": c.String(), "outcome": outcome})
	s.Counter("requests_total").Inc(1)
	s.Histogram("request_seconds", tally.DefaultBuckets).RecordDuration(took)
}

// Answer records one answer to a caller: outcome is "ok", "broken" or the name of a failure.
func (m *Meter) Answer(outcome string, took time.Duration) {
	s := m.scope.Tagged(map[string]string{"outcome": outcome})
	s.Counter("answers_total").Inc(1)
	s.Histogram("answer_seconds", tally.DefaultBuckets).RecordDuration(took)
}

// Count adds to a counter.
func (m *Meter) Count(name string, n int64) { m.scope.Counter(name).Inc(n) }

// Gauge sets a gauge.
func (m *Meter) Gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }
