package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

type appCmd struct {
	Listen     string `required:"" help:"IP address and port."`
	Platform   string `required:"" help:"URL of the platform."`
	ID         string `required:"" help:"Name of the endpoint."`
	Backend    string `required:"" help:"Pool of the endpoint."`
	Version    string `default:"v1" help:"Version that the service runs."`
	DataCentre string `required:"" help:"Data centre."`
	Price      int64  `default:"50000" help:"Micro-euros per hour."`
}

// appFaults holds the injected faults, which are set over HTTP while the service runs.
type appFaults struct {
	// LoseAnswer closes the connection without a response after the call has taken effect.
	LoseAnswer bool `json:"lose-answer"`
	SlowMS     int  `json:"slow-ms"`
	// FailShare is the fraction of calls that fail with status 500 before taking effect.
	FailShare float64 `json:"fail-share"`
	// OnlyPath limits the failures to one request path; empty means all.
	OnlyPath string `json:"only-path"`
}

type instalment struct {
	Contract string `json:"contract"`
	Amount   int64  `json:"amount-cents"`
}

// app is a service that records instalments. It executes every call and never deduplicates by idempotency key, so that
// a call that is executed twice is visible in the balance and in runs.
type app struct {
	endpoint
	faults   appFaults
	balances map[string]int64
	// runs counts executions by idempotency key.
	runs     map[string]int
	requests int64
}

// Run serves the service until ctx ends.
func (c *appCmd) Run(ctx context.Context) error {
	a := &app{balances: map[string]int64{}, runs: map[string]int{}}
	a.platform = c.Platform
	a.row = roster.Row{
		ID:         endpt.ID(c.ID),
		Address:    c.Listen,
		Backend:    label.Name(c.Backend),
		Version:    label.Name(c.Version),
		DataCentre: centre.ID(c.DataCentre),
		State:      roster.Live,
		Price:      c.Price,
	}
	m := http.NewServeMux()
	for _, path := range []string{"/instalments", "/holds"} {
		m.HandleFunc("POST "+path, a.record)
	}
	for _, path := range []string{"/balance", "/seats"} {
		m.HandleFunc("GET "+path, a.getBalance)
	}
	m.HandleFunc("GET /runs", a.getRuns)
	m.HandleFunc("GET /stats", a.getStats)
	m.HandleFunc("POST /faults", a.setFaults)
	m.HandleFunc("POST /reclaim", a.reclaim)
	m.HandleFunc("GET /metrics", a.getMetrics)
	return serve(ctx, c.Listen, m, a.keepRegistered)
}

func (a *app) setFaults(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := read(r, &a.faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, a.faults)
}

func (a *app) record(w http.ResponseWriter, r *http.Request) {
	var q instalment
	if err := read(r, &q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if a.injectFault(w, r) {
		return
	}
	a.mu.Lock()
	f := a.faults
	a.balances[q.Contract] += q.Amount
	balance := a.balances[q.Contract]
	a.runs[r.Header.Get("Idempotency-Key")]++
	a.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	if f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "{\"contract\":%q,\"balance-cents\":%d}\n", q.Contract, balance)
}

// injectFault counts the request, answers it with status 500 if a fault applies, and reports whether it did.
func (a *app) injectFault(w http.ResponseWriter, r *http.Request) bool {
	a.mu.Lock()
	a.requests++
	share, only := a.faults.FailShare, a.faults.OnlyPath
	a.mu.Unlock()
	if only != "" && only != r.URL.Path {
		return false
	}
	if rand.Float64() >= share {
		return false
	}
	http.Error(w, "injected fault", http.StatusInternalServerError)
	return true
}

func (a *app) getBalance(w http.ResponseWriter, r *http.Request) {
	if a.injectFault(w, r) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	reply(w, map[string]int64{"balance-cents": a.balances[r.URL.Query().Get("contract")]})
}

func (a *app) getRuns(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	reply(w, a.runs)
}

func (a *app) getStats(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	reply(w, map[string]int64{"requests": a.requests})
}

func (a *app) getMetrics(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintf(w, "vllm:max_num_seqs %d\nvllm:prefill_tokens_per_second 1\n", 64)
}
