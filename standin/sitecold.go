package main

import (
	"cmp"
	"net/http"
	"strconv"
	"time"
)

// coldPolicy says how endpoints behave while they are cold.
type coldPolicy struct {
	// startTime is how long endpoints are cold after they start.
	startTime time.Duration
	// most is the number of requests in one second above which a cold endpoint crashes, 0 for none.
	most int
}

// setColdPolicy sets how endpoints that start from now on behave while they are cold: /cold-policy?start=DURATION&most=N.
func (p *sitePlatform) setColdPolicy(_ http.ResponseWriter, r *http.Request) {
	startTime, _ := time.ParseDuration(r.URL.Query().Get("start"))
	most, _ := strconv.Atoi(r.URL.Query().Get("most"))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldPolicy = coldPolicy{startTime: startTime, most: most}
}

// turnCold has an endpoint, or all of a data centre, be cold from now on, and say so: /cold?id=ID&zone=ZONE&for=DURATION.
func (p *sitePlatform) turnCold(_ http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	left, _ := time.ParseDuration(q.Get("for"))
	var turned []*siteServer
	p.mu.Lock()
	for _, s := range p.servers {
		if !s.ended && (s.id == q.Get("id") || s.zone == q.Get("zone")) {
			s.coldUntil = time.Now().Add(left)
			turned = append(turned, s)
		}
	}
	p.mu.Unlock()
	for _, s := range turned {
		p.store.put("servers", s.id, s.row(-1))
	}
}

// restartInPlace ends an endpoint without notice and starts it again later under its id and address; its row stays:
// /restart?id=ID&down=DURATION.
func (p *sitePlatform) restartInPlace(_ http.ResponseWriter, r *http.Request) {
	down, _ := time.ParseDuration(r.URL.Query().Get("down"))
	p.mu.Lock()
	s := p.servers[r.URL.Query().Get("id")]
	p.mu.Unlock()
	if s == nil || !s.end(func() {}) {
		return
	}
	next := s.restarted()
	next.listen, next.address = cmp.Or(s.listen, s.address), s.address
	p.group.Go(func() error {
		time.Sleep(down)
		p.startEventually(next)
		return nil
	})
}

// coldMillis returns how much longer the endpoint is cold. The caller holds the platform's mu.
func (s *siteServer) coldMillis() int64 { return max(0, time.Until(s.coldUntil).Milliseconds()) }

// recordCold records a request if the endpoint is cold, and reports whether it crashes the endpoint.
func (s *siteServer) recordCold(request string) (crashes bool) {
	now := time.Now()
	s.site.mu.Lock()
	defer s.site.mu.Unlock()
	if !now.Before(s.coldUntil) {
		return false
	}
	events := append(s.site.cold[s.id], limitEvent{AtMillis: now.UnixMilli(), Request: request})
	s.site.cold[s.id] = events
	n := 0
	for _, e := range events {
		if now.Sub(time.UnixMilli(e.AtMillis)) < time.Second {
			n++
		}
	}
	return s.site.coldPolicy.most > 0 && n > s.site.coldPolicy.most
}

// evacuatedArrival is a request that arrived at an endpoint of an evacuated data centre.
type evacuatedArrival struct {
	limitEvent
	// AfterMillis is the time since the operator evacuated the data centre.
	AfterMillis int64 `json:"after"`
}

// recordEvacuated records a request if the endpoint's data centre is evacuated.
func (s *siteServer) recordEvacuated(request string) {
	since := s.site.store.evacuatedSince(s.zone)
	if since.IsZero() {
		return
	}
	now := time.Now()
	s.site.mu.Lock()
	defer s.site.mu.Unlock()
	e := evacuatedArrival{limitEvent{AtMillis: now.UnixMilli(), Request: request}, now.Sub(since).Milliseconds()}
	s.site.evacuated[s.id] = append(s.site.evacuated[s.id], e)
}
