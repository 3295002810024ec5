package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	// crashDelay is the time from the head of an answer to the crash that its prompt causes.
	crashDelay = 20 * time.Millisecond
	// defaultRestart is the time after which a crashed endpoint runs again.
	defaultRestart = 2 * time.Second
	// silentHeartbeats is the number of missing heartbeats after which the row of a crashed endpoint is removed.
	silentHeartbeats = 3
)

// crashEvent is the arrival of a request whose prompt has a part that crashes endpoints, or a crash that it caused.
type crashEvent struct {
	// AtMillis is the time of the event, in Unix milliseconds.
	AtMillis int64  `json:"at"`
	Request  string `json:"request"`
	Endpoint string `json:"endpoint"`
	Crashed  bool   `json:"crashed"`
}

// setCrashingPart selects the prompt part that crashes endpoints, none if it is empty, and how long they are down:
// /poison?part=HEX&restart=DURATION.
func (p *sitePlatform) setCrashingPart(_ http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashingPart = r.URL.Query().Get("part")
	p.restartTime = defaultRestart
	if d, err := time.ParseDuration(r.URL.Query().Get("restart")); err == nil {
		p.restartTime = d
	}
}

// recordPrompt records a request that has the crashing part, not as its last one, and reports whether it has.
func (s *siteServer) recordPrompt(r *http.Request, crashed bool) bool {
	s.site.mu.Lock()
	defer s.site.mu.Unlock()
	part := s.site.crashingPart
	parts := strings.Split(r.Header.Get("Dragonflyroute-Prompt-Prefix"), ",")
	for _, item := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(strings.TrimSpace(item), ":")
		if id != part || part == "" {
			continue
		}
		event := crashEvent{AtMillis: time.Now().UnixMilli(), Request: r.Header.Get("Dragonflyroute-Request-Id"), Endpoint: s.id, Crashed: crashed}
		s.site.crashEvents = append(s.site.crashEvents, event)
		return true
	}
	return false
}

// crash writes the head of an answer, ends the endpoint with all its connections, and starts it again later as a new
// process. Its row is removed after some missing heartbeats.
func (s *siteServer) crash(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(crashDelay)
	s.recordPrompt(r, true)
	s.stop()
	s.site.group.Go(func() error {
		time.Sleep(silentHeartbeats * heartbeatPeriod)
		s.site.store.remove("servers", s.id)
		time.Sleep(max(0, s.site.downTime()-silentHeartbeats*heartbeatPeriod))
		if s.site.ctx.Err() != nil {
			return nil
		}
		return s.site.start(s.restarted())
	})
	// The response must not end as if it were complete.
	panic(http.ErrAbortHandler)
}

// restarted returns the next process of an endpoint, at the same address if that was given.
func (s *siteServer) restarted() *siteServer {
	next := &siteServer{site: s.site, id: s.id, version: s.version, listen: s.listen}
	if s.listen != "" {
		next.address = s.address
	}
	return next
}

func (p *sitePlatform) downTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.restartTime
}
