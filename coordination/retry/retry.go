// Package retry keeps a retry budget for each back end. It bounds the arrivals at endpoints beyond the first of each
// request, over all entry hosts together.
package retry

import (
	"sync"

	"github.com/dragonflyroute/dragonflyroute/coordination/budget"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

const (
	// ratioFraction and extraFraction are the fractions of Ratio and Extra that the process's budget uses. The rest is a
	// margin for restarted hosts, which begin with a full budget.
	ratioFraction = 0.8
	extraFraction = 0.4
)

// Budgets holds the retry budgets of all back ends. A request adds Ratio retries to its back end's budget, which starts
// full.
//
// All methods may be called concurrently.
type Budgets struct {
	// Ratio is the number of further arrivals that one request allows.
	Ratio float64
	// Extra is the number of further arrivals allowed beyond those, over all hosts in one window.
	Extra float64
	// Hosts returns the number of entry hosts, this one included.
	Hosts func() int

	mu      sync.Mutex
	budgets map[label.Name]*budget.Budget
}

// Deposit adds one request to a back end's budget.
func (r *Budgets) Deposit(backend label.Name) { r.budget(backend).Deposit() }

// Take spends one further arrival at a back end and reports whether the budget allowed it.
func (r *Budgets) Take(backend label.Name) bool { return r.budget(backend).Take() }

func (r *Budgets) budget(backend label.Name) *budget.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budgets == nil {
		r.budgets = map[label.Name]*budget.Budget{}
	}
	b := r.budgets[backend]
	if b == nil {
		b = &budget.Budget{Ratio: ratioFraction * r.Ratio, Max: r.maxSaved}
		r.budgets[backend] = b
	}
	return b
}

// maxSaved returns the process's share of the extra arrivals, at least 1.
func (r *Budgets) maxSaved() float64 {
	return max(1, extraFraction*r.Extra/float64(max(1, r.Hosts())))
}
