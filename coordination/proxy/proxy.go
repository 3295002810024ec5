// Package proxy forwards opaque requests to endpoints and decides when to retry them.
package proxy

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/canary"
	"github.com/dragonflyroute/dragonflyroute/coordination/choose"
	"github.com/dragonflyroute/dragonflyroute/protocol/ending"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/mode"
	"github.com/dragonflyroute/dragonflyroute/protocol/result"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	// noEndpointRetryAfter is the Retry-After when a back end has no usable endpoint.
	noEndpointRetryAfter = 500 * time.Millisecond
	// refusedRetryAfter is the Retry-After when endpoints refused the request or none may be tried.
	refusedRetryAfter = 150 * time.Millisecond
	// drainRetryAfter is the Retry-After of a draining host; the caller should retry at another one.
	drainRetryAfter = 50 * time.Millisecond
	// maxRefusedPermits is the number of refused permits after which a request is not sent to endpoints with a request limit.
	maxRefusedPermits = 4
	// drainMargin times its expected duration must be left at a draining host for a stream to be accepted.
	drainMargin = 1.25
	// cutMinLeft is the fraction of a drain that must be left for a request to be accepted whose answer would be cut off by the
	// stop, and whose deadline comes after it.
	cutMinLeft = 0.8
	// maxSharedRatio is the largest ratio of a prompt's shared tokens to its tokens to prefill with which a request
	// that fetches KV blocks from a donor still counts as a sample of prefill speed: how much of the shared part the
	// engine had cached is unknown.
	maxSharedRatio = 0.3
	// minConnectTime is the least time that an endpoint has for accepting a connection: an attempt that this process ends
	// sooner does not show that it accepts none.
	minConnectTime = 250 * time.Millisecond
)

type exchange interface {
	// Attempt sends the request to endpoint t and forwards its answer. The endpoint fetches the KV cache of the prompt
	// from donor, unless donor is nil. resume is the id of the event after which a stream continues, empty for a first
	// attempt. begun is called at the first part of an answer, and whenever further parts of it arrive.
	Attempt(ctx context.Context, t, donor *target.Target, resume string, begun func()) result.Result
	// Writing reports whether a part of the answer is being written to the caller, which may be slow to read it. It may be called
	// during an attempt.
	Writing() bool
	// CanResume reports whether another endpoint can continue the answer after the part that the caller has. It may be called
	// during an attempt.
	CanResume() bool
	// Deliver sends the caller the error response that an attempt held back; it reports whether there was one.
	Deliver() bool
}

type endpoints interface {
	ByBackend(backend label.Name) []*target.Target
}

type retries interface {
	// Deposit credits the retry budget of a back end for one request.
	Deposit(backend label.Name)
	// Take debits the retry budget of a back end for one further arrival and reports whether it allowed it.
	Take(backend label.Name) bool
}

type speed interface {
	// Add records the time to first token of a request that had no others queued ahead of it.
	Add(backend label.Name, tokens int64, first time.Duration)
	// TimeToFirstToken returns the expected time to first token after a prefill of the given number of tokens.
	TimeToFirstToken(backend label.Name, tokens int64) time.Duration
}

type flow interface {
	// Add counts prompt tokens sent to a back end.
	Add(backend label.Name, tokens int64, now time.Time)
}

type durations interface {
	// Observe records the duration of an answered request of a route.
	Observe(route label.Name, took time.Duration)
	// Longest returns the approximate longest duration of recent requests of the route.
	Longest(route label.Name) time.Duration
	// ObserveStream records the time from the first token of a stream to its end, with its limit of generated tokens.
	ObserveStream(backend label.Name, took time.Duration, tokens int64)
	// LongestStream returns the approximate longest time from first token to end of a stream that may generate the given
	// tokens.
	LongestStream(backend label.Name, tokens int64) time.Duration
}

type permits interface {
	// Take obtains a permit for one request to an endpoint that limits its requests, and reports whether it got one. Without
	// one, the endpoint is not chosen until another may be had.
	Take(ctx context.Context, t *target.Target) bool
}

type prompts interface {
	// Admit returns an empty reason if a request may be sent at present, and otherwise why not and the time until it may
	// be worth a retry.
	Admit(w *work.Request) (wait time.Duration, reason string)
	// Begin is Admit for an attempt that is about to be made.
	Begin(w *work.Request) (wait time.Duration, reason string)
	// Ended records the result of an attempt; begun is when the first part of its answer arrived, zero if none did.
	Ended(w *work.Request, t *target.Target, r result.Result, begun time.Time)
}

type usageCounter interface {
	// RecordBegun counts a request that an endpoint started to run.
	RecordBegun(w *work.Request, now time.Time)
}

