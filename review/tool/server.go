package main

import (
	"fmt"
	"net"
	"net/http"
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
	born := time.Now().UnixMilli()
	s.servers = append(s.servers, x)
	go func() { _ = http.Serve(l, x) }()
	beat := func(n int) {
		s.store.put("servers", x.id, map[string]any{
			"service": x.service, "address": x.address, "zone": x.zone, "version": x.version, "slots": x.slots, "state": "ready",
			"coldRemainingMs": 0, "stage": "both", "sequence": n, "born": born,
		})
	}
	beat(0)
	go func() {
		ticker := time.NewTicker(1200 * time.Millisecond)
		defer ticker.Stop()
		for n := 1; ; n++ {
			select {
			case <-ticker.C:
				beat(n)
			case <-x.stop:
				return
			}
		}
	}()
	s.rec.log("server %s of %s %s listens on %s", x.id, x.service, x.version, address)
	return nil
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
