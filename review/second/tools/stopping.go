package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// graceTime is the grace period of the settings, and lastPart its last sixth.
	graceTime = 8 * time.Second
	lastPart  = graceTime / 6
	// openStreams is the number of streams that are open at the host that stops.
	openStreams = 40
	// preemptAfter is the time from SIGTERM until one server preempts its streams, and preemptFor how long.
	preemptAfter = 6 * time.Second
	preemptFor   = 1900 * time.Millisecond
	summaryGap   = 100 * time.Millisecond
	summaryTime  = 15 * time.Second
)

// dossierSummary is a long stream that may be resumed.
var dossierSummary = requestKind{
	method: http.MethodPost, path: "/summary/", perSecond: 15.6, deadline: summaryTime, body: strings.Repeat("p", 12_000), patience: 4 * time.Second, events: 120,
	header: map[string]string{"Dragonflyroute-Model": "m", "Dragonflyroute-Token-Usage": "11992,480"},
}

func summaryRoute() map[string]any {
	return map[string]any{
		"name": "dossier-summary", "host": hostName, "prefix": dossierSummary.path, "kind": "streaming", "resumable": true, "sticky": true,
		"timeoutMs": summaryTime.Milliseconds(), "targetLatencyMs": 1000, "targetGapMs": 300, "priority": 1, "service": lmService, "maxAttempts": 2,
	}
}

// lastEvents holds when a server last sent an event of each stream.
type lastEvents struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (l *lastEvents) record(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at[id] = time.Now()
}

// stopping plays the planned stop of a host with open streams, at the end of which one of the servers preempts its streams.
func stopping(ctx context.Context, s *scene) error {
	s.configure(3, append(routes(), summaryRoute()), services())
	answers := func(path string) manner {
		if path == dossierSummary.path {
			return manner{first: answerFirst, gap: summaryGap, events: dossierSummary.events}
		}
		return sound(path)
	}
	if err := s.startServers(lmService, "v1", 1, answers); err != nil {
		return err
	}
	last := &lastEvents{at: map[string]time.Time{}}
	for _, v := range s.ofVersion(lmService, "v1") {
		v.onEvent = func(id string, _ int) { last.record(id) }
	}
	if err := s.startHosts("usage_report"); err != nil {
		return err
	}
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	go s.clients.run(traffic, adviserAnswer)
	if !wait(ctx, 5*time.Second) {
		return ctx.Err()
	}
	host := s.hosts[0]
	var streams sync.WaitGroup
	outcomes := make([]outcome, openStreams)
	for i := range openStreams {
		streams.Go(func() { outcomes[i] = s.clients.send(host.front, dossierSummary) })
		wait(ctx, 20*time.Millisecond)
	}
	if !wait(ctx, time.Second) {
		return ctx.Err()
	}
	term := time.Now()
	s.rec.say("platform: SIGTERM to %s with %d open streams", host.name, openStreams)
	if err := host.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.AfterFunc(graceTime, host.kill)
	if s.trouble {
		time.AfterFunc(preemptAfter, func() {
			v := s.ofVersion(lmService, "v1")[0]
			v.preempted.Store(time.Now().Add(preemptFor).UnixNano())
			s.rec.say("server %s preempts its streams for %v", v.id, preemptFor)
		})
	}
	streams.Wait()
	stopTraffic()
	s.clients.running.Wait()
	return s.lost(outcomes, last, term)
}

// lost checks the rule LOST around a SIGTERM: streams whose channel ended without a complete answer, though neither the client had
// left nor the time was up, and on which no server was at work in the last sixth of the grace period.
func (s *scene) lost(outcomes []outcome, last *lastEvents, term time.Time) error {
	whole, atWork, lost := 0, 0, 0
	for _, o := range outcomes {
		ended := o.sent.Add(o.took)
		switch {
		case o.whole:
			whole++
		case o.left || o.status == http.StatusServiceUnavailable || o.took >= summaryTime:
		case last.at[o.id].After(term.Add(graceTime - lastPart)):
			atWork++
		default:
			lost++
			s.rec.say("LOST: stream %s ended at %.3f without its end, %v after its last event", o.id, s.rec.since(ended), ended.Sub(last.at[o.id]).Round(time.Millisecond))
		}
	}
	s.rec.say("LOST: of %d streams %d were whole, %d were cut with a server at work in the last sixth of graceS, %d were lost", len(outcomes), whole, atWork, lost)
	if lost > 0 {
		return fmt.Errorf("LOST: %w", errBroken)
	}
	return nil
}
