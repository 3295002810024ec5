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
	Part     string `json:"part"`
	Request  string `json:"request"`
	Endpoint string `json:"endpoint"`
	Crashed  bool   `json:"crashed"`
}

// addCrashingPart adds a prompt part that crashes endpoints, and sets how long they are down: /poison?part=HEX&restart=DURATION.
func (p *sitePlatform) addCrashingPart(_ http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashingParts[r.URL.Query().Get("part")] = true
	p.restartTime = defaultRestart
	if d, err := time.ParseDuration(r.URL.Query().Get("restart")); err == nil {
		p.restartTime = d
	}
}

// recordPrompt records a request that has a crashing part, not as its last one, and reports whether it has.
func (s *siteServer) recordPrompt(r *http.Request, crashed bool) bool {
	s.site.mu.Lock()
	defer s.site.mu.Unlock()
	parts := strings.Split(r.Header.Get("Dragonflyroute-Prompt-Prefix"), ",")
	for _, item := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(strings.TrimSpace(item), ":")
		if !s.site.crashingParts[id] {
			continue
		}
		event := crashEvent{AtMillis: time.Now().UnixMilli(), Part: id, Request: r.Header.Get("Dragonflyroute-Request-Id"), Endpoint: s.id, Crashed: crashed}
		s.site.crashEvents = append(s.site.crashEvents, event)
		return true
	}
	return false
}

// crash writes the head of an answer, ends the endpoint with all its connections, and starts it again later as a new
// process, unless it is killed. Its row is removed after some missing heartbeats.
func (s *siteServer) crash(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(crashDelay)
	s.restartAfter(func() { s.recordPrompt(r, true) })
	// The response must not end as if it were complete.
	panic(http.ErrAbortHandler)
}

// restartAfter ends the endpoint right after a call of before, and starts it again later, unless it had ended.
func (s *siteServer) restartAfter(before func()) {
	if !s.end(before) {
		return
	}
	s.site.group.Go(func() error {
		s.restart()
		return nil
	})
}

// end ends the endpoint's process right after a call of before, and reports whether it ran until now.
func (s *siteServer) end(before func()) bool {
	s.site.mu.Lock()
	ended := s.ended
	s.ended = true
	s.site.mu.Unlock()
	if !ended {
		before()
		s.stop()
	}
	return !ended
}

// restart starts the next process of a crashed endpoint once it has been down for its time.
func (s *siteServer) restart() {
	time.Sleep(silentHeartbeats * s.site.heartbeat)
	s.site.store.remove("servers", s.id)
	time.Sleep(max(0, s.site.downTime()-silentHeartbeats*s.site.heartbeat))
	s.site.startEventually(s.restarted())
}

// startEventually starts an endpoint, also if something else uses its port for a moment.
func (p *sitePlatform) startEventually(s *siteServer) {
	for p.ctx.Err() == nil && p.start(s) != nil {
		time.Sleep(p.heartbeat)
	}
}

// restarted returns the next process of an endpoint, at the same address if that was given.
func (s *siteServer) restarted() *siteServer {
	next := &siteServer{site: s.site, id: s.id, version: s.version, zone: s.zone, listen: s.listen}
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
