package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

type hopCmd struct {
	output
	Entry    string `required:"" help:"Entry host."`
	Engine   string `required:"" help:"Engine behind it."`
	PID      int    `name:"pid" required:"" help:"Process id of the entry host."`
	Requests int    `default:"2000" help:"Requests of each measurement."`
	Workers  int    `default:"4" help:"Concurrent requests."`
}

type hopFigures struct {
	EntryP50        float64 `json:"entry-p50-ms"`
	EntryP99        float64 `json:"entry-p99-ms"`
	DirectP50       float64 `json:"direct-p50-ms"`
	DirectP99       float64 `json:"direct-p99-ms"`
	RatioP50        float64 `json:"ratio-p50"`
	RatioP99        float64 `json:"ratio-p99"`
	CPUMicros       float64 `json:"entry-cpu-us-per-request"`
	RequestsPerCore float64 `json:"requests-per-second-per-core"`
}

var (
	// tokenCounts and streamCounts are the points of the linear fits.
	tokenCounts  = []int{1, 8, 16, 32, 64}
	streamCounts = []int{50, 100, 200, 400}
)

// Run measures non-streaming answers of one token and streams of several lengths, through the entry host and directly.
func (c *hopCmd) Run(ctx context.Context) error {
	nonStreaming, err := c.compare(ctx, 1, false)
	if err != nil {
		return err
	}
	figures := map[string]any{"whole-1-token": nonStreaming}
	cpu := linearFit{}
	for _, n := range tokenCounts {
		f, err := c.compare(ctx, n, true)
		if err != nil {
			return err
		}
		figures[fmt.Sprintf("stream-%d-tokens", n)] = f
		cpu.add(float64(n), f.CPUMicros)
	}
	memory := linearFit{}
	for _, n := range streamCounts {
		megabytes, err := c.residentMegabytes(ctx, n)
		if err != nil {
			return err
		}
		memory.add(float64(n), megabytes)
	}
	figures["cpu-us-by-tokens"] = cpu.fit()
	figures["megabytes-by-open-streams"] = memory.fit()
	return c.print(figures)
}

func (c *hopCmd) compare(ctx context.Context, tokens int, stream bool) (hopFigures, error) {
	var f hopFigures
	if _, err := c.latencies(ctx, c.Entry, "conseil-quick", tokens, stream); err != nil {
		return f, err
	}
	before, err := cpuTime(c.PID)
	if err != nil {
		return f, err
	}
	entry, err := c.latencies(ctx, c.Entry, "conseil-quick", tokens, stream)
	if err != nil {
		return f, err
	}
	after, err := cpuTime(c.PID)
	if err != nil {
		return f, err
	}
	direct, err := c.latencies(ctx, c.Engine, "v1", tokens, true)
	if err != nil {
		return f, err
	}
	f.EntryP50, f.EntryP99 = percentile(entry, 0.5), percentile(entry, 0.99)
	f.DirectP50, f.DirectP99 = percentile(direct, 0.5), percentile(direct, 0.99)
	f.RatioP50, f.RatioP99 = f.EntryP50/f.DirectP50, f.EntryP99/f.DirectP99
	f.CPUMicros = float64((after - before).Microseconds()) / float64(c.Requests)
	f.RequestsPerCore = 1e6 / f.CPUMicros
	return f, nil
}

// latencies sends the requests and returns their sorted latencies in milliseconds.
func (c *hopCmd) latencies(ctx context.Context, address, model string, tokens int, stream bool) ([]float64, error) {
	var mu sync.Mutex
	var durations []time.Duration
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Workers}}
	g, ctx := errgroup.WithContext(ctx)
	for range c.Workers {
		g.Go(func() error {
			for range c.Requests / c.Workers {
				started := time.Now()
				if err := post(ctx, client, address, model, tokens, stream, io.Discard); err != nil {
					return err
				}
				mu.Lock()
				durations = append(durations, time.Since(started))
				mu.Unlock()
			}
			return nil
		})
	}
	err := g.Wait()
	slices.Sort(durations)
	return millis(durations), err
}

func post(ctx context.Context, client *http.Client, address, model string, tokens int, stream bool, to io.Writer) error {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": "What does the contract cover?", "max_tokens": tokens, "stream": stream})
	if err != nil {
		return fault.Wrap(kind.Internal, err, "encode request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(kind.BadRequest, err, "build request")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Account", "mutuelle")
	resp, err := client.Do(r)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "request to %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fault.New(kind.Unavailable, "", "%s answered status %d", address, resp.StatusCode)
	}
	_, err = io.Copy(to, resp.Body)
	return fault.Wrap(kind.Unavailable, err, "read answer of %s", address)
}

// residentMegabytes returns the resident memory of the entry host in megabytes while a number of streams is open.
func (c *hopCmd) residentMegabytes(ctx context.Context, streams int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	for range streams {
		g.Go(func() error {
			_ = post(ctx, &http.Client{}, c.Entry, "contrat-long", longAnswerTokens, true, &slowWriter{ctx: ctx})
			return nil
		})
	}
	time.Sleep(streamSettleTime)
	resident, err := residentBytes(c.PID)
	cancel()
	_ = g.Wait()
	return float64(resident) / (1 << 20), err
}

const (
	longAnswerTokens = 1000
	streamSettleTime = 2 * time.Second
	writePause       = 200 * time.Millisecond
)

// slowWriter delays each write, so that the stream copied to it is read slowly and stays open.
type slowWriter struct{ ctx context.Context }

// Write discards data after writePause, or returns the error of the context if that ends first.
func (s *slowWriter) Write(data []byte) (int, error) {
	t := time.NewTimer(writePause)
	defer t.Stop()
	select {
	case <-t.C:
		return len(data), nil
	case <-s.ctx.Done():
		return 0, s.ctx.Err()
	}
}