// Proxy chooses the endpoint of each attempt of a request, decides on retries and returns the final error.
//
// All methods may be called concurrently.
type Proxy struct {
	// Endpoints lists the endpoints of a back end.
	Endpoints endpoints
	// Canary chooses the version while the traffic of a back end is moved.
	Canary *canary.Canary
	// Balancer chooses the endpoint of each attempt.
	Balancer *choose.Balancer
	// Retries is the retry budget of each back end.
	Retries retries
	// Permits keeps the request limits of endpoints.
	Permits permits
	// Prompts keeps requests whose prompt crashes endpoints from further ones.
	Prompts prompts
	// Usage counts the requests of each account that endpoints started to run.
	Usage usageCounter
	// Speed estimates the prefill speed of engines.
	Speed speed
	// Flow counts the prompt tokens sent to back ends.
	Flow flow
	// Durations estimates the duration of requests.
	Durations durations
	// Draining reports whether the process is draining, and the time until it ends its requests.
	Draining func() (draining bool, left time.Duration)
	// DrainPeriod returns the time from the order to stop until the process ends its requests.
	DrainPeriod func() time.Duration
	// OnExit has end called when the process is about to exit and every request needs its final answer. The function that
	// it returns takes that back.
	OnExit func(end func()) (remove func() bool)
	// OnCut is OnExit for streams that have begun: they get no other answer, and end later, by CutDelay.
	OnCut    func(end func()) (remove func() bool)
	CutDelay time.Duration
	// LastPart returns the time, before streams that have begun are cut off, in which an endpoint is to be at work on each.
	LastPart func() time.Duration
	// Now returns the time.
	Now func() time.Time
	// Count adds to a counter of the process.
	Count func(name string, n int64)
	// Log gets one line for each request.
	Log hclog.Logger

	// progressAt is when an endpoint last sent a part of an answer, in Unix nanoseconds.
	progressAt atomic.Int64
}

// inTouchTime is how long after a part of an answer this process counts as in touch with endpoints. It is shorter than the time
// after which a connection counts as not accepted.
const inTouchTime = 900 * time.Millisecond

// InTouch reports whether some endpoint has sent this process a part of an answer a moment ago.
func (p *Proxy) InTouch(now time.Time) bool {
	return now.UnixNano()-p.progressAt.Load() < inTouchTime.Nanoseconds()
}

// job is the state of one request in progress.
type job struct {
	work      *work.Request
	attempted map[*target.Target]bool
	// refusedPermits counts the permits that were not granted.
	refusedPermits int
	// arrivals counts the attempts of which bytes may have reached an endpoint.
	arrivals int
	// paid is set while the retry budget was debited for the next arrival.
	paid bool
	// next is the choice for the next attempt, nil while there is none.
	next *choice
	// mayHaveRun is true once an endpoint may have run the request.
	mayHaveRun   bool
	startCounted bool
	// streaming is set once the answer is a stream that has begun.
	streaming   atomic.Bool
	lastResult  result.Result
	timeToFirst time.Duration
	// lastEndpoint is the endpoint of the last attempt, nil before the first, and lastDonor the one from which it fetched KV
	// cache, nil for none.
	lastEndpoint, lastDonor *target.Target
	// lastStart is when the last attempt began.
	lastStart time.Time
	// lastWatch is the watch of the last attempt, nil if that was not watched.
	lastWatch *silence
}

// Run makes attempts until the caller has an answer or the request fails. It returns nil when an answer was delivered,
// and otherwise the error to answer with.
func (p *Proxy) Run(ctx context.Context, w *work.Request, x exchange) error {
	if err := p.admitWhileDraining(w); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, w.Deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	p.Retries.Deposit(w.Backend)
	j := &job{work: w, attempted: map[*target.Target]bool{}}
	defer p.endAtExit(j, func() { end(errExit) })()
	for {
		again, err := p.step(ctx, j, x)
		if !again {
			p.log(j, err, p.cutFields(ctx, j, err))
			return err
		}
	}
}

// endAtExit has end called when the process is about to exit: at the time for final answers, or later if the answer is a stream
// that has begun by then. The function that it returns takes that back.
func (p *Proxy) endAtExit(j *job, end func()) (remove func()) {
	removeExit := p.OnExit(func() {
		if !j.streaming.Load() {
			end()
		}
	})
	removeCut := p.OnCut(end)
	return func() {
		removeExit()
		removeCut()
	}
}

// errExit ends the requests of a process that is about to exit.
var errExit = fault.New(kind.Draining, "", "the host stops")

