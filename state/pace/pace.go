// Package pace keeps how long the requests of each route take.
package pace

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

const (
	// decay is the part of the distance to a shorter request by which the memory of the longest ones falls.
	decay = 0.004
	// defaultToken stands in for the time of a token until a stream of the back end has ended.
	defaultToken = 10 * time.Millisecond
)

// Pace remembers the longest recent requests of each route, and each back end's slowest recent streams by what they may generate.
//
// All methods may be called concurrently.
type Pace struct {
	mu      sync.Mutex
	longest map[label.Name]time.Duration
	// slowest is the time for each token that a stream might generate.
	slowest map[label.Name]time.Duration
}

// Observe takes the time that an answered request of a route took.
func (p *Pace) Observe(route label.Name, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longest = raised(p.longest, route, took)
}

// ObserveStream takes the time from the first token to the end of a stream of a back end, and the tokens that it might generate.
func (p *Pace) ObserveStream(backend label.Name, took time.Duration, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowest = raised(p.slowest, backend, took/time.Duration(max(1, tokens)))
}

// raised keeps a time if it is longer than those before, whose memory fades.
func raised(times map[label.Name]time.Duration, of label.Name, took time.Duration) map[label.Name]time.Duration {
	if times == nil {
		times = map[label.Name]time.Duration{}
	}
	old := times[of]
	if took > old {
		times[of] = took
		return times
	}
	times[of] = old - time.Duration(decay*float64(old-took))
	return times
}

// Longest returns about the longest time that a request of the route took lately, nought when none was seen.
func (p *Pace) Longest(route label.Name) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.longest[route]
}

// Stream returns about the longest time that a stream of a back end takes from its first token on that may generate a number of
// tokens; it is a guess until one was seen.
func (p *Pace) Stream(backend label.Name, tokens int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	each, seen := p.slowest[backend]
	if !seen {
		each = defaultToken
	}
	return each * time.Duration(tokens)
}
