package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/transport/caller"
)

const (
	maxLatencyMicros = 600_000_000
	histogramDigits  = 3
	loadMaxAttempts  = 10
	percent50        = 50
	percent99        = 99
)

type loadCmd struct {
	At        []string      `required:"" help:"Entry hosts."`
	Account   string        `required:"" help:"Account."`
	Entry     string        `required:"" help:"Catalogue entry."`
	Call      string        `help:"METHOD:PATH of a service entry; a model request without it."`
	Body      string        `help:"Body of the call."`
	Prompt    string        `default:"The family asks what the contract covers." help:"Prompt."`
	MaxTokens int           `default:"8" help:"Tokens of each answer."`
	Rate      float64       `default:"50" help:"Requests per second."`
	For       time.Duration `default:"5s" help:"Duration of the load."`
	JSON      bool          `name:"json" help:"Print only the JSON line."`
}

type loadReport struct {
	Sent       int            `json:"sent"`
	OK         int            `json:"ok"`
	Refused    map[string]int `json:"refused"`
	P50        float64        `json:"p50-ms"`
	P99        float64        `json:"p99-ms"`
	Resumed    int            `json:"resumed"`
	MaxLatency float64        `json:"worst-ms"`
}

type loadRun struct {
	cmd    *loadCmd
	caller *caller.Caller

	mu      sync.Mutex
	report  loadReport
	latency *hdrhistogram.Histogram
}

// Run sends requests at a fixed rate and prints their outcomes and latencies.
func (c *loadCmd) Run(ctx context.Context) error {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	l := &loadRun{
		cmd:     c,
		latency: hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
		caller:  &caller.Caller{Account: acct.ID(c.Account), Seeds: c.At, Client: &http.Client{Transport: transport}, NewID: rand.Text, MaxAttempts: loadMaxAttempts},
	}
	l.report.Refused = map[string]int{}
	l.send(ctx)
	l.report.P50 = float64(l.latency.ValueAtPercentile(percent50)) / 1000
	l.report.P99 = float64(l.latency.ValueAtPercentile(percent99)) / 1000
	l.report.MaxLatency = float64(l.latency.Max()) / 1000
	if !c.JSON {
		fmt.Printf("sent %d, ok %d, refused %v, p50 %.1f ms, p99 %.1f ms\n", l.report.Sent, l.report.OK, l.report.Refused, l.report.P50, l.report.P99)
	}
	return fault.Wrap(kind.Internal, json.NewEncoder(os.Stdout).Encode(l.report), "write report")
}

func (l *loadRun) send(ctx context.Context) {
	var g errgroup.Group
	interval := time.Duration(float64(time.Second) / l.cmd.Rate)
	started := time.Now()
	for n := 0; ; n++ {
		due := started.Add(time.Duration(n) * interval)
		if due.Sub(started) >= l.cmd.For || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		g.Go(func() error {
			l.sendOne(ctx, due)
			return nil
		})
	}
	_ = g.Wait()
}

func (l *loadRun) sendOne(ctx context.Context, due time.Time) {
	connections, err := l.request(ctx)
	took := time.Since(due)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Sent++
	if connections > 1 {
		l.report.Resumed++
	}
	if err != nil {
		l.report.Refused[fault.KindOf(err).String()]++
		return
	}
	l.report.OK++
	_ = l.latency.RecordValue(took.Microseconds())
}

func (l *loadRun) request(ctx context.Context) (int, error) {
	if l.cmd.Call == "" {
		return l.caller.Stream(ctx, label.Name(l.cmd.Entry), l.cmd.Prompt, l.cmd.MaxTokens, func(string) {})
	}
	method, path, _ := strings.Cut(l.cmd.Call, ":")
	status, _, err := l.caller.Call(ctx, label.Name(l.cmd.Entry), method, path, rand.Text(), []byte(l.cmd.Body))
	if err == nil && status >= http.StatusInternalServerError {
		err = fault.New(kind.Unavailable, "", "status %d", status)
	}
	return 1, err
}
