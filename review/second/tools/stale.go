package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// lateAfter is how late the store carries out a write that gets no answer, and lostTime how long it loses answers.
	lateAfter = 6 * time.Second
	lostTime  = time.Second
	// lostOf is the part of the writes that get no answer in that time: the first one, and from then on one in so many.
	lostOf = 4
	// busyRate is the rate of requests of the case.
	busyRate = 374
	// halfway is the part of the traffic that the rollout has reached when the store begins to lose answers.
	halfway = 0.3
	// steadyAfter is the time from the end of the rollout until the requests are looked at.
	steadyAfter = 15 * time.Second
	// leastRequests and leastShare are the bounds of the rule CONFIG on routes that were added later.
	leastRequests = 20
	leastShare    = 0.25
)

// lossyStore loses the answers of some writes from a moment in a rollout on, and carries these writes out late.
type lossyStore struct {
	rec *record

	mu     sync.Mutex
	from   time.Time
	writes int
}

// lose reports whether a transaction gets no answer, and how late it is carried out.
func (l *lossyStore) lose(t transaction) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.from.IsZero() && reached(t, halfway) {
		l.from = time.Now()
		l.rec.say("store: for %v, one write in %d gets no answer and is carried out %v late", lostTime, lostOf, lateAfter)
	}
	if l.from.IsZero() || time.Since(l.from) > lostTime {
		return 0, false
	}
	l.writes++
	if l.writes%lostOf != 1 {
		return 0, false
	}
	for _, p := range t.Puts {
		l.rec.say("store: no answer to a write of %s %s: %s", p.Table, p.Key, p.Value)
	}
	return lateAfter, true
}

// reached reports whether a transaction writes that a rollout has reached a share of the traffic.
func reached(t transaction, share float64) bool {
	for _, p := range t.Puts {
		var m struct{ Share float64 }
		if strings.HasPrefix(p.Key, "move/") && json.Unmarshal(p.Value, &m) == nil && m.Share >= share {
			return true
		}
	}
	return false
}

// balanceRead is a request to the application, on the route of the first configuration.
var balanceRead = requestKind{method: http.MethodGet, path: "/balance/", perSecond: 7.92, deadline: 4 * time.Second}

func balanceRoute() map[string]any {
	return map[string]any{
		"name": "balance-read", "host": hostName, "prefix": balanceRead.path, "kind": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 300,
		"priority": 2, "service": appService, "maxAttempts": 2,
	}
}

// appManner is how a server of the application answers.
func appManner(string) manner { return manner{first: workTime} }

// stale plays a rollout to a good version, during which the store loses the answer of a write and carries it out late. The route of
// the service was added by the second configuration; that of the first one leads to another service.
func stale(ctx context.Context, s *scene) error {
	const lasts, whole = 13500 * time.Millisecond, 75 * time.Second
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	if l := (&lossyStore{rec: s.rec}); s.trouble {
		s.store.late = l.lose
	}
	both := append(services(), map[string]any{"name": appService, "healthPath": "/health", "maxConns": 96})
	first := []map[string]any{balanceRoute()}
	s.configure(3, first, both)
	if err := s.startServers(appService, "v1", 1, appManner); err != nil {
		return err
	}
	if err := s.startServers(lmService, "v1", 2, sound); err != nil {
		return err
	}
	if err := s.startHosts("usage_report"); err != nil {
		return err
	}
	s.configure(5, append(first, routes()...), both)
	later := adviserAnswer
	later.perSecond = busyRate
	if !wait(ctx, 3*time.Second) {
		return ctx.Err()
	}
	go s.clients.run(traffic, balanceRead)
	go s.clients.run(traffic, later)
	if !wait(ctx, 2*time.Second) {
		return ctx.Err()
	}
	ordered := s.order(lmService, "v2", lasts)
	if err := s.startServers(lmService, "v2", 2, sound); err != nil {
		return err
	}
	go s.follow(ctx, lmService, "v1", "v2", 3*time.Second)
	for end := ordered.Add(whole); time.Now().Before(end); {
		if !wait(ctx, min(2*time.Second, time.Until(end))) {
			return ctx.Err()
		}
		s.rec.say("status for the operator: %s; answers in the last 2 s: %v", s.store.get("status", "rollout/"+lmService), s.clients.summary(time.Now().Add(-2*time.Second), time.Now()))
	}
	stopTraffic()
	s.clients.running.Wait()
	return s.laterRoutes(balanceRead.path, later.path, ordered.Add(lasts+steadyAfter))
}

// laterRoutes checks the rule CONFIG on routes that were added later: served less than a quarter as often as the first ones.
func (s *scene) laterRoutes(first, later string, from time.Time) error {
	firstShare, _ := s.clients.servedShare(first, from)
	laterShare, n := s.clients.servedShare(later, from)
	s.rec.say("CONFIG: from %.3f on, %.2f of the requests on the first route are served, and %.2f of %d on the route that was added later", s.rec.since(from), firstShare, laterShare, n)
	if n >= leastRequests && laterShare < leastShare*firstShare {
		return fmt.Errorf("CONFIG: %w", errBroken)
	}
	return nil
}

// servedShare returns the part of the requests on a path that were served, of those that were sent from a time on.
func (c *clients) servedShare(path string, from time.Time) (share float64, requests int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := 0
	for _, o := range c.outcomes {
		if o.path != path || o.sent.Before(from) {
			continue
		}
		requests++
		if o.status == http.StatusOK && o.whole {
			served++
		}
	}
	return float64(served) / float64(max(1, requests)), requests
}
