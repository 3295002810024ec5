package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// events is the number of events of a stream, and eventGap the time between two.
	events   = 40
	eventGap = 50 * time.Millisecond
	// pause is how long a server reads in a preempted request again, and preemptAfter the number of events of a run before
	// that.
	pause        = 1500 * time.Millisecond
	preemptAfter = 8
)

// stalledStreams stops a daemon as planned while it serves long streams. Both servers are short of memory and preempt the
// least urgent requests in the middle of their streams, and go on with them 1.5 s later.
//
// STREAMS is the number of streams, each on a kept channel, 6 unless set. With ONE=1 only the first server preempts.
func stalledStreams(s *system, trouble bool) (int, error) {
	streams, one := number("STREAMS", 6), number("ONE", 0) == 1
	var mu sync.Mutex
	ends := map[string][]string{}
	run := func(x *server) func(w http.ResponseWriter, r *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Dragonflyroute-Request-Id")
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			s.rec.log("server %s runs request %s after event %d, time left %s ms", x.id, id, last, r.Header.Get("Dragonflyroute-Deadline-Ms"))
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Dragonflyroute-Weight-Versions", "1")
			end := "sent its last event"
			defer func() {
				s.rec.log("server %s: request %s %s", x.id, id, end)
				mu.Lock()
				ends[id] = append(ends[id], x.id+" "+end)
				mu.Unlock()
			}()
			time.Sleep(40 * time.Millisecond)
			for n, made := last+1, 0; n <= events; n, made = n+1, made+1 {
				wait := eventGap
				if trouble && made == preemptAfter && (!one || x.id == "i-0") {
					s.rec.log("server %s preempts request %s after event %d", x.id, id, n-1)
					wait = pause
				}
				if !sleepUntil(r.Context(), time.Now().Add(wait)) {
					end = fmt.Sprintf("was closed by the daemon after event %d", n-1)
					return
				}
				fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
				if http.NewResponseController(w).Flush() != nil {
					end = fmt.Sprintf("was closed by the daemon after event %d", n-1)
					return
				}
			}
		}
	}
	for i, zone := range []string{"bzh-rennes", "bzh-brest"} {
		x := &server{id: fmt.Sprintf("i-%d", i), service: "huvo11a", zone: zone, version: "v1", slots: 64}
		x.serve = run(x)
		if err := s.addServer(x); err != nil {
			return cannot, err
		}
	}
	s.configure(7, []map[string]any{{
		"name": "r-maj3nr2", "host": hostName, "prefix": "/lohu930/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 1000, "priority": 1,
		"service": "huvo11a", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "targetGapMs": 300,
	}}, []map[string]any{{"name": "huvo11a", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kvCapacityTokens": 816736}}})
	for i, zone := range []string{"bzh-rennes", "bzh-brest", "bzh-vannes"} {
		if _, err := s.start(fmt.Sprintf("edge-%s-%d", zone, i), zone); err != nil {
			return cannot, err
		}
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return cannot, err
	}
	time.Sleep(4 * time.Second)
	d := s.daemons[0]
	var g sync.WaitGroup
	answers := make([]answer, streams)
	for i := range streams {
		c, err := open(d.front)
		if err != nil {
			return cannot, err
		}
		defer c.close()
		g.Go(func() {
			answers[i] = c.ask(request{
				method: "POST", path: "/lohu930/2f", body: strings.Repeat("x", 400), deadline: 15 * time.Second,
				tokens: "1460,160", prefix: fmt.Sprintf("5c1e07a2:800,91bd3f%02x:410,e4402b%02x:250", i, i),
			})
		})
	}
	time.Sleep(200 * time.Millisecond)
	s.signal(d, syscall.SIGTERM)
	term := time.Now()
	g.Wait()
	lost := 0
	for i := range answers {
		a := &answers[i]
		pieces := strings.Count(a.body, "id: ")
		s.rec.log("request %s, sent at %d ms: status %d, %d of %d events, complete %v, ended %d ms after the SIGTERM (%v); at the servers: %s",
			a.id, s.rec.ms(a.sent), a.status, pieces, events, a.complete, a.read.Sub(term).Milliseconds(), a.err, strings.Join(ends[a.id], "; "))
		switch {
		case a.complete && a.status == http.StatusOK && pieces == events:
		case a.complete && a.status != http.StatusOK:
			// A failure is a whole answer.
		case a.read.Sub(a.sent) >= 15*time.Second || a.read.Sub(term) > (graceS+1)*time.Second || a.read.Sub(term) > graceS*time.Second*5/6:
			// The time limit, the end of the grace period, or work of a server in its last sixth.
		default:
			lost++
		}
	}
	s.rec.say("%d of %d streams of the stopping daemon ended without a complete answer", lost, streams)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
