package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/mode"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/result"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	// suspectGaps is the time without an event after which an endpoint counts as failing in the choice for other requests, in
	// multiples of the route's longest acceptable gap between events.
	suspectGaps = 3
	// Callers give up a stream after the longest of minPatience, patienceGaps times the route's longest acceptable gap and
	// patienceLatencies times its target latency without an event.
	minPatience       = 2 * time.Second
	patienceGaps      = 8
	patienceLatencies = 4
	// streamMoveFraction is the fraction of a caller's patience after which a silent stream may be continued at another
	// endpoint: a sound endpoint may be silent for a second or so, and the rest is for the other endpoint to begin.
	streamMoveFraction = 0.7
	// callMoveFraction is the fraction of the time left for an idempotent request after which a silent attempt may be
	// abandoned in favour of another endpoint.
	callMoveFraction = 0.4
	// moveRetryInterval is the time between two looks whether a silent request can be sent elsewhere, and maxLookInterval the
	// longest time between two looks at an attempt.
	moveRetryInterval = 200 * time.Millisecond
	maxLookInterval   = 2 * time.Second
	// lastMoveFraction is the fraction of the last part of a drain, at its end, in which a stream that has been silent since
	// before it goes on elsewhere: most silences end by themselves, and the other endpoint needs time to begin.
	lastMoveFraction = 0.5
)

// errSilent ends an attempt at a silent endpoint once the request can be sent elsewhere.
var errSilent = fault.New(kind.Unavailable, "", "the endpoint was silent, and another one takes the request")

// silence watches one attempt of a request that may be sent elsewhere. It never ends the attempt of one that can't be: an
// endpoint that is silent may go on.
type silence struct {
	proxy *Proxy
	job   *job
	x     exchange
	// target is the endpoint of the attempt.
	target *target.Target
	// suspectAfter and moveAfter are the times of silence after which the endpoint counts as failing, and after which the
	// request may be sent elsewhere.
	suspectAfter, moveAfter time.Duration
	// gap is the silence of a stream that its callers accept, 0 for a call.
	gap time.Duration
	// end ends the attempt.
	end context.CancelCauseFunc
	// kept is why the request could not be sent elsewhere at the first try in the present silence, nil if it was not tried.
	kept atomic.Pointer[string]
	// early is set once the request was sent elsewhere before the endpoint counted as failing.
	early atomic.Bool
	// progressAt is when the endpoint last showed progress, in Unix nanoseconds, 0 while silence does not count yet.
	progressAt atomic.Int64
}

// watchFor returns the watch of an attempt that begins now, nil for one that is never sent elsewhere.
func (p *Proxy) watchFor(j *job, t *target.Target, x exchange, now time.Time) *silence {
	w := j.work
	s := &silence{proxy: p, job: j, target: t, x: x}
	switch {
	case w.Route.Mode == mode.Idempotent && j.arrivals+1 < w.Route.MaxAttempts:
		s.moveAfter = time.Duration(callMoveFraction * float64(w.Deadline.Sub(now)))
		s.suspectAfter = s.moveAfter
		s.progressAt.Store(now.UnixNano())
	case w.Route.Mode == mode.Resumable && w.Route.TargetGap > 0:
		s.suspectAfter = suspectGaps * w.Route.TargetGap
		s.moveAfter = max(s.suspectAfter, time.Duration(streamMoveFraction*float64(patience(w.Route))))
		s.gap = w.Route.TargetGap
		if j.lastResult.LastEventID != "" {
			s.progressAt.Store(now.UnixNano())
		}
	default:
		return nil
	}
	return s
}

// patience returns the time without an event after which callers give up a stream of a route.
func patience(r *path.Route) time.Duration {
	return max(minPatience, patienceGaps*r.TargetGap, patienceLatencies*r.TargetLatency)
}

// run makes an attempt and watches it until it ends; without a watch it only makes it.
func (s *silence) run(ctx context.Context, attempt func(ctx context.Context) result.Result) result.Result {
	if s == nil {
		return attempt(ctx)
	}
	ctx, s.end = context.WithCancelCause(ctx)
	var g errgroup.Group
	g.Go(func() error {
		s.watch(ctx)
		return nil
	})
	r := attempt(ctx)
	s.end(nil)
	_ = g.Wait()
	return r
}

// progress records that the endpoint sends parts of its answer.
func (s *silence) progress() {
	if s != nil {
		s.progressAt.Store(s.proxy.Now().UnixNano())
		s.kept.Store(nil)
	}
}

// lasted returns for how long the endpoint has been silent, 0 without a watch.
func (s *silence) lasted() time.Duration {
	if s == nil {
		return 0
	}
	at := s.progressAt.Load()
	if at == 0 {
		return 0
	}
	return s.proxy.Now().Sub(time.Unix(0, at))
}

// watch looks at the attempt until ctx ends or the request can be sent elsewhere.
func (s *silence) watch(ctx context.Context) {
	timer := time.NewTimer(s.untilLook(0))
	defer timer.Stop()
	suspected := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if s.x.Writing() {
			s.progress()
		}
		lasted := s.lasted()
		suspected = s.suspect(lasted, suspected)
		if lasted < s.allowed() {
			timer.Reset(s.untilLook(lasted))
			continue
		}
		if s.move(ctx) {
			return
		}
		timer.Reset(moveRetryInterval)
	}
}

