package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// clients send a request each clientGap, to the daemons in turn.
	clients   = 20
	clientGap = 200 * time.Millisecond
	// exposureShare and exposureSlack are the bounds of the sheet.
	exposureShare = 0.1
	exposureSlack = 50
	// lateMs is rollbackMs, with 100 ms more for a request's way to the server.
	lateMs = 5_100
)

// rollout orders a move to a version that is bad from some time after its start on.
func rollout(s *system, trouble bool) (int, error) {
	duration := time.Duration(number("DURATION_S", 20)) * time.Second
	later := time.Duration(number("LATER_MS", 8000)) * time.Millisecond
	status := number("STATUS", 500)
	portion := number("PORTION", 60)
	var reached, bad [2]atomic.Int64
	var order, fiftieth, after atomic.Int64
	inTime := func() bool {
		at := order.Load()
		return at != 0 && time.Since(time.UnixMilli(at)) < duration
	}
	add := func(i int, version string) error {
		x := &server{id: fmt.Sprintf("i-%s-%d", version, i), service: "huvo11a", zone: []string{"bzh-rennes", "bzh-brest", "bzh-vannes"}[i], version: version, slots: 6}
		isNew := 0
		if version == "v2" {
			isNew = 1
		}
		started := time.Now()
		x.serve = func(w http.ResponseWriter, r *http.Request) {
			arrived := time.Now()
			time.Sleep(30 * time.Millisecond)
			n := int64(0)
			if inTime() {
				n = reached[isNew].Add(1)
			}
			fails := trouble && isNew == 1 && time.Since(started) >= later && int(n)%100*37%100 < portion
			if at := fiftieth.Load(); isNew == 1 && at != 0 && arrived.UnixMilli() > at+lateMs && after.Add(1) == 1 {
				s.rec.log("v2 gets a request more than %d ms after its 50th bad answer", lateMs)
			}
			if fails {
				if bad[isNew].Add(1) == 50 {
					fiftieth.Store(time.Now().UnixMilli())
					s.rec.log("v2 gives its 50th bad answer")
				}
				w.WriteHeader(status)
			}
			fmt.Fprint(w, "recorded")
		}
		return s.addServer(x)
	}
	for i := range 3 {
		if err := add(i, "v1"); err != nil {
			return cannot, err
		}
	}
	routes := []map[string]any{{
		"name": "r-1", "host": hostName, "prefix": "/pule252/", "kind": "non_idempotent", "timeoutMs": 2000, "targetLatencyMs": 300, "priority": 2,
		"service": "huvo11a", "maxAttempts": 1, "public": false,
	}}
	services := []map[string]any{{"name": "huvo11a", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}}
	s.configure(7, routes, services)
	for i, zone := range []string{"bzh-rennes", "bzh-brest", "bzh-vannes"} {
		if _, err := s.start(fmt.Sprintf("edge-%s-%d", zone, i), zone); err != nil {
			return cannot, err
		}
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return cannot, err
	}
	s.store.onPut = func(r row) {
		if r.Table == "status" || strings.HasPrefix(r.Key, "move/") {
			s.rec.log("a daemon writes %s/%s: %s; so far v1 got %d, v2 got %d requests and answered %d badly", r.Table, r.Key, r.Value, reached[0].Load(), reached[1].Load(), bad[1].Load())
		}
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var g sync.WaitGroup
	var statuses sync.Map
	for i := range clients {
		g.Go(func() {
			ticker := time.NewTicker(clientGap)
			defer ticker.Stop()
			time.Sleep(time.Duration(i) * clientGap / clients)
			kept := make([]*channel, len(s.daemons))
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				c := &kept[n%len(kept)]
				if *c == nil {
					var err error
					if *c, err = open(s.daemons[n%len(kept)].front); err != nil {
						continue
					}
				}
				a := (*c).ask(request{method: "POST", path: "/pule252/2f", body: "amount=2500", deadline: 4 * time.Second})
				if a.err != nil {
					(*c).close()
					*c = nil
				}
				v, _ := statuses.LoadOrStore(a.status, &atomic.Int64{})
				v.(*atomic.Int64).Add(1)
			}
		})
	}
	time.Sleep(2 * time.Second)
	s.rec.log("the store acknowledges the order of a move to v2 within %v; v2 turns bad %v after its start", duration, later)
	s.store.put("op", "rollout/huvo11a", map[string]any{"service": "huvo11a", "to": "v2", "durationS": int(duration.Seconds())})
	order.Store(time.Now().UnixMilli())
	for i := range 3 {
		if err := add(i, "v2"); err != nil {
			return cannot, err
		}
	}
	time.Sleep(duration + 500*time.Millisecond)
	close(stop)
	g.Wait()
	got, all := reached[1].Load(), reached[0].Load()+reached[1].Load()
	allowed := exposureShare*float64(all) + exposureSlack
	statuses.Range(func(k, v any) bool {
		s.rec.log("answers with status %v: %d", k, v.(*atomic.Int64).Load())
		return true
	})
	s.rec.say("v2 got %d requests more than %d ms after its 50th bad answer; none may be", after.Load(), lateMs)
	s.rec.say("v2 got %d of %d requests, %d may be, and answered %d badly; status: %s", got, all, int(allowed), bad[1].Load(), s.store.value("status", "rollout/huvo11a"))
	if trouble && (float64(got) > allowed || after.Load() > 0) {
		return broken, nil
	}
	return held, nil
}

func number(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}
