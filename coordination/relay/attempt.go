package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/coordination/drain"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/infer"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/state/server"
)

//go:generate stringer -type=result

// result is the outcome of an attempt.
type result uint8

const (
	// finished is an attempt that completed the answer.
	finished result = iota
	// moved is an attempt that ended early because too little of the endpoint's notice was left; it is no failure.
	moved
	// failed is an attempt that the endpoint refused, broke off or stalled.
	failed
	// callerGone is an attempt that ended with the request: its context was done or emit returned an error.
	callerGone
)

// tokenQueue is the number of tokens that are buffered between an endpoint and a slow caller.
const tokenQueue = 64

// callerError marks an error that ends the whole request, not just the attempt.
type callerError struct{ error }

// Unwrap returns the error that ended the request.
func (e callerError) Unwrap() error { return e.error }

// errLeaving ends an attempt on a leaving endpoint whose notice is too short for the rest of the answer.
var errLeaving = fault.New(kind.Unavailable, "", "the endpoint leaves before the answer can be completed")

// errStalled ends an attempt on an endpoint that sent no token within the token timeout, such as a frozen or
// partitioned one.
var errStalled = fault.New(kind.Unavailable, "", "the endpoint sent no token within the token timeout")

// errTruncated ends an attempt whose stream ended without an error before the answer was complete.
var errTruncated = fault.New(kind.Unavailable, "", "the stream ended before the answer was complete")

func (r *Relay) classify(err error) result {
	var gone callerError
	switch {
	case err == nil:
		return finished
	case err == error(errLeaving):
		return moved
	case errors.As(err, &gone):
		return callerGone
	default:
		return failed
	}
}

// attempt runs one attempt on s until the answer is complete, the endpoint leaves too early, or the attempt fails.
//
// Each attempt has a stream and a channel of its own, so a late token of an earlier attempt is never accepted.
func (r *Relay) attempt(ctx context.Context, j *job, s *server.Server) (err error) {
	req := infer.Request{
		ID:        j.ticket.ID,
		Attempt:   j.nextAttempt(),
		Model:     string(s.Row().Version),
		Text:      j.text(),
		MaxTokens: j.remainingTokens(),
		Class:     j.entry.Class,
		KVSource:  j.kvSource,
		Extra:     j.ticket.Extra,
	}
	j.kvSource = ""
	req.Prefix = PrefixHash(j.ticket.Prompt)
	req.PrefixProbability = s.Cached().Probability(req.Prefix, r.Now())
	ctx, end := r.Trace(ctx, "endpoint-attempt", req.Attempt, s)
	defer func() { end(err) }()
	s.Begin(j.entry.Class, r.Now())
	defer s.End(j.entry.Class)
	s.Cached().RecordSent(req.Prefix, r.Now())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tokens := make(chan string, tokenQueue)
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer close(tokens)
		return r.Engine.Generate(gctx, s, req, func(token string) error { return enqueue(gctx, tokens, token) })
	})
	err = r.consume(ctx, j, s, tokens)
	cancel()
	generateErr := g.Wait()
	if err == nil && generateErr != nil && j.remainingTokens() > 0 {
		err = generateErr
	}
	if err == nil && j.remainingTokens() > 0 {
		err = errTruncated
	}
	return err
}

func enqueue(ctx context.Context, tokens chan<- string, token string) error {
	select {
	case tokens <- token:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (r *Relay) consume(ctx context.Context, j *job, s *server.Server, tokens <-chan string) error {
	leaving := s.Left()
	stall := time.NewTimer(j.tokenTimeout())
	defer stall.Stop()
	for {
		select {
		case token, ok := <-tokens:
			if !ok || j.remainingTokens() == 0 {
				return nil
			}
			if err := r.accept(j, token); err != nil {
				return err
			}
			stall.Reset(j.tokenTimeout())
		case <-stall.C:
			return errStalled
		case <-leaving:
			if !r.finishesInNotice(j, s) {
				j.kvSource = s.Row().Address
				return errLeaving
			}
			leaving = nil
		case <-ctx.Done():
			return callerError{r.contextError(ctx, j)}
		}
	}
}

func (r *Relay) accept(j *job, token string) error {
	if j.firstTokenAt.IsZero() {
		j.firstTokenAt = r.Now()
	}
	offset, version := j.addToken(token)
	if err := j.emit(offset, version, token); err != nil {
		return callerError{err}
	}
	return nil
}

const (
	// firstTokenTimeoutFactor times the first-token limit is the timeout of an endpoint's first token.
	firstTokenTimeoutFactor = 2
	// tokenTimeoutFactor times the between-tokens limit is the timeout of each later token.
	tokenTimeoutFactor = 40
)

// tokenTimeout returns how long the endpoint may take for the next token before the request is retried elsewhere.
func (j *job) tokenTimeout() time.Duration {
	if j.firstTokenAt.IsZero() {
		return firstTokenTimeoutFactor * j.entry.Limits.FirstToken.Duration()
	}
	return tokenTimeoutFactor * j.entry.Limits.BetweenTokens.Duration()
}

// finishesInNotice reports whether the rest of the answer is expected to fit into the leaving endpoint's notice.
func (r *Relay) finishesInNotice(j *job, s *server.Server) bool {
	l := s.Load()
	if l == nil || j.firstTokenAt.IsZero() {
		return false
	}
	return drain.FitsNotice(j.remainingTokens(), l.TokenTime, s.Notice(r.Now()))
}