// cutByExit reports whether a request's context has ended because the process is about to exit.
func cutByExit(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errExit) }

// admitWhileDraining returns an error of kind Draining for a request that a draining process should not accept. The deadline
// of one that it accepts is at the latest when the process ends its requests, so that its endpoint does not work past that.
func (p *Proxy) admitWhileDraining(w *work.Request) error {
	draining, left := p.Draining()
	if !draining {
		return nil
	}
	stop := p.Now().Add(left)
	if p.fitsDrain(w, left, stop) {
		if stop.Before(w.Deadline) {
			w.Deadline = stop
		}
		return nil
	}
	p.Log.Info("request refused", "id", w.ID, "route", w.Route.Name, "left-ms", left.Milliseconds(), "reason", "the host stops before the request is expected to end")
	return fault.New(kind.Draining, "", "the host stops before the request is expected to end").WithRetryAfter(drainRetryAfter)
}

// fitsDrain reports whether a request may be accepted although the process ends its requests in the time left, at stop. Late in
// the drain, the deadline of one that must not be cut off must come first: what is expected of its duration may be wrong.
func (p *Proxy) fitsDrain(w *work.Request, left time.Duration, stop time.Time) bool {
	if mustNotBeCut(w.Route.Mode) && !w.Deadline.After(stop) {
		return true
	}
	if mustNotBeCut(w.Route.Mode) && left < time.Duration(cutMinLeft*float64(p.DrainPeriod())) {
		return false
	}
	return p.expectedDuration(w) < left
}

// mustNotBeCut reports whether the stop of the process may cost a caller a request of a mode: it may not be repeated, or its
// answer is a stream, which breaks off once it has begun. Other requests get an error answer and can be sent again.
func mustNotBeCut(m mode.Mode) bool { return m != mode.Idempotent }

// expectedDuration returns an upper estimate of a request's duration. A stream is estimated from the tokens that it may
// generate, and not only from the route's longest recent request: a host that stops soon after its start has seen few
// streams of a route.
func (p *Proxy) expectedDuration(w *work.Request) time.Duration {
	stream := time.Duration(drainMargin * float64(w.Route.TargetLatency+p.Durations.LongestStream(w.Backend, w.OutTokens)))
	if w.OutTokens == 0 {
		stream = w.Route.TargetLatency
	}
	return max(stream, p.Durations.Longest(w.Route.Name))
}

// step makes one attempt and reports whether to make another.
func (p *Proxy) step(ctx context.Context, j *job, x exchange) (again bool, err error) {
	next := j.next
	j.next = nil
	if next == nil {
		var refused *refusal
		if next, refused = p.choose(ctx, j, j.arrivals, false); refused != nil {
			return p.refuse(ctx, j, x, refused)
		}
	}
	j.attempted[next.target] = true
	j.lastEndpoint, j.lastDonor = next.target, next.donor
	paid := j.paid
	j.paid = false
	j.recordAttempt(next.target, p.attempt(ctx, j, next, x))
	j.paid = j.paid || paid && !j.lastResult.Sent
	if !j.endedByStop(ctx) {
		next.recordTrial(j.work, j.lastResult)
	}
	return p.decide(ctx, j, x)
}

// recordAttempt records the result of an attempt at an endpoint.
func (j *job) recordAttempt(t *target.Target, r result.Result) {
	j.lastResult = r
	if r.Sent {
		j.arrivals++
	}
	if r.Withheld {
		delete(j.attempted, t)
	}
	if !r.Ending.NotExecuted() {
		j.mayHaveRun = true
	}
}

// excluded reports whether the job must not be sent to an endpoint: it was sent there before, or permits for other ones
// were refused so often that another refusal would cost too much time.
func (j *job) excluded(t *target.Target) bool {
	return j.attempted[t] || j.refusedPermits >= maxRefusedPermits && t.Limit.InForce()
}

