// Package budget is a retry budget: it bounds retries to a fraction of successes or first attempts.
package budget

import "sync"

// Budget allows retries as long as earlier successes, or first attempts, have added enough to it.
//
// All methods may be called concurrently.
type Budget struct {
	// Ratio is the number of retries that one success or first attempt adds.
	Ratio float64
	// Max returns the most retries that the budget can hold; it starts full.
	Max func() float64

	mu    sync.Mutex
	spent float64
}

// Deposit adds Ratio to the budget for one success or first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.Ratio)
}

// Take spends one retry and reports whether the budget allowed it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.Max() {
		return false
	}
	b.spent++
	return true
}
