package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

const (
	percent = 100
	// retireIdle is the time without a stream after which an endpoint that drains ends.
	retireIdle = 3 * time.Second
	// slowAnswerDelay is the time that requests with a path ending in /slow take.
	slowAnswerDelay = 100 * time.Millisecond
	// heldAnswerDelay is the time that requests with a path ending in /held take, before the head of their answer, and that
	// streams with a path ending in /stuck pause after their first event.
	heldAnswerDelay = 20 * time.Second
	// defaultZone is the data centre of endpoints for which no other is given.
	defaultZone = "here"
)

type siteCmd struct {
	Listen    string `required:"" help:"Address of the store, the platform calls and the control calls."`
	Endpoints int    `default:"3" help:"Number of endpoints to simulate."`
	// Heartbeat is the interval at which an endpoint writes its row.
	Heartbeat time.Duration `default:"200ms" help:"Interval of the endpoints' heartbeats."`
	// Slots is the number of requests that the endpoints' rows say they run at once.
	Slots int `default:"8" help:"Slots of an endpoint."`
}

// siteServer simulates one endpoint of the users' platform.
type siteServer struct {
	site *sitePlatform
	id   string
	// listen is the address that it listens on (empty for a free port on loopback), and address the one in its row
	// (empty for the address that it listens on).
	listen, address string
	version         string
	// zone is the endpoint's data centre.
	zone string
	// failPercent is the percentage of requests that fail with status 500, counted over all endpoints of the version.
	failPercent int
	stop        context.CancelFunc
	// startMillis is its start time in Unix milliseconds.
	startMillis int64
	// ended is set once it was killed or has crashed, and draining once its row says that it leaves.
	ended, draining bool
	faults          siteFaults
	// coldUntil is the time until which it is cold.
	coldUntil time.Time
	// streaming counts the streams that it runs.
	streaming atomic.Int32
}

// sitePlatform simulates the users' platform: store, platform calls and endpoints.
type sitePlatform struct {
	store *rowStore
	// heartbeat is the interval at which an endpoint writes its row.
	heartbeat time.Duration
	// slots is the number of requests that the endpoints' rows say they run at once.
	slots int

	mu sync.Mutex
	// silentUntil is the time before which endpoints send no events of streams.
	silentUntil time.Time
	// drained holds the requests that arrived at an endpoint since it reported that it drains, by endpoint, with their times.
	drained map[string][]limitEvent

	servers map[string]*siteServer
	// versions counts executions by version, runs counts them by request, and reports holds the usage reports by window.
	versions map[string]int
	runs     map[string]int
	// arrivals counts requests by endpoint.
	arrivals map[string]int
	// limitEvents holds the changes of request limits and the requests that arrived after the first one, by endpoint.
	limitEvents map[string][]limitEvent
	reports     map[int64][]json.RawMessage
	// fence is the highest fencing number of an accepted usage report, and scaleFences that of the orders of endpoints by
	// service and data centre.
	fence       int64
	scaleFences map[string]int64
	// dutyCalls holds the calls that only the holder of the duties' lease makes.
	dutyCalls []dutyCall
	// crashingParts are the prompt parts that crash endpoints, and restartTime is how long they are down.
	crashingParts map[string]bool
	restartTime   time.Duration
	// killed holds the endpoints that do not start again.
	killed map[string]bool
	// crashEvents holds the arrivals of requests with a crashing part, and the crashes.
	crashEvents []crashEvent
	// streamRuns holds the runs of streams that have ended, by request.
	streamRuns map[string][]streamRun
	coldPolicy coldPolicy
	// cold holds the requests that arrived at an endpoint while it was cold, and evacuated those that did while its data
	// centre was evacuated, by endpoint.
	cold      map[string][]limitEvent
	evacuated map[string][]evacuatedArrival
	// group runs the endpoints until ctx ends.
	group *errgroup.Group
	ctx   context.Context
}

// usageReport is the body of a usage report.
type usageReport struct {
	WindowNumber int64           `json:"windowNumber"`
	Counts       json.RawMessage `json:"counts"`
}