// attempt sends the request to one endpoint and records what the result shows about the endpoint.
func (p *Proxy) attempt(ctx context.Context, j *job, c *choice, x exchange) result.Result {
	t, donor, prefillTokens := c.target, c.donor, c.prefillTokens
	now := p.Now()
	j.lastStart = now
	_, ahead := t.Outstanding(now)
	if c.grant.ID != 0 {
		ahead = c.aheadTokens
	}
	p.Flow.Add(j.work.Backend, prefillTokens, now)
	begun, done := t.Begin(j.work, prefillTokens, now)
	defer done()
	p.countLimited(t, donor)
	watch := p.watchFor(j, t, x, now)
	j.lastWatch = watch
	var answerBegun time.Time
	send := func(ctx context.Context) result.Result {
		return x.Attempt(ctx, t, donor, j.lastResult.LastEventID, func() {
			begun()
			if answerBegun.IsZero() {
				answerBegun = p.Now()
				p.Balancer.Begun(c.grant, answerBegun.Sub(now), t.Slowness(answerBegun))
			}
			t.RecordProgress(p.Now())
			p.progressAt.Store(p.Now().UnixNano())
			t.Warmup.Answered(p.Now())
			p.countStart(j)
			j.streaming.Store(j.work.Route.Mode.Streams())
			watch.progress()
		})
	}
	r := watch.run(ctx, send)
	p.Prompts.Ended(j.work, t, r, answerBegun)
	now = p.Now()
	t.Observe(r, p.expectedFirstToken(j.work, ahead+prefillTokens), now)
	if ahead == 0 && r.TimeToFirst > 0 && prefillTokens > 0 && (donor == nil || float64(j.work.SharedTokens()) < maxSharedRatio*float64(prefillTokens)) {
		p.Speed.Add(j.work.Backend, prefillTokens, r.TimeToFirst)
	}
	p.Balancer.Ended(c.grant, p.recordResult(ctx, j, t, r, now))
	return r
}

// countLimited counts an attempt that uses an endpoint with a request limit, itself or as a donor of KV cache, or one that is
// cold.
func (p *Proxy) countLimited(t, donor *target.Target) {
	if t.Warmup.Cold(p.Now()) {
		p.Count("cold_requests_total", 1)
	}
	if t.Limit.InForce() {
		p.Count("limited_requests_total", 1)
	}
	if donor != nil && donor.Limit.InForce() {
		p.Count("limited_donors_total", 1)
	}
}

// expectedFirstToken returns the expected time to first token of a prompt, zero for plain requests.
func (p *Proxy) expectedFirstToken(w *work.Request, tokens int64) time.Duration {
	if w.PromptTokens == 0 {
		return 0
	}
	return p.Speed.TimeToFirstToken(w.Backend, tokens)
}

func (p *Proxy) countStart(j *job) {
	if !j.startCounted {
		j.startCounted = true
		j.timeToFirst = p.Now().Sub(j.work.Received)
		p.Usage.RecordBegun(j.work, p.Now())
	}
}

// endedByStop reports whether the stop of the process, and not the endpoint, is why the last attempt ended early.
func (j *job) endedByStop(ctx context.Context) bool {
	return cutByExit(ctx) || j.lastWatch.movedEarly()
}

// recordResult updates the endpoint's state and the usage count from the result of an attempt, and reports whether the
// endpoint has failed. An attempt that the stop of this process has ended does not count against the endpoint.
func (p *Proxy) recordResult(ctx context.Context, j *job, t *target.Target, r result.Result, now time.Time) (failed bool) {
	switch r.Ending {
	case ending.AddressReused:
		t.MarkLeaving()
	case ending.Unknown, ending.Truncated:
		failed = !j.endedByStop(ctx)
		p.countStart(j)
	case ending.NotRun:
		// An endpoint that asked for a pause, is leaving or is at its request limit has not failed.
		failed = !r.Withheld && !t.Paused(now) && !t.Leaving() && !j.endedByStop(ctx)
		if failed {
			p.recordRefusal(ctx, j, t, r, now)
		}
	case ending.Failed:
		p.countStart(j)
	case ending.Delivered, ending.CallerGone:
	}
	if failed {
		t.RecordFailure(now)
	}
	return failed
}

// recordRefusal records that an endpoint may have been restarted if it did not accept a connection.
func (p *Proxy) recordRefusal(ctx context.Context, j *job, t *target.Target, r result.Result, now time.Time) {
	endedHere := ctx.Err() != nil || j.next != nil
	if r.Sent || r.Status != 0 || endedHere && now.Sub(j.lastStart) < minConnectTime || !t.Warmup.Refused(now) {
		return
	}
	p.Log.Info("endpoint accepts no connections; it may be cold when it does again", "endpoint", t.Row().ID, "backend", t.Row().Backend, "reason", r.Reason)
}

