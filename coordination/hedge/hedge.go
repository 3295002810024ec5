// Package hedge sends hedged requests: further attempts of an idempotent call when earlier ones are slow or fail.
package hedge

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
)

type retries interface {
	// Take takes one retry from the budget and reports whether the budget allowed it.
	Take() bool
}

// Hedge runs concurrent attempts of one call and returns the first answer.
//
// It may be used for idempotent calls only. Its methods may be called concurrently.
type Hedge struct {
	// Delay is the time without an answer after which another attempt is started beside the running ones.
	Delay time.Duration
	// Retries is the retry budget; every attempt after the first is charged to it, whether it hedges or follows a failure.
	Retries retries
	// Max is the largest number of attempts of one call.
	Max int
}

type result struct {
	answer claim.Claim
	err    error
}

// Do calls attempt with n 0, and again with 1 and so on when an attempt fails, and once when there is no answer after
// Delay. The first answer is returned and cancels the other attempts; when all attempts fail, the last error is
// returned.
func (h *Hedge) Do(ctx context.Context, attempt func(ctx context.Context, n int) (claim.Claim, error)) (claim.Claim, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, h.Max)
	var g errgroup.Group
	started, pending := 0, 0
	start := func() {
		n := started
		started, pending = started+1, pending+1
		g.Go(func() error {
			answer, err := attempt(ctx, n)
			results <- result{answer: answer, err: err}
			return nil
		})
	}
	start()
	timer := time.NewTimer(h.Delay)
	defer timer.Stop()
	for {
		select {
		case got := <-results:
			pending--
			if got.err == nil {
				return got.answer, nil
			}
			if h.mayStart(ctx, started) {
				start()
			} else if pending == 0 {
				return claim.Claim{}, got.err
			}
		case <-timer.C:
			if h.mayStart(ctx, started) {
				start()
			}
		}
	}
}

func (h *Hedge) mayStart(ctx context.Context, started int) bool {
	return ctx.Err() == nil && started < h.Max && h.Retries.Take()
}
