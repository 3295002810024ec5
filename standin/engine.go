package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

type engineCmd struct {
	Listen      string `required:"" help:"IP address and port."`
	Platform    string `required:"" help:"URL of the platform."`
	ID          string `required:"" help:"Name of the endpoint."`
	Backend     string `required:"" help:"Pool of the endpoint."`
	Version     string `default:"v1" help:"Version that the engine runs."`
	DataCentre  string `required:"" help:"Data centre."`
	Price       int64  `default:"400000" help:"Micro-euros per hour."`
	OnDemand    bool   `help:"Not reclaimable."`
	Slots       int    `default:"8" help:"Batch size."`
	TokenMS     int    `default:"10" help:"Milliseconds between tokens."`
	PrefillRate int    `default:"20000" help:"Prompt tokens per second."`
	LoadMS      int    `default:"2000" help:"Milliseconds to load another version."`
	Prefixes    int    `default:"256" help:"Capacity of the prefix cache."`
}

// engineFaults holds the injected faults, which are set over HTTP while the engine runs. Tests make a version bad by
// setting faults on the engines that run it.
type engineFaults struct {
	// FailShare is the fraction of requests that fail with status 500.
	FailShare float64 `json:"fail-share"`
	// SlowFactor multiplies the time between tokens; 0 means 1.
	SlowFactor float64 `json:"slow-factor"`
	// AfterRequests is the number of requests served before the faults take effect.
	AfterRequests int64 `json:"after-requests"`
	// MinRunning is the lowest number of running requests at which the faults take effect.
	MinRunning int `json:"from-running"`
	// BreakAfterTokens is the number of tokens after which each stream is aborted; 0 aborts none.
	BreakAfterTokens int `json:"break-after-tokens"`
	// LoadLagMS is the delay of the reported load in milliseconds.
	LoadLagMS int `json:"load-lag-ms"`
	// EventLagMS is the delay of the published cache events in milliseconds.
	EventLagMS int `json:"event-lag-ms"`
	// EventLoss is the fraction of the cache events that are dropped.
	EventLoss float64 `json:"event-loss"`
	// IgnoreFence makes the engine accept orders with stale fencing numbers.
	IgnoreFence bool `json:"ignore-fence"`
	// RefuseKV makes the engine ignore KV transfers and compute each prompt itself.
	RefuseKV bool `json:"refuse-kv"`
}

type engineStats struct {
	Requests        atomic.Int64
	Tokens          atomic.Int64
	PrefilledTokens atomic.Int64
	// AcceptedLeaving counts the requests accepted while the engine was leaving.
	AcceptedLeaving atomic.Int64
	KVFetched       atomic.Int64
	PrefixHits      atomic.Int64
	WeightLoads     atomic.Int64
	OrdersRefused   atomic.Int64
}

type engine struct {
	endpoint
	cmd    *engineCmd
	queue  queue
	faults atomic.Pointer[engineFaults]
	stats  engineStats
	cache  prefixCache
	// storedKV holds the ids of the requests whose KV cache the engine stores.
	storedKV sync.Map
	// fence is the highest fencing number of an order, guarded by mu.
	fence int64
	// loadHistory holds the load samples that LoadLagMS may still report, guarded by mu.
	loadHistory []loadSample
}

type generateRequest struct {
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Salt       string `json:"cache_salt"`
	Priority   int    `json:"priority"`
	KVTransfer *struct {
		Engine string `json:"remote_engine_id"`
		Host   string `json:"remote_host"`
		Port   string `json:"remote_port"`
	} `json:"kv_transfer_params"`
}

// Run serves the engine until ctx ends.
func (c *engineCmd) Run(ctx context.Context) error {
	e := &engine{cmd: c, queue: queue{slots: c.Slots}, cache: prefixCache{capacity: c.Prefixes}}
	e.queue.init()
	e.platform = c.Platform
	e.row = roster.Row{
		ID:          endpt.ID(c.ID),
		Address:     c.Listen,
		Backend:     label.Name(c.Backend),
		Version:     label.Name(c.Version),
		DataCentre:  centre.ID(c.DataCentre),
		State:       roster.Live,
		Price:       c.Price,
		Reclaimable: !c.OnDemand,
	}
	e.faults.Store(&engineFaults{})
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/completions", e.complete)
	m.HandleFunc("GET /metrics", e.getMetrics)
	m.HandleFunc("GET /kv-events", e.getCacheEvents)
	m.HandleFunc("POST /update_weights_from_disk", e.assign)
	m.HandleFunc("POST /reclaim", e.reclaim)
	m.HandleFunc("GET /kv/{id}", e.getKV)
	m.HandleFunc("POST /faults", e.setFaults)
	m.HandleFunc("GET /stats", e.getStats)
	return serve(ctx, c.Listen, m, e.keepRegistered)
}

