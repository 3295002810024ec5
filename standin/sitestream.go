package main

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// The events of a stream and the interval between them, unless the request names others.
const (
	eventPeriod  = 20 * time.Millisecond
	streamEvents = 12
)

// streamPlan is how an endpoint runs a stream: as the query of the request says,
// ?events=N&gap=MS&slots=N&pause=MS&after=N&on=ID.
type streamPlan struct {
	events int
	// gap is the interval between events if the endpoint runs at most slots streams, and in proportion longer otherwise; no
	// slots mean that it is always the same.
	gap   time.Duration
	slots int
	// pause is how long the run is silent after its first events (after), at the endpoint on, or at all if that is empty.
	pause time.Duration
	after int
	on    string
}

func parsePlan(q url.Values) streamPlan {
	p := streamPlan{events: streamEvents, gap: eventPeriod, on: q.Get("on")}
	if n, err := strconv.Atoi(q.Get("events")); err == nil {
		p.events = n
	}
	if ms, err := strconv.Atoi(q.Get("gap")); err == nil {
		p.gap = time.Duration(ms) * time.Millisecond
	}
	p.slots, _ = strconv.Atoi(q.Get("slots"))
	ms, _ := strconv.Atoi(q.Get("pause"))
	p.pause = time.Duration(ms) * time.Millisecond
	p.after, _ = strconv.Atoi(q.Get("after"))
	return p
}

// interval returns the interval between events while the endpoint runs some streams.
func (p streamPlan) interval(running int) time.Duration {
	if p.slots == 0 || running <= p.slots {
		return p.gap
	}
	return p.gap * time.Duration(running) / time.Duration(p.slots)
}

// streamRun is a run of a stream that has ended.
type streamRun struct {
	Endpoint string `json:"endpoint"`
	// From and Last are the numbers of the first event and of the last one that was sent.
	From int `json:"from"`
	Last int `json:"last"`
	// Complete is set if the run ended by itself.
	Complete bool `json:"complete"`
	// StartMillis and EndMillis are when it started and ended, in Unix milliseconds.
	StartMillis int64 `json:"start"`
	EndMillis   int64 `json:"end"`
}

// sendEvents answers a request with the events of a stream that follow the last one that its caller has.
func (s *siteServer) sendEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	plan := parsePlan(r.URL.Query())
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.streaming.Add(1)
	defer s.streaming.Add(-1)
	run := streamRun{Endpoint: s.id, From: last + 1, Last: last, StartMillis: time.Now().UnixMilli()}
	for n := last + 1; n <= plan.events && r.Context().Err() == nil; n++ {
		if plan.pause > 0 && n == last+1+plan.after && (plan.on == "" || plan.on == s.id) {
			wait(r, plan.pause)
			if r.Context().Err() != nil {
				break
			}
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, s.id)
		_ = http.NewResponseController(w).Flush()
		run.Last = n
		wait(r, plan.interval(int(s.streaming.Load())))
		if strings.HasSuffix(r.URL.Path, "/stuck") {
			hold(r.Context())
		}
	}
	run.Complete, run.EndMillis = r.Context().Err() == nil, time.Now().UnixMilli()
	s.site.mu.Lock()
	defer s.site.mu.Unlock()
	id := r.Header.Get("Dragonflyroute-Request-Id")
	s.site.streamRuns[id] = append(s.site.streamRuns[id], run)
}

// wait waits for a time or until the caller has left.
func wait(r *http.Request, d time.Duration) {
	select {
	case <-r.Context().Done():
	case <-time.After(d):
	}
}