// Run serves the simulated platform until ctx ends.
func (c *siteCmd) Run(ctx context.Context) error {
	p := &sitePlatform{
		heartbeat: c.Heartbeat, slots: c.Slots, drained: map[string][]limitEvent{},
		store:   &rowStore{heartbeat: c.Heartbeat, rows: map[[2]string]siteRow{}, reads: map[string]int{}, muted: map[string]int{}, era: 1, operatorValues: map[string][]byte{}, evacuations: map[string]time.Time{}},
		servers: map[string]*siteServer{}, runs: map[string]int{}, arrivals: map[string]int{}, limitEvents: map[string][]limitEvent{}, versions: map[string]int{}, reports: map[int64][]json.RawMessage{},
		crashingParts: map[string]bool{}, killed: map[string]bool{}, scaleFences: map[string]int64{}, streamRuns: map[string][]streamRun{},
		cold: map[string][]limitEvent{}, evacuated: map[string][]evacuatedArrival{},
	}
	mux := http.NewServeMux()
	p.store.handle(mux)
	p.handle(mux)
	g, ctx := errgroup.WithContext(ctx)
	p.group, p.ctx = g, ctx
	for i := range c.Endpoints {
		if err := p.start(&siteServer{site: p, id: fmt.Sprintf("i-%d", i), version: "v1", zone: defaultZone}); err != nil {
			return err
		}
	}
	g.Go(func() error { return serve(ctx, c.Listen, mux) })
	return g.Wait()
}

// handle registers the handlers of the platform calls and of the control calls for endpoints on a mux.
func (p *sitePlatform) handle(mux *http.ServeMux) {
	mux.HandleFunc("POST /add", p.addEndpoint)
	mux.HandleFunc("POST /kill", func(_ http.ResponseWriter, r *http.Request) { p.kill(r.URL.Query().Get("id")) })
	mux.HandleFunc("POST /restart", p.restartInPlace)
	mux.HandleFunc("POST /trouble", p.setEndpointFaults)
	mux.HandleFunc("POST /drain", func(_ http.ResponseWriter, r *http.Request) { p.drain(r.URL.Query().Get("id")) })
	mux.HandleFunc("POST /retire", func(_ http.ResponseWriter, r *http.Request) { p.retire(r.URL.Query().Get("id")) })
	mux.HandleFunc("POST /silence", p.silence)
	mux.HandleFunc("POST /cold", p.turnCold)
	mux.HandleFunc("POST /cold-policy", p.setColdPolicy)
	mux.HandleFunc("POST /usage", p.recordUsage)
	mux.HandleFunc("POST /scale", p.recordScale)
	mux.HandleFunc("POST /poison", p.addCrashingPart)
	mux.HandleFunc("GET /seen", p.getObserved)
}

// addEndpoint starts one more endpoint: /add?id=ID&version=VERSION&zone=ZONE&bad=PERCENT&listen=ADDRESS&via=ADDRESS.
func (p *sitePlatform) addEndpoint(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	failPercent, _ := strconv.Atoi(q.Get("bad"))
	s := &siteServer{
		site: p, id: q.Get("id"), version: q.Get("version"), zone: cmp.Or(q.Get("zone"), defaultZone), failPercent: failPercent, listen: q.Get("listen"), address: q.Get("via"),
	}
	p.mu.Lock()
	delete(p.killed, s.id)
	p.mu.Unlock()
	if p.start(s) != nil {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// start starts one endpoint, which serves requests and writes its row periodically until it is killed.
func (p *sitePlatform) start(s *siteServer) error {
	l, err := net.Listen("tcp", cmp.Or(s.listen, "127.0.0.1:0"))
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "listen for endpoint %s", s.id)
	}
	inner, stop := context.WithCancel(p.ctx)
	s.stop = stop
	s.startMillis = time.Now().UnixMilli()
	s.address = cmp.Or(s.address, l.Addr().String())
	p.mu.Lock()
	s.coldUntil = time.Now().Add(p.coldPolicy.startTime)
	p.servers[s.id] = s
	killed := p.killed[s.id]
	p.mu.Unlock()
	if killed {
		stop()
		return l.Close()
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: requestTimeout}
	p.group.Go(func() error {
		_ = server.Serve(l)
		return nil
	})
	p.group.Go(func() error {
		defer func() { _ = server.Close() }()
		for n := 0; inner.Err() == nil; n++ {
			p.store.put("servers", s.id, s.row(n))
			select {
			case <-inner.Done():
			case <-time.After(p.heartbeat):
			}
		}
		return nil
	})
	return nil
}

