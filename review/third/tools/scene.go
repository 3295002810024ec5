package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

const (
	hostName = "plans.example"
	apiKey   = "3d3zji9n73hh2b9wu3fe"
	hostsN   = 3
	// Ports are taken from a random place in a range below those that the system gives out by itself.
	firstPort, portRange = 11_000, 20_000
	// startAttempts is how often a host is started with other ports, and startCheck the time after which it has its ports.
	startAttempts = 5
	startCheck    = 80 * time.Millisecond
)

// scene is a small deployment: three entry hosts, the platform and the servers.
type scene struct {
	root, dir string
	rec       *record
	store     *store
	cloud     *cloud
	storeAddr string
	cloudAddr string
	hosts     []*hostProcess
	clients   *clients
	// trouble is false for a run without the disruption.
	trouble bool

	mu      sync.Mutex
	servers []*server
	runs    []run
}

func newScene(root, dir string, rec *record) (*scene, error) {
	s := &scene{root: root, dir: dir, rec: rec, store: newStore(), cloud: &cloud{rec: rec}, trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if s.storeAddr, err = serveOn(s.store.handler()); err != nil {
		return nil, err
	}
	if s.cloudAddr, err = serveOn(s.cloud.handler()); err != nil {
		return nil, err
	}
	rec.say("trouble: %v", s.trouble)
	return s, nil
}

// startHosts starts the entry hosts and waits until all are ready. The configuration and the servers must be in the store.
func (s *scene) startHosts(duties ...string) error {
	zones := []string{"morava-a", "morava-b", "morava-c"}
	ports := &portPool{next: firstPort + rand.IntN(portRange)}
	var directories []string
	for i := range hostsN {
		h, err := s.startHost(fmt.Sprintf("edge-%s-1", zones[i]), zones[i], ports, duties)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		directories = append(directories, h.directory)
	}
	for _, h := range s.hosts {
		if err := h.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	s.clients = newClients(s.rec, hostName, apiKey, directories)
	s.rec.say("all %d entry hosts are ready", hostsN)
	return nil
}

// startHost starts one entry host. Another process may have taken one of its ports meanwhile: it then ends at once, and others are
// tried.
func (s *scene) startHost(name, zone string, ports *portPool, duties []string) (*hostProcess, error) {
	for range startAttempts {
		h, err := newHost(name, zone, s.dir, s.storeAddr, s.cloudAddr, ports, duties)
		if err != nil {
			return nil, err
		}
		if err := h.start(s.root); err != nil {
			return nil, err
		}
		select {
		case <-h.done:
		case <-time.After(startCheck):
			return h, nil
		}
	}
	return nil, fmt.Errorf("host %s ends at its start", name)
}

// startServers starts a number of servers of a version in each zone.
func (s *scene) startServers(service, version string, inZone int, answers func(path string) manner) error {
	zones := []string{"morava-a", "morava-b", "morava-c"}
	for i := range inZone * len(zones) {
		zone := zones[i%len(zones)]
		v := &server{service: service, version: version, zone: zone, store: s.store, rec: s.rec, onRun: s.recordRun}
		v.answers = answers
		if err := v.start(); err != nil {
			return err
		}
		s.mu.Lock()
		s.servers = append(s.servers, v)
		s.mu.Unlock()
	}
	return nil
}

func (s *scene) recordRun(r run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
}

// ofVersion returns the servers of a version.
func (s *scene) ofVersion(service, version string) []*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*server
	for _, v := range s.servers {
		if v.service == service && v.version == version {
			out = append(out, v)
		}
	}
	return out
}

// configure writes the operator's configuration.
func (s *scene) configure(version int, routes []map[string]any, services []map[string]any) {
	s.store.putJSON("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "huka270", "apiKeys": []string{apiKey}}},
	})
	s.rec.line("operator: config version %d is acknowledged", version)
}

// order writes the operator's order of a rollout and returns when the store acknowledged it.
func (s *scene) order(service, to string, lasts time.Duration) time.Time {
	s.store.putJSON("op", "rollout/"+service, map[string]any{"service": service, "to": to, "durationS": lasts.Seconds()})
	s.rec.say("operator: rollout of %s to %s within %v is ordered and acknowledged", service, to, lasts)
	return time.Now()
}

// state returns the state of the rollout to a version that the system has written, empty for none.
func (s *scene) state(service, to string) string {
	var status struct{ State, To string }
	if json.Unmarshal(s.store.get("status", "rollout/"+service), &status) != nil || status.To != to {
		return ""
	}
	return status.State
}

// follow plays the platform's part in a rollout until ctx ends: the old servers stop at once when it is completed, and the new
// ones drain drainAfter after it was rolled back.
func (s *scene) follow(ctx context.Context, service, from, to string, drainAfter time.Duration) {
	last := ""
	for wait(ctx, 20*time.Millisecond) {
		now := s.state(service, to)
		if now == last {
			continue
		}
		last = now
		s.rec.say("system: rollout of %s to %s is %s", service, to, now)
		switch now {
		case "completed":
			for _, v := range s.ofVersion(service, from) {
				v.stop()
			}
			s.rec.say("platform: the servers of %s stop", from)
			return
		case "rolled_back":
			wait(ctx, drainAfter)
			s.rec.say("platform: the servers of %s drain", to)
			for _, v := range s.ofVersion(service, to) {
				v.drain()
			}
			return
		}
	}
}

// end ends all processes that the scene started.
func (s *scene) end() {
	for _, h := range s.hosts {
		h.kill()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.servers {
		v.stop()
	}
}

// The bounds of the rule EXPOSURE, from the settings.
const (
	exposureShare = 0.1
	exposureSlack = 50
	rollbackTime  = 5 * time.Second
	badBefore     = 50
)

// exposure checks the rule EXPOSURE for a bad version: the requests that reached the service between the order and the time
// limit, and those that were sent later than rollbackTime after the 50th bad answer.
func (s *scene) exposure(version string, ordered, limit time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, exposed, bad, late := 0, 0, 0, 0
	var fiftieth time.Time
	for _, r := range s.runs {
		if r.version == version && r.bad {
			if bad++; bad == badBefore {
				fiftieth = r.arrived
			}
		}
		if r.version == version && !fiftieth.IsZero() && s.clients.sentOf(r.id).After(fiftieth.Add(rollbackTime)) {
			late++
		}
		if r.arrived.Before(ordered) || r.arrived.After(limit) {
			continue
		}
		all++
		if r.version == version {
			exposed++
		}
	}
	allowed := exposureShare*float64(all) + exposureSlack
	s.rec.say("EXPOSURE: the bad version got %d of the %d requests between the order and the time limit; %.0f are allowed", exposed, all, allowed)
	s.rec.say("EXPOSURE: %d bad answers; the 50th at %.3f; %d requests to it were sent later than %v after that", bad, s.rec.since(fiftieth), late, rollbackTime)
	// The version is good until it has all of the traffic, so that its part of the requests says nothing here.
	if late > 0 {
		return fmt.Errorf("EXPOSURE: %w", errBroken)
	}
	return nil
}

func (c *clients) sentOf(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentAt[id]
}
