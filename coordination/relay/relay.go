// Package relay generates the answer to one model request, retrying on further endpoints until it is complete.
package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/dragonflyroute/dragonflyroute/coordination/route"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/infer"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
	"github.com/dragonflyroute/dragonflyroute/state/server"
)

const (
	// bytesPerToken is the mean number of bytes of a prompt's token.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt's leading part that is hashed for prefix cache affinity.
	prefixBytes = 512
	// deadlineFactor times the answer limit is the deadline of an admitted request.
	deadlineFactor = 3
	// minRetryAfter is the shortest Retry-After of a request that was refused admission.
	minRetryAfter = time.Second
	// retryWait is the mean delay before a retry when there is no endpoint or no retry budget.
	retryWait = 25 * time.Millisecond
	// maxBrokenStarts is the number of endpoints in a row that may break off a request's answer before its first token: the
	// request itself may crash them.
	maxBrokenStarts = 3
)

type engine interface {
	// Generate sends one attempt to an endpoint and calls emit for each token; it returns when the stream has ended.
	Generate(ctx context.Context, s *server.Server, req infer.Request, emit func(token string) error) error
}

type pool interface {
	Candidates(backend, version label.Name) []*server.Server
}

type splitter interface {
	Choose(e *entry.Entry, m *move.Move, route string) (version label.Name, id string, isNew bool)
	MayContinue(e *entry.Entry, m *move.Move, version label.Name) (id string, isNew, ok bool)
}

type trialRecorder interface {
	Record(move, route string, isNew, bad bool)
}

type retries interface {
	Take() bool
	Deposit()
}

type catalogue interface {
	Current() *catlog.Catalogue
}

// Relay admits model requests and runs them with retries.
//
// All methods may be called concurrently.
type Relay struct {
	// Engine sends attempts to endpoints.
	Engine engine
	// Pool holds the endpoints.
	Pool pool
	// Splitter chooses the version of each attempt.
	Splitter splitter
	// Trials records the outcomes of attempts that count for a move.
	Trials trialRecorder
	// Retries is the retry budget for attempts after failures.
	Retries retries
	// Catalogue holds the moves.
	Catalogue catalogue
	// Picker chooses the endpoint of each attempt.
	Picker route.Picker
	// Now returns the time.
	Now func() time.Time
	// Trace starts a span for an attempt and returns the function that ends it.
	Trace func(ctx context.Context, name string, attempt int, s *server.Server) (context.Context, func(err error))
}

// PrefixHash returns the hash of the leading part of a prompt, the key of prefix cache affinity.
func PrefixHash(text string) uint64 {
	return xxhash.Sum64String(text[:min(len(text), prefixBytes)])
}

// Admit returns an error of kind TooLate, with a Retry-After, when the request is not expected to meet its limits.
func (r *Relay) Admit(t ticket.Ticket, e *entry.Entry) error {
	now := r.Now()
	j := &job{ticket: t, entry: e, started: now}
	n := j.need(now)
	best, slack := r.Picker.Pick(r.Pool.Candidates(e.Backend, e.Version), n, nil, now)
	if best == nil {
		return fault.New(kind.TooLate, "model", "no usable endpoint of back end %s, version %s", e.Backend, e.Version).WithRetryAfter(minRetryAfter)
	}
	if !route.InTime(n, slack) {
		return fault.New(kind.TooLate, "model", "the expected slack of the answer to its time limits is only %s", slack.Round(time.Millisecond)).WithRetryAfter(max(minRetryAfter, -slack))
	}
	return nil
}

// Run generates the answer to t from its token offset on and calls emit for each further token and its version.
//
// It calls onStart once with a function that returns the request's current ticket. When an endpoint leaves or fails,
// the next attempt continues from the tokens generated so far. An error from emit ends the request and is returned.
func (r *Relay) Run(ctx context.Context, t ticket.Ticket, e *entry.Entry, onStart func(snapshot func() ticket.Ticket), emit func(offset int, version label.Name, token string) error) error {
	j := &job{ticket: t, entry: e, started: r.Now(), emit: emit}
	j.ticket.Tokens = append([]string(nil), t.Tokens...)
	onStart(j.snapshot)
	ctx, cancel := context.WithTimeout(ctx, deadlineFactor*e.Limits.Answer.Duration())
	defer cancel()
	var avoid *server.Server
	for j.remainingTokens() > 0 {
		var err error
		avoid, err = r.step(ctx, j, avoid)
		if err != nil {
			return err
		}
	}
	return nil
}

// target is the endpoint of an attempt, and the move and version for which its outcome counts.
type target struct {
	server *server.Server
	move   string
	isNew  bool
}

// choose returns the target of the next attempt; its server is nil when no endpoint can be used.
//
// An answer with tokens stays with the version that generated them while it has endpoints and is not withdrawn.
func (r *Relay) choose(j *job, avoid *server.Server) target {
	m := r.moveOf(j.entry)
	if version, begun := j.version(); begun {
		if id, isNew, ok := r.Splitter.MayContinue(j.entry, m, version); ok {
			if s := r.pick(j, version, avoid); s != nil {
				return target{server: s, move: id, isNew: isNew}
			}
		}
	}
	version, id, isNew := r.Splitter.Choose(j.entry, m, string(j.entry.Name))
	return target{server: r.pick(j, version, avoid), move: id, isNew: isNew}
}

// pick returns the best endpoint of a version, or avoid when there is no other.
func (r *Relay) pick(j *job, version label.Name, avoid *server.Server) *server.Server {
	now := r.Now()
	n := j.need(now)
	candidates := r.Pool.Candidates(j.entry.Backend, version)
	s, _ := r.Picker.Pick(candidates, n, avoid, now)
	if s == nil {
		s, _ = r.Picker.Pick(candidates, n, nil, now)
	}
	return s
}

// step makes one attempt; it returns the endpoint that the next one avoids, and an error only when the request has
// ended.
func (r *Relay) step(ctx context.Context, j *job, avoid *server.Server) (*server.Server, error) {
	to := r.choose(j, avoid)
	if to.server == nil {
		return nil, r.waitRetry(ctx, j)
	}
	j.setVersion(to.server.Row().Version)
	before := j.remainingTokens()
	err := r.attempt(ctx, j, to.server)
	result := r.classify(err)
	j.countBrokenStart(err, j.remainingTokens() < before)
	if to.move != "" && result != moved && result != callerGone {
		r.Trials.Record(to.move, string(j.entry.Name), to.isNew, result == failed || r.late(j))
	}
	switch result {
	case finished:
		r.Retries.Deposit()
		return nil, nil
	case callerGone:
		return nil, err
	case failed:
		to.server.RecordFailure(r.Now())
		if j.brokenStarts >= maxBrokenStarts {
			return nil, fault.Wrap(kind.OutcomeUnknown, err, "%d endpoints broke off the answer before its first token", j.brokenStarts)
		}
		return to.server, r.backOff(ctx, j)
	default:
		return to.server, nil
	}
}

func (r *Relay) moveOf(e *entry.Entry) *move.Move {
	c := r.Catalogue.Current()
	if c == nil {
		return nil
	}
	return c.Move(e.Name)
}

// late reports whether the answer, or its first token, missed the entry's limit.
func (r *Relay) late(j *job) bool {
	limits := &j.entry.Limits
	if !j.firstTokenAt.IsZero() && j.firstTokenAt.Sub(j.started) > limits.FirstToken.Duration() {
		return true
	}
	return r.Now().Sub(j.started) > limits.Answer.Duration()
}

func (r *Relay) backOff(ctx context.Context, j *job) error {
	if r.Retries.Take() {
		return nil
	}
	return r.waitRetry(ctx, j)
}

// waitRetry waits for the retry delay with jitter; it returns an error when the request ends first.
func (r *Relay) waitRetry(ctx context.Context, j *job) error {
	wait := retryWait/2 + rand.N(retryWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return r.contextError(ctx, j)
	}
}

func (r *Relay) contextError(ctx context.Context, j *job) error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return fault.New(kind.TooLate, "", "request aborted at its deadline after %s, at token %d of %d", r.Now().Sub(j.started).Round(time.Millisecond), j.ticket.MaxTokens-j.remainingTokens(), j.ticket.MaxTokens).WithRetryAfter(time.Second)
	}
	var cause *fault.Error
	if errors.As(context.Cause(ctx), &cause) {
		return cause
	}
	return fault.Wrap(kind.OutcomeUnknown, context.Cause(ctx), "request cancelled")
}
