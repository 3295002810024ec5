package main

import (
	"runtime"

	"golang.org/x/sync/errgroup"
)

// parallel calls do for 0 to n-1, concurrently on all cores but one.
func parallel(n int, do func(i int)) {
	var g errgroup.Group
	g.SetLimit(max(1, runtime.NumCPU()-1))
	for i := range n {
		g.Go(func() error {
			do(i)
			return nil
		})
	}
	_ = g.Wait()
}
