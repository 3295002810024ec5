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
	// slotInterval is the time between two looks for a free slot.
	slotInterval = 5 * time.Millisecond
)

// streamPlan is how an endpoint runs a stream: as the query of the request says,
// ?events=N&gap=MS&size=BYTES&slots=N&queue=1&pause=MS&after=N&every=1&first=1&on=ID.
type streamPlan struct {
	events int
	// size is the least number of bytes of an event.
	size int
	// queue makes the run wait until the endpoint runs fewer streams than slots, before its first event and after each pause.
	queue bool
	// gap is the interval between events if the endpoint runs at most slots streams, and in proportion longer otherwise; no
	// slots mean that it is always the same.
	gap   time.Duration
	slots int
	// pause is how long the run is silent after its first events (after), or after every so many, at the endpoint on, or at all
	// if that is empty; with first, only a run that begins the stream.
	pause        time.Duration
	after        int
	every, first bool
	on           string
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
	p.size, _ = strconv.Atoi(q.Get("size"))
	p.queue, p.every, p.first = q.Get("queue") != "", q.Get("every") != "", q.Get("first") != ""
	return p
}

// interval returns the interval between events while the endpoint runs some streams.
func (p streamPlan) interval(running int) time.Duration {
	if p.slots == 0 || running <= p.slots {
		return p.gap
	}
	return p.gap * time.Duration(running) / time.Duration(p.slots)
}

// pausesNow reports whether a run pauses after its events so far.
func (p streamPlan) pausesNow(run *streamRun) bool {
	if p.pause == 0 || p.on != "" && p.on != run.Endpoint || p.first && run.From > 1 {
		return false
	}
	events := run.Last + 1 - run.From
	return events == p.after || p.every && p.after > 0 && events > 0 && events%p.after == 0
}

// span is a time, in Unix milliseconds.
type span struct {
	StartMillis int64 `json:"start"`
	EndMillis   int64 `json:"end"`
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
	// Idle holds the times in which the endpoint did not work on it: it waited for a slot, or paused.
	Idle []span `json:"idle"`
}

// idle runs f, during which the endpoint does not work on the run.
func (r *streamRun) idle(f func()) {
	s := span{StartMillis: time.Now().UnixMilli()}
	f()
	s.EndMillis = time.Now().UnixMilli()
	r.Idle = append(r.Idle, s)
}

// sendEvents answers a request with the events of a stream that follow the last one that its caller has.
func (s *siteServer) sendEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	plan := parsePlan(r.URL.Query())
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := &streamRun{Endpoint: s.id, From: last + 1, Last: last, StartMillis: time.Now().UnixMilli()}
	run.idle(func() { s.enter(r, plan) })
	padding := strings.Repeat("x", plan.size)
	for n := last + 1; n <= plan.events && r.Context().Err() == nil; n++ {
		s.pause(r, plan, run)
		if r.Context().Err() != nil {
			break
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s%s\n\n", n, s.id, padding)
		_ = http.NewResponseController(w).Flush()
		run.Last = n
		wait(r, plan.interval(int(s.streaming.Load())))
		if strings.HasSuffix(r.URL.Path, "/stuck") {
			hold(r.Context())
		}
	}
	s.streaming.Add(-1)
	run.Complete, run.EndMillis = r.Context().Err() == nil, time.Now().UnixMilli()
	s.site.mu.Lock()
	defer s.site.mu.Unlock()
	id := r.Header.Get("Dragonflyroute-Request-Id")
	s.site.streamRuns[id] = append(s.site.streamRuns[id], *run)
}

// pause waits as the plan asks for after the events of the run so far, without a slot, and while all endpoints are silent.
func (s *siteServer) pause(r *http.Request, plan streamPlan, run *streamRun) {
	if plan.pausesNow(run) {
		s.streaming.Add(-1)
		run.idle(func() {
			wait(r, plan.pause)
			s.enter(r, plan)
		})
	}
	if left := s.site.silenceLeft(); left > 0 {
		run.idle(func() { wait(r, left) })
	}
}

// enter takes a slot for a run, and waits for a free one if the plan asks for that.
func (s *siteServer) enter(r *http.Request, plan streamPlan) {
	for s.streaming.Add(1) > int32(plan.slots) && plan.queue && r.Context().Err() == nil {
		s.streaming.Add(-1)
		wait(r, slotInterval)
	}
}

// wait waits for a time or until the caller has left.
func wait(r *http.Request, d time.Duration) {
	select {
	case <-r.Context().Done():
	case <-time.After(d):
	}
}