func (e *engine) setFaults(w http.ResponseWriter, r *http.Request) {
	f := &engineFaults{}
	if err := read(r, f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.AfterRequests += e.stats.Requests.Load()
	e.faults.Store(f)
	reply(w, f)
}

func (e *engine) getStats(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	leaving := e.row.State == roster.Leaving
	e.mu.Unlock()
	reply(w, map[string]any{
		"requests":             e.stats.Requests.Load(),
		"tokens":               e.stats.Tokens.Load(),
		"prefilled":            e.stats.PrefilledTokens.Load(),
		"accepted-while-going": e.stats.AcceptedLeaving.Load(),
		"kv-fetched":           e.stats.KVFetched.Load(),
		"prefix-hits":          e.stats.PrefixHits.Load(),
		"loads":                e.stats.WeightLoads.Load(),
		"orders-refused":       e.stats.OrdersRefused.Load(),
		"leaving":              leaving,
	})
}

// activeFaults returns the faults in effect at the current load and number of requests.
func (e *engine) activeFaults() engineFaults {
	f := e.faults.Load()
	if e.stats.Requests.Load() <= f.AfterRequests || e.queue.running() < f.MinRunning {
		return engineFaults{}
	}
	return *f
}

func (e *engine) complete(w http.ResponseWriter, r *http.Request) {
	var q generateRequest
	if err := read(r, &q); err != nil || q.MaxTokens < 1 {
		http.Error(w, "malformed request, or max_tokens below 1", http.StatusBadRequest)
		return
	}
	e.stats.Requests.Add(1)
	e.mu.Lock()
	if e.row.State == roster.Leaving && time.Until(e.leaveAt) > 0 {
		e.stats.AcceptedLeaving.Add(1)
	}
	e.mu.Unlock()
	if rand.Float64() < e.activeFaults().FailShare {
		http.Error(w, "injected fault", http.StatusInternalServerError)
		return
	}
	if !e.queue.acquire(r.Context(), q.Priority) {
		return
	}
	defer e.queue.release(q.Priority)
	cached, ok := len(q.Prompt)/4, e.fetchKV(r.Context(), q)
	if !ok {
		cached, ok = e.prefill(r.Context(), q.Prompt, q.Salt)
	}
	if !ok {
		return
	}
	e.storedKV.Store(r.Header.Get("X-Request-Id"), true)
	w.Header().Set("Content-Type", "text/event-stream")
	e.generate(w, r, q, cached)
}

// fetchKV fetches the KV cache from the engine that the request names. It reports false if the request names none, if
// that engine no longer stores it, or if RefuseKV is set; the engine then computes the prompt itself.
func (e *engine) fetchKV(ctx context.Context, q generateRequest) bool {
	if q.KVTransfer == nil || e.faults.Load().RefuseKV {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+net.JoinHostPort(q.KVTransfer.Host, q.KVTransfer.Port)+"/kv/"+q.KVTransfer.Engine, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	e.stats.KVFetched.Add(1)
	return true
}

// getKV answers with status 200 if the engine stores the KV cache of the request, and with 404 if not.
func (e *engine) getKV(w http.ResponseWriter, r *http.Request) {
	if _, ok := e.storedKV.Load(r.PathValue("id")); !ok {
		http.NotFound(w, r)
		return
	}
	reply(w, struct{}{})
}

// prefill simulates computing the prompt and returns how many of its tokens were cached; ok is false when ctx ends first.
func (e *engine) prefill(ctx context.Context, text, salt string) (cached int, ok bool) {
	tokens := len(text) / 4
	if e.cache.use(salt+text[:min(len(text), 512)], salt, e.faults.Load()) {
		cached = tokens * 9 / 10
		e.stats.PrefixHits.Add(1)
	}
	tokens -= cached
	e.stats.PrefilledTokens.Add(int64(tokens))
	return cached, sleep(ctx, time.Duration(tokens)*time.Second/time.Duration(e.cmd.PrefillRate))
}

// generate streams the tokens of the answer. Each token is a hash of the text before it, so an answer resumed on another
// engine equals an uninterrupted one.
func (e *engine) generate(w http.ResponseWriter, r *http.Request, q generateRequest, cached int) {
	control := http.NewResponseController(w)
	h := fnv.New64a()
	_, _ = h.Write([]byte(q.Prompt))
	for i := range q.MaxTokens {
		if q.Priority > 0 && !e.queue.yield(r.Context(), q.Priority) {
			return
		}
		f := e.activeFaults()
		interval := time.Duration(e.cmd.TokenMS) * time.Millisecond
		if f.SlowFactor > 0 {
			interval = time.Duration(float64(interval) * f.SlowFactor)
		}
		if !sleep(r.Context(), interval) {
			return
		}
		if f.BreakAfterTokens > 0 && i >= f.BreakAfterTokens {
			panic(http.ErrAbortHandler)
		}
		token := fmt.Sprintf(" w%04x", h.Sum64()&0xffff)
		_, _ = h.Write([]byte(token))
		e.stats.Tokens.Add(1)
		data, _ := json.Marshal(map[string]any{"choices": []map[string]any{{"index": 0, "text": token}}})
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return
		}
		_ = control.Flush()
	}
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\ndata: [DONE]\n\n", cached)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
