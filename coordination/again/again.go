// Package again bounds the arrivals at back ends beyond the first of each request, over all entry hosts together.
package again

import (
	"sync"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

const (
	// ratioPart is the part of the ratio that is spent, and extraPart that of the extra arrivals: hosts that start again
	// begin with a full budget.
	ratioPart = 0.8
	extraPart = 0.4
)

// Again allows further arrivals as requests pay for them, and a few beyond.
//
// All methods may be called concurrently.
type Again struct {
	// Ratio is the further arrivals that one request pays for.
	Ratio float64
	// Extra is the further arrivals beyond those, over all hosts in one window.
	Extra float64
	// Hosts returns the number of entry hosts, this one included.
	Hosts func() int

	mu    sync.Mutex
	spent map[label.Name]float64
}

// Pay pays in for one request to a back end.
func (a *Again) Pay(backend label.Name) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.spent[backend] > 0 {
		a.spent[backend] = max(0, a.spent[backend]-ratioPart*a.Ratio)
	}
}

// Take spends one more arrival at a back end and reports whether the budget allowed it.
func (a *Again) Take(backend label.Name) bool {
	limit := extraPart * a.Extra / float64(max(1, a.Hosts()))
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.spent == nil {
		a.spent = map[label.Name]float64{}
	}
	if a.spent[backend]+1 > max(1, limit) {
		return false
	}
	a.spent[backend]++
	return true
}
