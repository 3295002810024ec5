package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// loadSample is the load at one time, as lines of Prometheus text.
type loadSample struct {
	at    time.Time
	lines string
}

func (e *engine) getMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = fmt.Fprint(w, e.delayedLoad(time.Duration(e.faults.Load().LoadLagMS)*time.Millisecond))
}

// delayedLoad samples the load and returns the newest sample that is at least as old as the lag, or the oldest one.
func (e *engine) delayedLoad(lag time.Duration) string {
	now := time.Now()
	lines := e.formatLoad()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadHistory = append(e.loadHistory, loadSample{at: now, lines: lines})
	for len(e.loadHistory) > 1 && now.Sub(e.loadHistory[1].at) >= lag {
		e.loadHistory = e.loadHistory[1:]
	}
	return e.loadHistory[0].lines
}

func (e *engine) formatLoad() string {
	b := strings.Builder{}
	for _, priority := range []int{0, 10} {
		running, _ := e.queue.count(priority)
		_, _ = fmt.Fprintf(&b, "vllm:num_requests_running{priority=\"%d\"} %d\n", priority, running)
	}
	for _, priority := range []int{0, 10} {
		_, waiting := e.queue.count(priority)
		_, _ = fmt.Fprintf(&b, "vllm:num_requests_waiting{priority=\"%d\"} %d\n", priority, waiting)
	}
	_, _ = fmt.Fprintf(&b, "vllm:max_num_seqs %d\n", e.cmd.Slots)
	_, _ = fmt.Fprintf(&b, "vllm:time_per_output_token_seconds %g\n", float64(e.cmd.TokenMS)/1000)
	_, _ = fmt.Fprintf(&b, "vllm:prefill_tokens_per_second %d\n", e.cmd.PrefillRate)
	return b.String()
}
