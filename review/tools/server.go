package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// server is a stand-in of one server of a service.
type server struct {
	sys               *system
	id, service, zone string
	version, address  string
	slots             int
	listener          net.Listener
	stop              chan struct{}
	// draining is set once the server has reported that it drains, and beats counts the entries that it has written.
	draining atomic.Bool
	beats    atomic.Int64
	born     int64
	// serve handles one request that this server runs; it has the signature and the id already.
	serve func(w http.ResponseWriter, r *http.Request)
}

// addServer starts a server, which registers itself in the store.
func (s *system) addServer(x *server) error {
	l, address, err := listen()
	if err != nil {
		return err
	}
	x.sys, x.listener, x.address, x.stop = s, l, address, make(chan struct{})
	x.born = time.Now().UnixMilli()
	s.servers = append(s.servers, x)
	go func() { _ = http.Serve(l, x) }()
	x.beat()
	go func() {
		ticker := time.NewTicker(beatTime)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				x.beat()
			case <-x.stop:
				return
			}
		}
	}()
	s.rec.log("server %s of %s %s listens on %s", x.id, x.service, x.version, address)
	return nil
}

// beatTime is heartbeatMs.
const beatTime = 1200 * time.Millisecond

// beat writes the server's entry.
func (x *server) beat() {
	state := "ready"
	if x.draining.Load() {
		state = "draining"
	}
	x.sys.store.put("servers", x.id, map[string]any{
		"service": x.service, "address": x.address, "zone": x.zone, "version": x.version, "slots": x.slots, "state": state,
		"coldRemainingMs": 0, "stage": "both", "sequence": x.beats.Add(1), "born": x.born,
	})
}

// ServeHTTP serves one request.
func (x *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Dragonflyroute-Request-Id")
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("Dragonflyroute-Instance-Id", x.id)
		return
	}
	h.Set("Dragonflyroute-Request-Id", id)
	if want := r.Header.Get("Dragonflyroute-Expect-Instance"); want != "" && want != x.id {
		h.Set("Dragonflyroute-Instance-Id", x.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("Dragonflyroute-Response-Signature", fmt.Sprintf("3e1b.%s.%s", x.id, id))
	x.serve(w, r)
}
