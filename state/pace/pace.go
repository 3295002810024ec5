// Package pace keeps how long the requests of each route take.
package pace

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// decay is the part of the distance to a shorter request by which the memory of the longest ones falls.
const decay = 0.004

// Pace remembers the longest recent requests of each route.
//
// All methods may be called concurrently.
type Pace struct {
	mu      sync.Mutex
	longest map[label.Name]time.Duration
}

// Observe takes the time that an answered request of a route took.
func (p *Pace) Observe(route label.Name, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil {
		p.longest = map[label.Name]time.Duration{}
	}
	old := p.longest[route]
	if took > old {
		p.longest[route] = took
		return
	}
	p.longest[route] = old - time.Duration(decay*float64(old-took))
}

// Longest returns about the longest time that a request of the route took lately, nought when none was seen.
func (p *Pace) Longest(route label.Name) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.longest[route]
}