// allowed returns the silence after which the request may be sent elsewhere at present. Shortly before begun answers are cut
// off, that of a stream is one which began before the last part of the drain: its endpoint would not be at work in all of it.
func (s *silence) allowed() time.Duration {
	if until, draining := s.untilLastMove(); s.gap == 0 || !draining || until > 0 {
		return s.moveAfter
	}
	left, last := s.proxy.untilCut()
	return min(s.moveAfter, max(s.gap, last-left))
}

// untilLook returns the time until the next look at an attempt whose silence has lasted for some time, and is allowed.
func (s *silence) untilLook(lasted time.Duration) time.Duration {
	left := min(maxLookInterval, s.allowed()-lasted)
	if lasted < s.suspectAfter {
		left = min(left, s.suspectAfter-lasted)
	}
	if until, draining := s.untilLastMove(); draining && until > 0 {
		left = min(left, until)
	}
	return left
}

// untilLastMove returns the time until the end of the drain in which silent streams go on elsewhere, and whether the process is
// draining.
func (s *silence) untilLastMove() (until time.Duration, draining bool) {
	if draining, _ = s.proxy.Draining(); !draining {
		return 0, false
	}
	left, last := s.proxy.untilCut()
	return left - time.Duration(lastMoveFraction*float64(last)), true
}

// suspect reports whether the silence is so long that the endpoint counts as failing, and records that once for each
// silence.
func (s *silence) suspect(lasted time.Duration, already bool) bool {
	if lasted < s.suspectAfter {
		return false
	}
	if !already {
		s.target.RecordFailure(s.proxy.Now())
		s.proxy.Count("silent_attempts_total", 1)
	}
	return true
}

// move ends the attempt if the request can be sent elsewhere, and reports whether it did.
func (s *silence) move(ctx context.Context) bool {
	next, reason := s.proxy.chooseElsewhere(ctx, s.job, s.x)
	if next == nil {
		s.kept.CompareAndSwap(nil, &reason)
	}
	if next == nil || s.lasted() < s.allowed() || s.x.Writing() {
		return false
	}
	s.job.next = next
	s.early.Store(s.lasted() < s.suspectAfter)
	s.proxy.Count("silent_attempts_moved_total", 1)
	s.proxy.Log.Info("endpoint is silent; the request goes on elsewhere", "id", s.job.work.ID, "endpoint", s.target.Row().ID, "silent-ms", s.lasted().Milliseconds(),
		"next-endpoint", next.target.Row().ID, "arrivals", s.job.arrivals+1)
	s.end(errSilent)
	return true
}

// movedEarly reports whether the request was sent elsewhere before the endpoint counted as failing; false without a watch.
func (s *silence) movedEarly() bool { return s != nil && s.early.Load() }

// keptReason returns why the request could not be sent elsewhere at the first try in the present silence, empty if it was not
// tried.
func (s *silence) keptReason() string {
	if s == nil || s.kept.Load() == nil {
		return ""
	}
	return *s.kept.Load()
}

// chooseElsewhere chooses the endpoint to which a request goes on whose attempt is in progress, and takes what the next
// attempt needs. It returns nil and the reason if there is none at which it is as safe: the next attempt may be the last one.
func (p *Proxy) chooseElsewhere(ctx context.Context, j *job, x exchange) (next *choice, reason string) {
	switch {
	case ctx.Err() != nil:
		return nil, "the request has ended"
	case j.arrivals+1 >= j.work.Route.MaxAttempts:
		return nil, "the route allows no further attempt"
	case !x.CanResume():
		return nil, "no other endpoint can continue the answer"
	case !p.fitsElsewhere(j):
		return nil, "the host stops before another endpoint is expected to end the answer"
	}
	next, refused := p.choose(ctx, j, j.arrivals+1, true)
	if refused != nil {
		return nil, refused.reason
	}
	return next, ""
}

// fitsElsewhere reports whether a draining process has the time for another attempt of a request: until it is expected to end, or
// for a stream that is cut off anyway, until it is expected to go on, which the choice of the endpoint decides.
func (p *Proxy) fitsElsewhere(j *job) bool {
	draining, left := p.Draining()
	if !draining || p.expectedDuration(j.work) < left {
		return true
	}
	untilCut, last := p.untilCut()
	return untilCut <= time.Duration(lastMoveFraction*float64(last)) && j.work.Route.Mode == mode.Resumable
}

// untilCut returns the time until a draining process cuts begun answers off, and the length of the last part of the drain: that in
// which an endpoint is to be at work on each of them.
func (p *Proxy) untilCut() (left, last time.Duration) {
	_, left = p.Draining()
	return left + p.CutDelay, p.LastPart()
}

// answerBy returns when the answer to a request must go on: before its deadline, and before a draining process cuts it off.
func (p *Proxy) answerBy(j *job, now time.Time) time.Time {
	draining, _ := p.Draining()
	left, _ := p.untilCut()
	if j.work.Route.Mode != mode.Resumable {
		left -= p.CutDelay
	}
	if draining && now.Add(left).Before(j.work.Deadline) {
		return now.Add(left)
	}
	return j.work.Deadline
}

// isSound reports whether an endpoint has not failed since its last progress, and has room for another request without a
// permit.
func isSound(t *target.Target, now time.Time) bool {
	failures, _ := t.Failures(now)
	running, _ := t.Outstanding(now)
	slots := t.Slots()
	return failures == 0 && !t.Limit.InForce() && (slots == 0 || running < slots)
}
