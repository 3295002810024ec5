package engine

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/state/server"
)

// vLLM's names of an engine's metrics.
const (
	runningMetric = "vllm:num_requests_running"
	waitingMetric = "vllm:num_requests_waiting"
	slotsMetric   = "vllm:max_num_seqs"
	tokenMetric   = "vllm:time_per_output_token_seconds"
	prefillMetric = "vllm:prefill_tokens_per_second"
	// maxMetricsBytes is the maximum size of a metrics response.
	maxMetricsBytes = 1 << 20
)

// ReadLoad reads an endpoint's load from its metrics and stores it in s.
func (c *Client) ReadLoad(ctx context.Context, s *server.Server) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Row().Address+"/metrics", nil)
	if err != nil {
		return fault.Wrap(kind.Internal, err, "read load of %s", s.Row().ID)
	}
	resp, err := c.Client.Do(r)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "read load of %s", s.Row().ID)
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	metrics, err := parser.TextToMetricFamilies(io.LimitReader(resp.Body, maxMetricsBytes))
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "decode load metrics of %s", s.Row().ID)
	}
	tokenTime := time.Duration(value(metrics[tokenMetric]) * float64(time.Second))
	slots := max(1, int(value(metrics[slotsMetric])))
	s.SetLoad(byClass(metrics[runningMetric]), byClass(metrics[waitingMetric]), slots, tokenTime, max(1, value(metrics[prefillMetric])))
	return nil
}

// value returns a family's first value, or 0 when the engine does not report it.
func value(f *dto.MetricFamily) float64 {
	if f == nil || len(f.GetMetric()) == 0 {
		return 0
	}
	return gauge(f.GetMetric()[0])
}

// gauge returns the value of a gauge or of an untyped metric.
func gauge(m *dto.Metric) float64 {
	if m.GetGauge() != nil {
		return m.GetGauge().GetValue()
	}
	return m.GetUntyped().GetValue()
}

// byClass sums a gauge by class, taken from its priority label; values without one count as class quick.
func byClass(f *dto.MetricFamily) (out [class.Call + 1]int) {
	for _, m := range f.GetMetric() {
		c := class.Quick
		for _, l := range m.GetLabel() {
			priority, err := strconv.Atoi(l.GetValue())
			if l.GetName() == "priority" && err == nil && priority > quickPriority {
				c = class.Long
			}
		}
		out[c] += int(gauge(m))
	}
	return out
}
