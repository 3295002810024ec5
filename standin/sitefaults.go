package main

import (
	"io"
	"net/http"
	"strings"
)

// siteFaults holds the faults and states that tests inject into an endpoint of the users' platform.
type siteFaults struct {
	// leaving adds the Server-Leaving header to every response.
	leaving bool
	// retryAfter makes the endpoint refuse every request as not executed, with this Retry-After in seconds; empty
	// refuses none.
	retryAfter string
	// endless names the part of the response that never ends: head, body, or empty for none.
	endless string
}

// setEndpointFaults replaces the faults of an endpoint: /trouble?id=ID&leaving=1&pause=SECONDS&endless=head|body.
func (p *sitePlatform) setEndpointFaults(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[q.Get("id")]
	if s == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.faults = siteFaults{leaving: q.Get("leaving") != "", retryAfter: q.Get("pause"), endless: q.Get("endless")}
}

// countArrival counts a request and returns the endpoint's faults.
func (s *siteServer) countArrival() siteFaults {
	s.site.mu.Lock()
	defer s.site.mu.Unlock()
	s.site.arrivals[s.id]++
	return s.faults
}

// apply applies the faults to the response and reports whether it is complete.
func (f siteFaults) apply(w http.ResponseWriter) (ended bool) {
	if f.leaving {
		w.Header().Set("Server-Leaving", "1")
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
	if f.endless == "head" {
		head += "A: "
	} else {
		head += "\r\n"
	}
	_, err = io.WriteString(c, head)
	block := strings.Repeat("x", endlessBlockBytes)
	for err == nil {
		_, err = io.WriteString(c, block)
	}
}
