// Package ticks runs periodic work of a process.
package ticks

import (
	"context"
	"time"
)

// Every returns an actor of a run group that calls do at once and then once every period, until its context ends.
func Every(period time.Duration, do func(ctx context.Context)) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			do(ctx)
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	}
}
