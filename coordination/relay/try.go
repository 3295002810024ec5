package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/coordination/stay"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/order"
	"github.com/dragonflyroute/dragonflyroute/state/server"
)

//go:generate stringer -type=result

// result is how an attempt ended.
type result uint8

const (
	// finished generated the whole answer.
	finished result = iota
	// moved left an endpoint that had too little notice left.
	moved
	// failed lost the endpoint, or was refused by it.
	failed
	// callerGone ended because the caller did.
	callerGone
)

// tokenQueue bounds the tokens between an endpoint and a slow caller.
const tokenQueue = 64

// callerError carries an error of emit through the attempt.
type callerError struct{ error }

// Unwrap returns emit's error.
func (e callerError) Unwrap() error { return e.error }

// errMoved ends an attempt on an endpoint that leaves.
var errMoved = fault.New(kind.Unavailable, "", "the endpoint leaves before the answer would be whole")

// errStalled ends an attempt on an endpoint that is frozen or cut off.
var errStalled = fault.New(kind.Unavailable, "", "the endpoint sent no token in time")

// errShort ends an attempt whose stream stopped early.
var errShort = fault.New(kind.Unavailable, "", "the stream ended before the answer was whole")

func (r *Relay) classify(err error) result {
	var gone callerError
	switch {
	case err == nil:
		return finished
	case err == error(errMoved):
		return moved
	case errors.As(err, &gone):
		return callerGone
	default:
		return failed
	}
}

// try runs one attempt on s until the answer is whole, the endpoint leaves too early, or something breaks.
//
// Tokens of one attempt come from one stream that ends with it, so a token of an older attempt can't be taken.
func (r *Relay) try(ctx context.Context, j *job, s *server.Server) (err error) {
	o := order.Order{
		ID:        j.ticket.ID,
		Attempt:   j.attempt(),
		Model:     string(s.Row().Version),
		Text:      j.text(),
		MaxTokens: j.left(),
		Class:     j.entry.Class,
		KeptBy:    j.keptBy,
		Extra:     j.ticket.Extra,
	}
	j.keptBy = ""
	o.Prefix = Prefix(j.ticket.Prompt)
	o.PrefixChance = s.Cached().Chance(o.Prefix, r.Now())
	ctx, end := r.Trace(ctx, "endpoint-attempt", o.Attempt, s)
	defer func() { end(err) }()
	s.Begin(j.entry.Class, r.Now())
	defer s.End(j.entry.Class)
	s.Cached().Remember(o.Prefix, r.Now())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tokens := make(chan string, tokenQueue)
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer close(tokens)
		return r.Engine.Generate(gctx, s, o, func(token string) error { return offer(gctx, tokens, token) })
	})
	err = r.consume(ctx, j, s, tokens)
	cancel()
	generateErr := g.Wait()
	if err == nil && generateErr != nil && j.left() > 0 {
		err = generateErr
	}
	if err == nil && j.left() > 0 {
		err = errShort
	}
	return err
}

func offer(ctx context.Context, tokens chan<- string, token string) error {
	select {
	case tokens <- token:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (r *Relay) consume(ctx context.Context, j *job, s *server.Server, tokens <-chan string) error {
	left := s.Left()
	stall := time.NewTimer(j.patience())
	defer stall.Stop()
	for {
		select {
		case token, ok := <-tokens:
			if !ok || j.left() == 0 {
				return nil
			}
			if err := r.accept(j, token); err != nil {
				return err
			}
			stall.Reset(j.patience())
		case <-stall.C:
			return errStalled
		case <-left:
			if !r.finishes(j, s) {
				j.keptBy = s.Row().Address
				return errMoved
			}
			left = nil
		case <-ctx.Done():
			return callerError{r.over(ctx, j)}
		}
	}
}

func (r *Relay) accept(j *job, token string) error {
	if j.first.IsZero() {
		j.first = r.Now()
	}
	offset, version := j.add(token)
	if err := j.emit(offset, version, token); err != nil {
		return callerError{err}
	}
	return nil
}

const (
	// firstPatience is how many times the first-token limit an endpoint may take.
	firstPatience = 2
	// tokenPatience is how many times the between-tokens limit an endpoint may take for one token.
	tokenPatience = 40
)

// patience returns how long the endpoint may take for the next token before the attempt is made elsewhere.
func (j *job) patience() time.Duration {
	if j.first.IsZero() {
		return firstPatience * j.entry.Limits.FirstToken.Of()
	}
	return tokenPatience * j.entry.Limits.BetweenTokens.Of()
}

// finishes reports whether the rest of the answer fits well into the leaving endpoint's notice.
func (r *Relay) finishes(j *job, s *server.Server) bool {
	l := s.Load()
	if l == nil || j.first.IsZero() {
		return false
	}
	return stay.Finishes(j.left(), l.TokenTime, s.Notice(r.Now()))
}