// decide returns whether to make another attempt after the last one, and otherwise the error to answer with.
func (p *Proxy) decide(ctx context.Context, j *job, x exchange) (again bool, err error) {
	switch j.lastResult.Ending {
	case ending.Delivered:
		took := p.Now().Sub(j.work.Received)
		p.Durations.Observe(j.work.Route.Name, took)
		if j.work.OutTokens > 0 && j.startCounted {
			p.Durations.ObserveStream(j.work.Backend, took-j.timeToFirst, j.work.OutTokens)
		}
		return false, nil
	case ending.CallerGone:
		return false, fault.New(kind.OutcomeUnknown, "", "the caller disconnected")
	case ending.NotRun, ending.AddressReused:
		if ctx.Err() == nil && j.arrivals < j.work.Route.MaxAttempts {
			return true, nil
		}
		return false, p.finalError(ctx, j, x, j.lastResult.Reason, refusedRetryAfter)
	case ending.Truncated:
		if ctx.Err() == nil && !j.lastResult.Final && j.work.Route.Mode == mode.Resumable && j.arrivals < j.work.Route.MaxAttempts {
			return true, nil
		}
		return false, p.finalError(ctx, j, x, j.lastResult.Reason, 0)
	case ending.Failed, ending.Unknown:
		if ctx.Err() == nil && j.work.Route.Mode.Repeatable() && j.arrivals < j.work.Route.MaxAttempts {
			return true, nil
		}
		return false, p.finalError(ctx, j, x, j.lastResult.Reason, 0)
	}
	return false, p.finalError(ctx, j, x, j.lastResult.Reason, 0)
}

// finalError returns the error to answer with, nil when a held-back error response was delivered instead. Its kind is
// NotRun or Draining only when no attempt can have run.
func (p *Proxy) finalError(ctx context.Context, j *job, x exchange, reason string, wait time.Duration) error {
	if x.Deliver() {
		return nil
	}
	if !j.mayHaveRun && cutByExit(ctx) {
		return fault.New(kind.Draining, "", "the host stops: %s", reason).WithRetryAfter(drainRetryAfter)
	}
	if !j.mayHaveRun {
		return fault.New(kind.NotRun, "", "%s", reason).WithRetryAfter(wait)
	}
	if cutByExit(ctx) {
		return fault.New(kind.OutcomeUnknown, "", "the host stops: %s", reason)
	}
	if ctx.Err() != nil {
		return fault.New(kind.OutcomeUnknown, "", "the request's deadline passed: %s", reason)
	}
	return fault.New(kind.OutcomeUnknown, "", "%s", reason)
}

// cutFields returns the fields of the log line of an answer that the stop of the process cuts off after its beginning, nil for
// another one, and counts it. They tell whether its endpoint was at work, and
// why the stream did not go on at another one.
func (p *Proxy) cutFields(ctx context.Context, j *job, err error) []any {
	if err == nil || !j.startCounted || !j.work.Route.Mode.Streams() || !cutByExit(ctx) {
		return nil
	}
	silent := j.lastWatch.lasted()
	p.Count("cut_streams_total", 1)
	if j.work.Route.TargetGap > 0 && silent > j.work.Route.TargetGap {
		p.Count("cut_silent_streams_total", 1)
	}
	return []any{"cut-by-stop", true, "silent-ms", silent.Milliseconds(), "kept", j.lastWatch.keptReason()}
}

// log writes the request's log line, with further fields.
func (p *Proxy) log(j *job, err error, fields []any) {
	now := p.Now()
	line := []any{
		"id", j.work.ID, "route", j.work.Route.Name, "backend", j.work.Backend, "account", j.work.Account, "revision", j.work.Revision,
		"took-ms", now.Sub(j.work.Received).Milliseconds(), "first-ms", j.timeToFirst.Milliseconds(),
		"attempts", len(j.attempted), "arrivals", j.arrivals, "ending", j.lastResult.Ending.String(), "status", j.lastResult.Status,
	}
	line = append(line, endpointFields(j, now)...)
	if err != nil {
		line = append(line, "reason", err.Error(), "broken-off", j.lastResult.Broken, "shared-parts", partNames(j.work.Shared))
	}
	line = append(line, fields...)
	p.Log.Info("request ended", line...)
}

// partNames returns the hashes of prompt parts in hexadecimal, separated by spaces.
func partNames(hashes []uint64) string {
	names := make([]string, 0, len(hashes))
	for _, hash := range hashes {
		names = append(names, strconv.FormatUint(hash, 16))
	}
	return strings.Join(names, " ")
}

// endpointFields returns the fields of a request's log line that describe the endpoint of its last attempt.
func endpointFields(j *job, now time.Time) []any {
	if j.lastEndpoint == nil {
		return nil
	}
	running, prefill := j.lastEndpoint.Outstanding(now)
	out := []any{"endpoint", j.lastEndpoint.Row().ID, "endpoint-running", running, "endpoint-unread-tokens", prefill}
	if perSecond, limited := j.lastEndpoint.Limit.PerSecond(); limited {
		out = append(out, "endpoint-limit", perSecond)
	}
	if j.lastDonor != nil {
		out = append(out, "donor", j.lastDonor.Row().ID)
	}
	return out
}
