// Package hedge sends a second attempt of an idempotent call when the first one is slow.
package hedge

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
)

type retries interface {
	// Take spends one retry and reports whether the budget allowed it.
	Take() bool
}

// Hedge races attempts of one call.
//
// Only calls that may be repeated may be given to it. Its methods may be called concurrently.
type Hedge struct {
	// Delay is the time after which a silent attempt gets a second one beside it.
	Delay time.Duration
	// Retries bounds further attempts, after slowness and after failures alike.
	Retries retries
	// Max bounds the attempts of one call.
	Max int
}

type outcome struct {
	answer claim.Claim
	err    error
}

// Do calls attempt with 0, and with 1 and so on when an attempt fails or is silent for Delay; the first answer wins
// and cancels the others. It returns the last error when no attempt brought an answer.
func (h *Hedge) Do(ctx context.Context, attempt func(ctx context.Context, n int) (claim.Claim, error)) (claim.Claim, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan outcome, h.Max)
	var g errgroup.Group
	started, open := 0, 0
	start := func() {
		n := started
		started, open = started+1, open+1
		g.Go(func() error {
			answer, err := attempt(ctx, n)
			results <- outcome{answer: answer, err: err}
			return nil
		})
	}
	start()
	timer := time.NewTimer(h.Delay)
	defer timer.Stop()
	for {
		select {
		case got := <-results:
			open--
			if got.err == nil {
				return got.answer, nil
			}
			if h.more(ctx, started) {
				start()
			} else if open == 0 {
				return claim.Claim{}, got.err
			}
		case <-timer.C:
			if h.more(ctx, started) {
				start()
			}
		}
	}
}

func (h *Hedge) more(ctx context.Context, started int) bool {
	return ctx.Err() == nil && started < h.Max && h.Retries.Take()
}
