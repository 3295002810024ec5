package main

import (
	"context"
	"encoding/json"
	"fmt"
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
	busyRate = 300
	// halfway is the part of the traffic that the rollout has reached when the store begins to lose answers.
	halfway = 0.3
	// gateShare is the largest part of the requests that may be refused or fail.
	gateShare = 0.6
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

// stale plays a rollout to a good version, during which the store loses the answers of some writes and carries them out late.
func stale(ctx context.Context, s *scene) error {
	const lasts, whole = 15 * time.Second, 75 * time.Second
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	if l := (&lossyStore{rec: s.rec}); s.trouble {
		s.store.late = l.lose
	}
	k := adviserAnswer
	k.perSecond = busyRate
	if err := s.start(traffic, lmService, 2, k); err != nil {
		return err
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
	sums := s.clients.summary(ordered, ordered.Add(whole))
	all := 0
	for _, n := range sums {
		all += n
	}
	unserved := 1 - float64(sums["200"])/float64(all)
	s.rec.say("answers to requests after the order: %v", sums)
	s.rec.say("Gate: %.2f of all requests were refused or failed; %.2f are allowed", unserved, gateShare)
	if unserved > gateShare {
		return fmt.Errorf("Gate: %w", errBroken)
	}
	return nil
}
