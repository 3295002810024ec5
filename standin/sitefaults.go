package main

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// siteFaults holds the faults and states that tests inject into an endpoint of the users' platform.
type siteFaults struct {
	// leaving adds the Server-Leaving header to every response.
	leaving bool
	// retryAfter makes the endpoint refuse every request as not executed, with this Retry-After in seconds; empty
	// refuses none.
	retryAfter string
	// limit is the request limit that every response names, in requests per second; empty names none.
	limit string
	// endless names the part of the response that never ends: head, body, event, comments or rest, which follows a complete
	// answer; empty for none.
	endless string
}

// setEndpointFaults replaces the faults of an endpoint:
// /trouble?id=ID&leaving=1&pause=SECONDS&limit=PER-SECOND&endless=head|body|event|comments|rest.
func (p *sitePlatform) setEndpointFaults(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[q.Get("id")]
	if s == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.faults = siteFaults{leaving: q.Get("leaving") != "", retryAfter: q.Get("pause"), limit: q.Get("limit"), endless: q.Get("endless")}
	s.recordLimit("")
}

// limitEvent is a change of an endpoint's request limit, or the arrival of a request after the first one.
type limitEvent struct {
	// AtMillis is the time of the event, in Unix milliseconds.
	AtMillis int64 `json:"at"`
	// Request is the id of the request that arrived, empty for a change of the limit.
	Request string `json:"request,omitempty"`
	// Limit is the request limit that the endpoint's responses name from then on, empty for none.
	Limit string `json:"limit,omitempty"`
}

// recordLimit records a change of the request limit, or the arrival of a request if an endpoint has had one. The caller
// holds the platform's mu.
func (s *siteServer) recordLimit(request string) {
	events := s.site.limitEvents[s.id]
	if s.faults.limit == "" && len(events) == 0 {
		return
	}
	s.site.limitEvents[s.id] = append(events, limitEvent{AtMillis: time.Now().UnixMilli(), Request: request, Limit: s.faults.limit})
}

// countArrival counts a request and returns the endpoint's faults.
func (s *siteServer) countArrival(request string) siteFaults {
	s.site.mu.Lock()
	defer s.site.mu.Unlock()
	s.site.arrivals[s.id]++
	s.recordLimit(request)
	if s.draining {
		s.site.drained[s.id] = append(s.site.drained[s.id], limitEvent{AtMillis: time.Now().UnixMilli(), Request: request})
	}
	return s.faults
}

// apply applies the faults to the response and reports whether it is complete.
func (f siteFaults) apply(w http.ResponseWriter) (ended bool) {
	if f.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if f.limit != "" {
		w.Header().Set("Server-Limit", f.limit)
	}
	switch {
	case f.retryAfter != "":
		w.Header().Set("Dragonflyroute-Not-Executed", "1")
		w.Header().Set("Retry-After", f.retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case f.endless != "":
		f.sendEndless(w)
		return true
	}
	return false
}

// endlessBlockBytes is the size of one write of an endless response.
const endlessBlockBytes = 4 << 10

// sendEndless writes an endless response until the caller closes the connection.
func (f siteFaults) sendEndless(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	head := "HTTP/1.1 200 OK\r\nDragonflyroute-Response-Signature: s\r\n"
	for name, values := range w.Header() {
		head += name + ": " + values[0] + "\r\n"
	}
	begin, block := f.endlessParts()
	_, err = io.WriteString(c, head+begin)
	for err == nil {
		_, err = io.WriteString(c, block)
	}
}

// endlessParts returns what follows the head of an endless response, and what is then sent again and again.
func (f siteFaults) endlessParts() (begin, block string) {
	const streamHead = "Content-Type: text/event-stream\r\n\r\n"
	block = strings.Repeat("x", endlessBlockBytes)
	switch f.endless {
	case "head":
		return "A: ", block
	case "event":
		return streamHead + "id: 1\ndata: a\n\nid: 2\ndata: ", block
	case "comments":
		return streamHead + "id: 1\ndata: a\n\n", ": x\n\n"
	case "rest":
		return "Content-Length: 14\r\n\r\nanswer of some", block
	default:
		return "\r\n", block
	}
}
