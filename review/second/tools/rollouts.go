package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// The service of the deployment and its one route, with figures of the sheet of kerlann-route.
const (
	lmService = "plume"
	// appService is another service, whose requests take workTime.
	appService = "caisse"
	workTime   = 60 * time.Millisecond
	// answerFirst is the usual time to the first event of a stream.
	answerFirst  = 350 * time.Millisecond
	eventGap     = 20 * time.Millisecond
	answerEvents = 6
	prompt       = 2368
)

// adviserAnswer is a quick answer. A client leaves a stream after a gap of 2 s, four times the objective or eight times the
// longest pause, whichever is longest.
var adviserAnswer = requestKind{
	method: http.MethodPost, path: "/answer/", perSecond: 63.6, deadline: 3 * time.Second, body: strings.Repeat("q", prompt), patience: 2400 * time.Millisecond, events: answerEvents,
	header: map[string]string{"Dragonflyroute-Model": "m", "Dragonflyroute-Token-Usage": "2368,24"},
}

func routes() []map[string]any {
	return []map[string]any{{
		"name": "adviser-answer", "host": hostName, "prefix": "/answer/", "kind": "streaming", "sticky": true,
		"timeoutMs": 3000, "targetLatencyMs": 500, "targetGapMs": 300, "priority": 0, "service": lmService, "maxAttempts": 1,
	}}
}

func services() []map[string]any {
	return []map[string]any{{"name": lmService, "healthPath": "/health", "maxConns": 360, "engine": map[string]any{"slots": serverSlots, "kvCapacityTokens": 816_736}}}
}

// sound answers as a server of a good version does.
func sound(string) manner { return manner{first: answerFirst, gap: eventGap, events: answerEvents} }

// start writes the configuration, starts the servers and the hosts, and sends requests of some kinds until ctx ends.
func (s *scene) start(ctx context.Context, service string, inZone int, kinds ...requestKind) error {
	s.configure(3, routes(), services())
	if err := s.startServers(service, "v1", inZone, sound); err != nil {
		return err
	}
	if err := s.startHosts("usage_report"); err != nil {
		return err
	}
	for _, k := range kinds {
		go s.clients.run(ctx, k)
	}
	if !wait(ctx, 3*time.Second) {
		return ctx.Err()
	}
	return nil
}

// rollout plays a rollout of a service to v2 until its time limit, and checks EXPOSURE if v2 is bad.
func (s *scene) rollout(ctx context.Context, stopTraffic func(), service string, inZone int, lasts time.Duration, answers func(path string) manner) error {
	ordered := s.order(service, "v2", lasts)
	if err := s.startServers(service, "v2", inZone, answers); err != nil {
		return err
	}
	go s.follow(ctx, service, "v1", "v2", 3*time.Second)
	for end := ordered.Add(lasts); time.Now().Before(end); {
		if !wait(ctx, min(5*time.Second, time.Until(end))) {
			return ctx.Err()
		}
		s.tellShare("v2", 5*time.Second)
	}
	stopTraffic()
	s.clients.running.Wait()
	s.rec.say("answers to requests after the order: %v", s.clients.summary(ordered, ordered.Add(lasts)))
	if !s.trouble {
		return nil
	}
	return s.exposure("v2", ordered, ordered.Add(lasts))
}

// tellShare writes which part of the latest requests a version got.
func (s *scene) tellShare(version string, span time.Duration) {
	s.mu.Lock()
	all, of, bad := 0, 0, 0
	for _, r := range s.runs {
		if time.Since(r.arrived) > span {
			continue
		}
		all++
		if r.version == version {
			of++
			if r.bad {
				bad++
			}
		}
	}
	s.mu.Unlock()
	s.rec.say("in the last %v %s got %d of %d requests; %d got a bad answer", span, version, of, all, bad)
}

// impatient plays a rollout to a version of which a part of the answers on one route take several times as long, so that clients
// leave before them.
func impatient(ctx context.Context, s *scene) error {
	const badShare, slowness = 0.4, 8
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	if err := s.start(traffic, lmService, 2, adviserAnswer); err != nil {
		return err
	}
	return s.rollout(ctx, stopTraffic, lmService, 2, 90*time.Second, func(path string) manner {
		m := sound(path)
		if s.trouble && rand.Float64() < badShare {
			m.first, m.gap, m.bad = slowness*m.first, slowness*m.gap, true
		}
		return m
	})
}

// nextVersion plays a rollout to a bad version, and one to the next version while the servers of the bad one, which was rolled
// back, have not drained yet.
func nextVersion(ctx context.Context, s *scene) error {
	const badShare, lasts, drainAfter, orderAfter = 0.6, 30 * time.Second, 10 * time.Second, time.Second
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	if err := s.start(traffic, lmService, 2, adviserAnswer); err != nil {
		return err
	}
	ordered := s.order(lmService, "v2", lasts)
	bad := func(path string) manner {
		m := sound(path)
		if rand.Float64() < badShare {
			m.fails, m.bad = true, true
		}
		return m
	}
	if err := s.startServers(lmService, "v2", 2, bad); err != nil {
		return err
	}
	go s.follow(ctx, lmService, "v1", "v2", drainAfter)
	for s.state(lmService, "v2") != "rolled_back" {
		if !wait(ctx, 20*time.Millisecond) {
			return ctx.Err()
		}
	}
	if !wait(ctx, orderAfter) {
		return ctx.Err()
	}
	if s.trouble {
		s.order(lmService, "v3", lasts)
		if err := s.startServers(lmService, "v3", 2, sound); err != nil {
			return err
		}
	}
	for end := ordered.Add(lasts); time.Now().Before(end); {
		if !wait(ctx, min(time.Second, time.Until(end))) {
			return ctx.Err()
		}
		s.tellShare("v2", time.Second)
	}
	stopTraffic()
	s.clients.running.Wait()
	s.rec.say("answers to requests after the order: %v", s.clients.summary(ordered, ordered.Add(lasts)))
	return s.exposure("v2", ordered, ordered.Add(lasts))
}
