// Package pass takes one opaque request to its end, over as many endpoints as it may take.
package pass

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/choose"
	"github.com/dragonflyroute/dragonflyroute/coordination/pilot"
	"github.com/dragonflyroute/dragonflyroute/protocol/ending"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/mode"
	"github.com/dragonflyroute/dragonflyroute/protocol/tried"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	// noEndpointWait is the time to come back when a back end has no endpoint that may be used.
	noEndpointWait = 500 * time.Millisecond
	// fullWait is the time to come back when endpoints refused the request.
	fullWait = 150 * time.Millisecond
	// leaveWait is the time to come back to another host when this one stops.
	leaveWait = 50 * time.Millisecond
	// patiencePart is the part of the time left that an endpoint may take before a repeatable request goes elsewhere.
	patiencePart = 0.4
	// stopMargin is how many times its expected time a stream must have at a host that stops.
	stopMargin = 1.25
	// sureShared is the largest shared part of a prompt, in terms of what is to be read, with which a request still shows how
	// fast an engine reads though it is not known what the engine had kept.
	sureShared = 0.3
)

type exchange interface {
	// Attempt sends the request to one endpoint and passes its answer on. The endpoint fetches what donor knows of the
	// prompt, unless donor is nil; resume is the event to go on after, empty for a first attempt. begun is called at the
	// first part of an answer.
	Attempt(ctx context.Context, t, donor *target.Target, resume string, begun func()) tried.Tried
	// Deliver passes on the failure answer that an attempt held back; it reports whether there was one.
	Deliver() bool
}

type endpoints interface {
	Of(backend label.Name) []*target.Target
}

type retries interface {
	// Pay pays in for one request to a back end.
	Pay(backend label.Name)
	// Take spends one more arrival at a back end and reports whether the budget allowed it.
	Take(backend label.Name) bool
}

type speed interface {
	// Add takes the time to the first token of a request that had to wait for no other.
	Add(backend label.Name, tokens int64, first time.Duration)
	// First returns the expected time to the first token when the given number of tokens must be read before it.
	First(backend label.Name, tokens int64) time.Duration
}

type flow interface {
	// Add counts tokens that go to a back end.
	Add(backend label.Name, tokens int64, now time.Time)
}

type pace interface {
	// Observe takes the time that an answered request of a route took.
	Observe(route label.Name, took time.Duration)
	// Longest returns about the longest time that a request of the route took lately.
	Longest(route label.Name) time.Duration
	// ObserveStream takes the time from the first token to the end of a stream of a back end, and the tokens that it might generate.
	ObserveStream(backend label.Name, took time.Duration, tokens int64)
	// Stream returns about the longest time from the first token on of a stream that may generate a number of tokens.
	Stream(backend label.Name, tokens int64) time.Duration
}

type starts interface {
	// Began counts a request that an endpoint began to run.
	Began(w *work.Work, now time.Time)
}

// Pass decides where each attempt of a request goes, whether there is another, and the final answer.
//
// All methods may be called concurrently.
type Pass struct {
	// Endpoints holds the endpoints.
	Endpoints endpoints
	// Pilot chooses between versions while a back end is moved.
	Pilot *pilot.Pilot
	// Choice chooses among them.
	Choice *choose.Choice
	// Retries bounds further arrivals.
	Retries retries
	// Usage counts requests that ran.
	Usage starts
	// Speed knows how fast engines read prompts.
	Speed speed
	// Flow counts the prompt tokens that go to back ends.
	Flow flow
	// Pace knows how long requests take.
	Pace pace
	// Leaving reports whether the process is stopping, and the time left to it.
	Leaving func() (leaving bool, left time.Duration)
	// Now returns the time.
	Now func() time.Time
	// Log takes one line for each request.
	Log hclog.Logger
}

// trip is one request on its way.
type trip struct {
	work *work.Work
	used map[*target.Target]bool
	// arrivals counts the attempts of which bytes may have reached an endpoint.
	arrivals int
	// ran tells that some attempt may have run.
	ran   bool
	begun bool
	last  tried.Tried
	first time.Duration
	// at is the endpoint of the last attempt.
	at *target.Target
}

