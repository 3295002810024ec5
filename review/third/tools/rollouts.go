package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
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

// balanceRead is a plain call to another service.
var balanceRead = requestKind{method: http.MethodGet, path: "/balance/", perSecond: 30, deadline: 4 * time.Second}

func routes() []map[string]any {
	return []map[string]any{{
		"name": "adviser-answer", "host": hostName, "prefix": "/answer/", "kind": "streaming", "sticky": true,
		"timeoutMs": 3000, "targetLatencyMs": 500, "targetGapMs": 300, "priority": 0, "service": lmService, "maxAttempts": 1,
	}}
}

// appRoutes are the routes of the first configuration of the case of two services.
func appRoutes() []map[string]any {
	return []map[string]any{{
		"name": "balance-read", "host": hostName, "prefix": "/balance/", "kind": "idempotent",
		"timeoutMs": 2000, "targetLatencyMs": 300, "priority": 2, "service": appService, "maxAttempts": 2,
	}}
}

func services() []map[string]any {
	return []map[string]any{
		{"name": lmService, "healthPath": "/health", "maxConns": 360, "engine": map[string]any{"slots": serverSlots, "kvCapacityTokens": 816_736}},
		{"name": appService, "healthPath": "/health", "maxConns": 96},
	}
}

// sound answers as a server of a good version does.
func sound(path string) manner {
	if path == balanceRead.path {
		return manner{first: workTime}
	}
	return manner{first: answerFirst, gap: eventGap, events: answerEvents}
}

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

// rollout plays a rollout of a service to v2 until its time limit.
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
	return nil
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

// failureStatus returns the status of a bad version's failures: that of the environment's STATUS, 404 by default.
func failureStatus() (int, error) { return strconv.Atoi(cmp.Or(os.Getenv("STATUS"), "404")) }

// The version turns bad turnsBadAfter its order, when it has all of the traffic: badShare of its answers are then failures.
const (
	turnsBadAfter = 24 * time.Second
	badShare      = 0.4
	rolloutTime   = 60 * time.Second
	perSecond     = 220
)

// turnsBad plays a rollout to a version that turns bad before it is completed.
func turnsBad(ctx context.Context, s *scene) error {
	status, err := failureStatus()
	if err != nil {
		return err
	}
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	kind := adviserAnswer
	kind.perSecond = perSecond
	if err := s.start(traffic, lmService, 2, kind); err != nil {
		return err
	}
	began := time.Now()
	err = s.rollout(ctx, stopTraffic, lmService, 2, rolloutTime, func(path string) manner {
		m := sound(path)
		if s.trouble && time.Since(began) > turnsBadAfter && rand.Float64() < badShare {
			m.status, m.bad = status, true
		}
		return m
	})
	if err != nil || !s.trouble {
		return err
	}
	return s.exposure("v2", began, began.Add(rolloutTime))
}

// badSpell is how long the version of the case misdirected answers 421 to some requests, and settleTime the time after it from
// which the rule is checked.
const (
	badSpell   = 4 * time.Second
	settleTime = 8 * time.Second
)

// misdirected plays a rollout to a version of which a part of the answers are 421 for a while, beside another service.
func misdirected(ctx context.Context, s *scene) error {
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	if err := s.startTwo(traffic); err != nil {
		return err
	}
	began := time.Now()
	spell := func() bool {
		since := time.Since(began) - turnsBadAfter
		return s.trouble && since > 0 && since < badSpell
	}
	from := began.Add(turnsBadAfter + badSpell + settleTime)
	err := s.rollout(ctx, stopTraffic, lmService, 2, rolloutTime, func(path string) manner {
		m := sound(path)
		if spell() && rand.Float64() < badShare {
			m.status = http.StatusMisdirectedRequest
		}
		return m
	})
	if err != nil {
		return err
	}
	return s.laterRoute(from, began.Add(rolloutTime))
}

// startTwo starts both services and the hosts with a configuration that has a route to the one, and adds a route to the other.
func (s *scene) startTwo(traffic context.Context) error {
	s.configure(3, appRoutes(), services())
	if err := s.startServers(appService, "v1", 1, sound); err != nil {
		return err
	}
	if err := s.startServers(lmService, "v1", 2, sound); err != nil {
		return err
	}
	if err := s.startHosts("usage_report"); err != nil {
		return err
	}
	go s.clients.run(traffic, balanceRead)
	if !wait(traffic, 2*time.Second) {
		return traffic.Err()
	}
	s.configure(4, append(appRoutes(), routes()...), services())
	if !wait(traffic, 3*time.Second) {
		return traffic.Err()
	}
	kind := adviserAnswer
	kind.perSecond = perSecond
	go s.clients.run(traffic, kind)
	if !wait(traffic, 3*time.Second) {
		return traffic.Err()
	}
	return nil
}

// laterRoute checks the rule CONFIG for the route that was added later: it is served at least a quarter as often as the first one.
func (s *scene) laterRoute(from, to time.Time) error {
	first, firstServed := s.clients.served(balanceRead.path, from, to)
	later, laterServed := s.clients.served(adviserAnswer.path, from, to)
	s.rec.say("CONFIG: from %.0f s to %.0f s, %d of %d requests on the first route and %d of %d on the later one were served",
		s.rec.since(from), s.rec.since(to), firstServed, first, laterServed, later)
	const fewRequests, leastShare = 20, 0.25
	if first == 0 || later < fewRequests {
		return errors.New("too few requests")
	}
	if float64(laterServed)/float64(later) < leastShare*float64(firstServed)/float64(first) {
		return fmt.Errorf("CONFIG: %w", errBroken)
	}
	return nil
}
