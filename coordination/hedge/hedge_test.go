package hedge_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	_ "github.com/onsi/ginkgo/v2" // registers the flags with which all tests are run
	"github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/budget"
	"github.com/dragonflyroute/dragonflyroute/coordination/hedge"
	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// scripted is the scripted outcome of one attempt.
type scripted struct {
	takes time.Duration
	fails bool
}

// runHedged runs one call whose attempts have the given outcomes, on a virtual clock.
func runHedged(t *testing.T, retries float64, outcomes ...scripted) (answer claim.Claim, took time.Duration, attempts int, err error) {
	var begun atomic.Int64
	synctest.Test(t, func(*testing.T) {
		h := &hedge.Hedge{Delay: 100 * time.Millisecond, Retries: &budget.Budget{Max: func() float64 { return retries }}, Max: 3}
		started := time.Now()
		answer, err = h.Do(context.Background(), func(ctx context.Context, n int) (claim.Claim, error) {
			begun.Add(1)
			timer := time.NewTimer(outcomes[n].takes)
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-ctx.Done():
				return claim.Claim{}, ctx.Err()
			}
			if outcomes[n].fails {
				return claim.Claim{}, fault.New(kind.Unavailable, "", "attempt %d", n)
			}
			return claim.Claim{Status: 200 + n}, nil
		})
		took = time.Since(started)
	})
	return answer, took, int(begun.Load()), err
}

func TestHedge(t *testing.T) {
	for name, c := range map[string]struct {
		retries  float64
		outcomes []scripted
		status   int
		took     time.Duration
		attempts int
	}{
		"quick":            {10, []scripted{{takes: 20 * time.Millisecond}}, 200, 20 * time.Millisecond, 1},
		"slow first":       {10, []scripted{{takes: time.Second}, {takes: 30 * time.Millisecond}}, 201, 130 * time.Millisecond, 2},
		"slow, no budget":  {0, []scripted{{takes: time.Second}}, 200, time.Second, 1},
		"failing first":    {10, []scripted{{takes: 10 * time.Millisecond, fails: true}, {takes: 10 * time.Millisecond}}, 201, 20 * time.Millisecond, 2},
		"slow then failed": {10, []scripted{{takes: 150 * time.Millisecond, fails: true}, {takes: time.Second}, {takes: 10 * time.Millisecond}}, 202, 160 * time.Millisecond, 3},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			answer, took, attempts, err := runHedged(t, c.retries, c.outcomes...)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(answer.Status).To(gomega.Equal(c.status))
			g.Expect(took).To(gomega.Equal(c.took))
			g.Expect(attempts).To(gomega.Equal(c.attempts))
		})
	}
}

func TestHedgeFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	bad := scripted{takes: 10 * time.Millisecond, fails: true}
	_, _, attempts, err := runHedged(t, 10, bad, bad, bad)
	g.Expect(fault.KindOf(err)).To(gomega.Equal(kind.Unavailable))
	g.Expect(attempts).To(gomega.Equal(3))
}