// Run makes attempts until the caller has an answer, and returns the failure to tell the caller, nil when it has one.
func (p *Pass) Run(ctx context.Context, w *work.Work, x exchange) error {
	if err := p.stays(w); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, w.Until)
	defer cancel()
	p.Retries.Pay(w.Backend)
	j := &trip{work: w, used: map[*target.Target]bool{}}
	for {
		again, err := p.step(ctx, j, x)
		if !again {
			p.log(j, err)
			return err
		}
	}
}

// stays refuses a request that is not expected to end before the process does.
func (p *Pass) stays(w *work.Work) error {
	leaving, left := p.Leaving()
	if !leaving || left > p.atMost(w) {
		return nil
	}
	p.Log.Info("request refused", "id", w.ID, "route", w.Path.Name, "left-ms", left.Milliseconds(), "reason", "the host stops before the request is expected to end")
	return fault.New(kind.Draining, "", "the host stops before the request is expected to end").After(leaveWait)
}

// atMost returns the time in which a request is expected to end. A stream takes as long as what it may generate: few of a
// route's streams have been seen when a host stops soon after its start.
func (p *Pass) atMost(w *work.Work) time.Duration {
	stream := time.Duration(stopMargin * float64(w.Path.Target+p.Pace.Stream(w.Backend, w.OutTokens)))
	if w.OutTokens == 0 {
		stream = w.Path.Target
	}
	return max(stream, p.Pace.Longest(w.Path.Name))
}

// step makes one attempt and reports whether there shall be another.
func (p *Pass) step(ctx context.Context, j *trip, x exchange) (again bool, err error) {
	now := p.Now()
	version := p.Pilot.Choose(j.work)
	to := p.Choice.Pick(version.Filter(p.Endpoints.Of(j.work.Backend)), j.work, func(t *target.Target) bool { return j.used[t] }, now)
	t := to.Target
	if t == nil && to.Wait > 0 {
		return false, p.final(ctx, j, x, "all endpoints of the back end asked for a pause", to.Wait)
	}
	if t == nil {
		return false, p.final(ctx, j, x, "no endpoint of the back end may be used", noEndpointWait)
	}
	if !j.ran && now.Add(to.First).After(j.work.Until) {
		return false, p.final(ctx, j, x, "no endpoint is expected to begin in time", fullWait)
	}
	if j.arrivals > 0 && !p.Retries.Take(j.work.Backend) {
		return false, p.final(ctx, j, x, "the retry budget is spent", fullWait)
	}
	j.used[t] = true
	j.at = t
	j.last = p.attempt(ctx, j, t, to.Donor, to.Unread, x)
	p.Pilot.Record(version, t, j.work, j.last)
	if j.last.Sent {
		j.arrivals++
	}
	if !j.last.Ending.Unrun() {
		j.ran = true
	}
	return p.next(ctx, j, x)
}

// attempt sends the request to one endpoint.
func (p *Pass) attempt(ctx context.Context, j *trip, t, donor *target.Target, unread int64, x exchange) tried.Tried {
	now := p.Now()
	_, ahead := t.Busy(now)
	p.Flow.Add(j.work.Backend, unread, now)
	begun, done := t.Begin(j.work, unread, now)
	defer done()
	if limit, ok := p.patience(j, now); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, limit, errPatience)
		defer cancel()
	}
	r := x.Attempt(ctx, t, donor, j.last.Last, func() {
		begun()
		t.Progress(p.Now())
		p.began(j)
	})
	now = p.Now()
	t.Observe(r, p.expected(j.work, ahead+unread), now)
	if ahead == 0 && r.First > 0 && unread > 0 && (donor == nil || float64(j.work.Shared()) < sureShared*float64(unread)) {
		p.Speed.Add(j.work.Backend, unread, r.First)
	}
	p.note(j, t, r, now)
	return r
}

// expected returns the time to the first token of a prompt, nought for other requests.
func (p *Pass) expected(w *work.Work, tokens int64) time.Duration {
	if w.PromptTokens == 0 {
		return 0
	}
	return p.Speed.First(w.Backend, tokens)
}

