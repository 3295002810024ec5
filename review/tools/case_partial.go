package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drain is drainMs.
	drain = 2 * time.Second
	// partialAfter is the time from a server's report that it drains to the other writer's entry.
	partialAfter = 3 * time.Second
)

// partialEntry has another writer write an entry that lacks fields under the id of a server that drains.
func partialEntry(s *system, trouble bool) (int, error) {
	var ack atomic.Int64
	var late atomic.Int64
	for i, zone := range []string{"bzh-rennes", "bzh-brest", "bzh-vannes"} {
		x := &server{id: fmt.Sprintf("i-%d", i), service: "huvo11a", zone: zone, version: "v1", slots: 6}
		x.serve = func(w http.ResponseWriter, r *http.Request) {
			if at := ack.Load(); x.draining.Load() && at != 0 {
				since := time.Since(time.UnixMilli(at))
				s.rec.log("server %s, which drains, gets request %s %d ms after the ack", x.id, r.Header.Get("Dragonflyroute-Request-Id"), since.Milliseconds())
				if since > drain {
					late.Add(1)
				}
			}
			time.Sleep(60 * time.Millisecond)
			fmt.Fprint(w, "recorded")
		}
		if err := s.addServer(x); err != nil {
			return cannot, err
		}
	}
	s.configure(7, []map[string]any{{
		"name": "r-1", "host": hostName, "prefix": "/pule252/", "kind": "non_idempotent", "timeoutMs": 2000, "targetLatencyMs": 300, "priority": 2,
		"service": "huvo11a", "maxAttempts": 1, "public": false,
	}}, []map[string]any{{"name": "huvo11a", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}})
	for i, zone := range []string{"bzh-rennes", "bzh-brest", "bzh-vannes"} {
		if _, err := s.start(fmt.Sprintf("edge-%s-%d", zone, i), zone); err != nil {
			return cannot, err
		}
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return cannot, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var g sync.WaitGroup
	for i := range 6 {
		g.Go(func() {
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				c, err := open(s.daemons[n%len(s.daemons)].front)
				if err != nil {
					continue
				}
				a := c.ask(request{method: "POST", path: "/pule252/2f", body: "amount=2500", deadline: 4 * time.Second})
				c.close()
				if a.status != http.StatusOK {
					s.rec.log("request %s: status %d (%v)", a.id, a.status, a.err)
				}
			}
		})
	}
	time.Sleep(time.Second)
	x := s.servers[2]
	x.draining.Store(true)
	x.beat()
	ack.Store(time.Now().UnixMilli())
	s.rec.log("the store acknowledges that server %s is draining", x.id)
	time.Sleep(partialAfter)
	for n := x.beats.Load(); x.beats.Load() == n; {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		s.rec.log("another writer writes the entry of server %s, without zone, version, slots, coldRemainingMs, sequence and born", x.id)
		s.store.put("servers", x.id, map[string]any{"service": x.service, "address": x.address, "state": "ready"})
	}
	time.Sleep(4 * time.Second)
	close(stop)
	g.Wait()
	s.rec.say("%d requests reached the draining server later than drainMs after the ack", late.Load())
	if late.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