func (s *siteServer) row(n int) []byte {
	s.site.mu.Lock()
	defer s.site.mu.Unlock()
	state := "ready"
	if s.draining {
		state = "draining"
	}
	data, _ := json.Marshal(map[string]any{
		"service": "plume", "address": s.address, "zone": s.zone, "version": s.version, "slots": s.site.slots, "state": state, "coldRemainingMs": s.coldMillis(), "sequence": n, "born": s.startMillis,
	})
	return data
}

// drain has an endpoint report that it drains. It goes on serving.
func (p *sitePlatform) drain(id string) {
	p.mu.Lock()
	s := p.servers[id]
	if s != nil {
		s.draining = true
		p.drained[id] = []limitEvent{}
	}
	p.mu.Unlock()
	if s != nil {
		p.store.put("servers", id, s.row(-1))
	}
}

// retire has an endpoint report that it drains, and ends it when it has run no stream for retireIdle.
func (p *sitePlatform) retire(id string) {
	p.drain(id)
	p.mu.Lock()
	s := p.servers[id]
	p.mu.Unlock()
	if s == nil {
		return
	}
	p.group.Go(func() error {
		for idleSince := time.Now(); time.Since(idleSince) < retireIdle && p.ctx.Err() == nil; time.Sleep(p.heartbeat) {
			if s.streaming.Load() > 0 {
				idleSince = time.Now()
			}
		}
		p.kill(id)
		return nil
	})
}

// silence has all endpoints send no events of streams for a time: /silence?ms=N.
func (p *sitePlatform) silence(_ http.ResponseWriter, r *http.Request) {
	ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentUntil = time.Now().Add(time.Duration(ms) * time.Millisecond)
}

// silenceLeft returns the time for which endpoints still send no events.
func (p *sitePlatform) silenceLeft() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Until(p.silentUntil)
}

// kill stops an endpoint without notice and removes its row. It waits one heartbeat period first, so that the endpoint
// does not write the row again.
func (p *sitePlatform) kill(id string) {
	p.mu.Lock()
	s := p.servers[id]
	p.killed[id] = true
	p.mu.Unlock()
	if s == nil {
		return
	}
	s.end(func() {})
	time.Sleep(p.heartbeat)
	p.store.remove("servers", id)
}

// ServeHTTP executes one request, as an event stream if its path contains /stream/.
func (s *siteServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Dragonflyroute-Request-Id")
	w.Header().Set("Dragonflyroute-Request-Id", id)
	if want := r.Header.Get("Dragonflyroute-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	poisoned := s.recordPrompt(r, false)
	s.recordEvacuated(id)
	if s.recordCold(id) {
		s.restartAfter(func() {})
		panic(http.ErrAbortHandler)
	}
	if s.countArrival(id).apply(w) {
		return
	}
	s.site.mu.Lock()
	s.site.runs[id]++
	s.site.versions[s.version]++
	fails := s.site.versions[s.version]%percent < s.failPercent
	s.site.mu.Unlock()
	w.Header().Set("Dragonflyroute-Response-Signature", "signed-by-"+s.id)
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	delayAnswer(r)
	if poisoned {
		s.crash(w, r)
		return
	}
	if !strings.Contains(r.URL.Path, "/stream/") {
		_, _ = io.WriteString(w, "answer of "+r.Header.Get("Dragonflyroute-Tenant"))
		return
	}
	s.sendEvents(w, r)
}

// delayAnswer delays the answer to a request by the time that its path asks for.
func delayAnswer(r *http.Request) {
	switch {
	case strings.HasSuffix(r.URL.Path, "/slow"):
		time.Sleep(slowAnswerDelay)
	case strings.HasSuffix(r.URL.Path, "/held"):
		hold(r.Context())
	}
}

// hold waits for heldAnswerDelay or until the caller has left.
func hold(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(heldAnswerDelay):
	}
}

// getObserved answers with the counts, usage reports and status rows that the endpoints and the platform have recorded.
func (p *sitePlatform) getObserved(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply(w, map[string]any{
		"runs": p.runs, "versions": p.versions, "reports": p.reports, "fence": p.fence, "arrivals": p.arrivals, "limits": p.limitEvents, "reads": p.store.readCounts(), "crashes": p.crashEvents, "status": p.store.statuses(), "era": p.store.currentEra(), "duties": p.dutyCalls, "streams": p.streamRuns, "drained": p.drained, "cold": p.cold, "evacuated": p.evacuated,
	})
}
