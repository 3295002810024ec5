// Package timing tracks how long requests and streams take.
package timing

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

const (
	// decay is the fraction of its distance to a shorter sample by which a maximum falls.
	decay = 0.004
	// defaultTokenTime is the time per token that is assumed until a stream of the back end has ended.
	defaultTokenTime = 10 * time.Millisecond
)

// Durations tracks decaying maxima: of the request durations of each route, and of each back end's stream durations per
// token that the stream may generate.
//
// All methods may be called concurrently.
type Durations struct {
	mu sync.Mutex
	// longest is the decaying maximum of the request durations, by route.
	longest map[label.Name]time.Duration
	// slowestToken is the decaying maximum of the stream durations per token that a stream may generate, by back end.
	slowestToken map[label.Name]time.Duration
}

// Observe records the duration of an answered request of a route.
func (d *Durations) Observe(route label.Name, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.longest = withSample(d.longest, route, took)
}

// ObserveStream records the time from the first token to the end of a back end's stream that might generate up to tokens.
func (d *Durations) ObserveStream(backend label.Name, took time.Duration, tokens int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slowestToken = withSample(d.slowestToken, backend, took/time.Duration(max(1, tokens)))
}

// withSample raises the maximum of a name to a longer sample, and lets it decay towards a shorter one.
func withSample(times map[label.Name]time.Duration, name label.Name, took time.Duration) map[label.Name]time.Duration {
	if times == nil {
		times = map[label.Name]time.Duration{}
	}
	old := times[name]
	if took > old {
		times[name] = took
		return times
	}
	times[name] = old - time.Duration(decay*float64(old-took))
	return times
}

// Longest returns about the longest recent duration of the route's requests, 0 when none was observed.
func (d *Durations) Longest(route label.Name) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.longest[route]
}

// LongestStream returns about the longest time from the first token to the end of a back end's stream that may generate
// up to tokens; it is a default until a stream was observed.
func (d *Durations) LongestStream(backend label.Name, tokens int64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	perToken, known := d.slowestToken[backend]
	if !known {
		perToken = defaultTokenTime
	}
	return perToken * time.Duration(tokens)
}
