// Package meter exports a process's metrics in the Prometheus format.
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

// reportInterval is the interval at which values reach the Prometheus reporter.
const reportInterval = time.Second

// Meter records metrics and serves them in the Prometheus format. All methods may be called concurrently.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a meter that reports until Close.
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

// Handler returns the HTTP handler that serves the metrics.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// RecordRequest records one completed request of an entry: outcome is "ok" or the name of a failure.
func (m *Meter) RecordRequest(entry label.Name, c class.Class, outcome string, took time.Duration) {
	s := m.scope.Tagged(map[string]string{"entry": string(entry), "class": c.String(), "outcome": outcome})
	s.Counter("requests_total").Inc(1)
	s.Histogram("request_seconds", tally.DefaultBuckets).RecordDuration(took)
}

// RecordAnswer records one response to a caller: outcome is "ok", "broken" or the name of a failure.
func (m *Meter) RecordAnswer(outcome string, took time.Duration) {
	s := m.scope.Tagged(map[string]string{"outcome": outcome})
	s.Counter("answers_total").Inc(1)
	s.Histogram("answer_seconds", tally.DefaultBuckets).RecordDuration(took)
}

// Count adds n to a counter.
func (m *Meter) Count(name string, n int64) { m.scope.Counter(name).Inc(n) }

// Gauge sets a gauge to value.
func (m *Meter) Gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }
