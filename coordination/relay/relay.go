// Package relay runs one model request to its end, over as many endpoints as it takes.
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
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/order"
	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
	"github.com/dragonflyroute/dragonflyroute/state/server"
)

const (
	// bytesPerToken is the mean length of a prompt's token.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt's leading part that routing matches.
	prefixBytes = 512
	// giveUp is how many times the answer limit an accepted request may take before it is given up.
	giveUp = 3
	// comeBack is the least time to come back after a refusal at the door.
	comeBack = time.Second
	// retryWait is the mean wait before an attempt after a failed one.
	retryWait = 25 * time.Millisecond
)

type engine interface {
	// Generate carries out one attempt and calls emit for each token; it returns when the stream has ended.
	Generate(ctx context.Context, s *server.Server, g order.Order, emit func(token string) error) error
}

type pool interface {
	Candidates(backend, version label.Name) []*server.Server
}

type steer interface {
	Choose(e *entry.Entry, m *move.Move, route string) (version label.Name, id string, isNew bool)
	Keep(e *entry.Entry, m *move.Move, version label.Name) (id string, isNew, ok bool)
}

type scores interface {
	Record(move, route string, isNew, bad bool)
}

type retries interface {
	Take() bool
	Succeed()
}

type catalogue interface {
	Current() *catlog.Catalogue
}

// Relay runs model requests.
//
// All methods may be called concurrently.
type Relay struct {
	// Engine reaches endpoints.
	Engine engine
	// Pool holds the endpoints.
	Pool pool
	// Steer chooses versions.
	Steer steer
	// Scores takes the evidence on moves.
	Scores scores
	// Retries bounds attempts after failures.
	Retries retries
	// Catalogue holds the moves.
	Catalogue catalogue
	// Picker chooses endpoints.
	Picker route.Picker
	// Now returns the time.
	Now func() time.Time
	// Trace starts a span for an attempt and returns the function that ends it.
	Trace func(ctx context.Context, name string, attempt int, s *server.Server) (context.Context, func(err error))
}

// Prefix returns the hash of the leading part of a prompt.
func Prefix(text string) uint64 {
	return xxhash.Sum64String(text[:min(len(text), prefixBytes)])
}

// Admit refuses a request that is not expected to be in time, with the time to come back.
func (r *Relay) Admit(t ticket.Ticket, e *entry.Entry) error {
	now := r.Now()
	j := &job{ticket: t, entry: e, started: now}
	n := j.need(now)
	best, slack := r.Picker.Pick(r.Pool.Candidates(e.Backend, e.Version), n, nil, now)
	if best == nil {
		return fault.New(kind.TooLate, "model", "no endpoint of %s version %s is usable", e.Backend, e.Version).After(comeBack)
	}
	if !route.InTime(n, slack) {
		return fault.New(kind.TooLate, "model", "the answer is expected to leave %s of its limits", slack.Round(time.Millisecond)).After(max(comeBack, -slack))
	}
	return nil
}

// Run generates the answer of t from its token offset on and calls emit for each further token and its version.
//
// begin is told how to read the request's ticket at any time. Endpoints that leave, fail or break are replaced;
// the answer goes on from the tokens already there. An error from emit ends the request and is returned.
func (r *Relay) Run(ctx context.Context, t ticket.Ticket, e *entry.Entry, begin func(snapshot func() ticket.Ticket), emit func(offset int, version label.Name, token string) error) error {
	j := &job{ticket: t, entry: e, started: r.Now(), emit: emit}
	j.ticket.Tokens = append([]string(nil), t.Tokens...)
	begin(j.snapshot)
	ctx, cancel := context.WithTimeout(ctx, giveUp*e.Limits.Answer.Of())
	defer cancel()
	var avoid *server.Server
	for j.left() > 0 {
		var err error
		avoid, err = r.step(ctx, j, avoid)
		if err != nil {
			return err
		}
	}
	return nil
}

// target is where an attempt goes and what it counts for.
type target struct {
	server *server.Server
	move   string
	isNew  bool
}

// choose returns the target of the next attempt, without a server when none can be used.
//
// An answer that has begun stays with its version while that one has endpoints and is not withdrawn.
func (r *Relay) choose(j *job, avoid *server.Server) target {
	m := r.moveOf(j.entry)
	if version, begun := j.version(); begun {
		if id, isNew, ok := r.Steer.Keep(j.entry, m, version); ok {
			if s := r.pick(j, version, avoid); s != nil {
				return target{server: s, move: id, isNew: isNew}
			}
		}
	}
	version, id, isNew := r.Steer.Choose(j.entry, m, string(j.entry.Name))
	return target{server: r.pick(j, version, avoid), move: id, isNew: isNew}
}

// pick returns the best endpoint of a version, the one to avoid only when there is no other.
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

// step makes one attempt; it returns the endpoint to avoid next, and an error only when the request is over.
func (r *Relay) step(ctx context.Context, j *job, avoid *server.Server) (*server.Server, error) {
	to := r.choose(j, avoid)
	if to.server == nil {
		return nil, r.pause(ctx, j)
	}
	j.begin(to.server.Row().Version)
	err := r.try(ctx, j, to.server)
	result := r.classify(err)
	if to.move != "" && result != moved && result != callerGone {
		r.Scores.Record(to.move, string(j.entry.Name), to.isNew, result == failed || r.late(j))
	}
	switch result {
	case finished:
		r.Retries.Succeed()
		return nil, nil
	case callerGone:
		return nil, err
	case failed:
		to.server.Failed(r.Now())
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

// late reports whether the answer, or its first token, missed the class's limit.
func (r *Relay) late(j *job) bool {
	limits := &j.entry.Limits
	if !j.first.IsZero() && j.first.Sub(j.started) > limits.FirstToken.Of() {
		return true
	}
	return r.Now().Sub(j.started) > limits.Answer.Of()
}

func (r *Relay) backOff(ctx context.Context, j *job) error {
	if r.Retries.Take() {
		return nil
	}
	return r.pause(ctx, j)
}

// pause waits a jittered moment, or ends the request when its time is up.
func (r *Relay) pause(ctx context.Context, j *job) error {
	wait := retryWait/2 + rand.N(retryWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return r.over(ctx, j)
	}
}

func (r *Relay) over(ctx context.Context, j *job) error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return fault.New(kind.TooLate, "", "given up after %s at token %d of %d", r.Now().Sub(j.started).Round(time.Millisecond), j.ticket.MaxTokens-j.left(), j.ticket.MaxTokens).After(time.Second)
	}
	var told *fault.Error
	if errors.As(context.Cause(ctx), &told) {
		return told
	}
	return fault.Wrap(kind.OutcomeUnknown, context.Cause(ctx), "the request was cancelled")
}
