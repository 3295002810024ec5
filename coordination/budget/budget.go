// Package budget bounds retries by a fraction of successes.
package budget

import "sync"

// Budget allows retries as long as successes have paid for them.
//
// All methods may be called concurrently.
type Budget struct {
	// Ratio is the retries that one success pays for.
	Ratio float64
	// Max bounds the retries saved up; the budget starts full.
	Max float64

	mu    sync.Mutex
	spent float64
}

// Succeed pays in for one success.
func (b *Budget) Succeed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.Ratio)
}

// Take spends one retry and reports whether the budget allowed it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.Max {
		return false
	}
	b.spent++
	return true
}