// errPatience ends an attempt at an endpoint that takes too long.
var errPatience = fault.New(kind.Unavailable, "", "the endpoint took too long")

// patience returns how long an attempt of a repeatable request may take while there may be another.
func (p *Pass) patience(j *trip, now time.Time) (limit time.Duration, ok bool) {
	w := j.work
	if w.Path.Mode != mode.Idempotent || j.arrivals+1 >= w.Path.Attempts {
		return 0, false
	}
	return time.Duration(patiencePart * float64(w.Until.Sub(now))), true
}

func (p *Pass) began(j *trip) {
	if !j.begun {
		j.begun = true
		j.first = p.Now().Sub(j.work.Came)
		p.Usage.Began(j.work, p.Now())
	}
}

// note records what the attempt says of the endpoint.
func (p *Pass) note(j *trip, t *target.Target, r tried.Tried, now time.Time) {
	switch r.Ending {
	case ending.Moved:
		t.Leave()
	case ending.Unknown, ending.Broken:
		t.Fail(now)
		p.began(j)
	case ending.NotRun:
		// A pause that the endpoint asked for is no failure.
		if !t.Resting(now) && !t.Leaving() {
			t.Fail(now)
		}
	case ending.Failed:
		p.began(j)
	case ending.Delivered, ending.Gone:
	}
}

// next decides after an attempt whether there is another, and the failure otherwise.
func (p *Pass) next(ctx context.Context, j *trip, x exchange) (again bool, err error) {
	switch j.last.Ending {
	case ending.Delivered:
		took := p.Now().Sub(j.work.Came)
		p.Pace.Observe(j.work.Path.Name, took)
		if j.work.OutTokens > 0 && j.begun {
			p.Pace.ObserveStream(j.work.Backend, took-j.first, j.work.OutTokens)
		}
		return false, nil
	case ending.Gone:
		return false, fault.New(kind.OutcomeUnknown, "", "the caller left")
	case ending.NotRun, ending.Moved:
		if ctx.Err() == nil && j.arrivals < j.work.Path.Attempts {
			return true, nil
		}
		return false, p.final(ctx, j, x, j.last.Reason, fullWait)
	case ending.Broken:
		if ctx.Err() == nil && j.work.Path.Mode == mode.Resumable && j.arrivals < j.work.Path.Attempts {
			return true, nil
		}
		return false, p.final(ctx, j, x, j.last.Reason, 0)
	case ending.Failed, ending.Unknown:
		if ctx.Err() == nil && j.work.Path.Mode.Repeatable() && j.arrivals < j.work.Path.Attempts {
			return true, nil
		}
		return false, p.final(ctx, j, x, j.last.Reason, 0)
	}
	return false, p.final(ctx, j, x, j.last.Reason, 0)
}

// final returns the failure to tell the caller: not-run only when no attempt can have run.
func (p *Pass) final(ctx context.Context, j *trip, x exchange, reason string, wait time.Duration) error {
	if x.Deliver() {
		return nil
	}
	if !j.ran {
		return fault.New(kind.NotRun, "", "%s", reason).After(wait)
	}
	if ctx.Err() != nil {
		return fault.New(kind.OutcomeUnknown, "", "the time is over: %s", reason)
	}
	return fault.New(kind.OutcomeUnknown, "", "%s", reason)
}

// log writes the request's line.
func (p *Pass) log(j *trip, err error) {
	now := p.Now()
	line := []any{
		"id", j.work.ID, "route", j.work.Path.Name, "backend", j.work.Backend, "account", j.work.Account, "revision", j.work.Revision,
		"took-ms", now.Sub(j.work.Came).Milliseconds(), "first-ms", j.first.Milliseconds(),
		"attempts", len(j.used), "arrivals", j.arrivals, "ending", j.last.Ending.String(), "status", j.last.Status,
	}
	if j.at != nil {
		running, prefill := j.at.Busy(now)
		line = append(line, "endpoint", j.at.Row().ID, "endpoint-running", running, "endpoint-unread-tokens", prefill)
	}
	if err != nil {
		line = append(line, "reason", err.Error())
	}
	p.Log.Info("request ended", line...)
}
