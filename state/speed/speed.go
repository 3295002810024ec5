// Package speed estimates the prefill rate of each back end's engines.
package speed

import (
	"maps"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/linear"
)

const (
	// defaultBase and defaultRate are used until enough requests have been measured; the rate is in tokens per second.
	defaultBase = 50 * time.Millisecond
	defaultRate = 40_000
	// minRate and maxRate bound the estimated rate, in tokens per second.
	minRate = 2_000
	maxRate = 2_000_000
	// maxBase bounds the estimated part of the time to first token that does not depend on the prompt.
	maxBase = 500 * time.Millisecond
)

// Speed fits a line to the time to first token over the prompt tokens prefilled, for each back end, from the samples of
// all hosts.
//
// All methods may be called concurrently.
type Speed struct {
	mu     sync.Mutex
	own    map[label.Name]linear.Fit
	others map[label.Name]linear.Fit
}

// Add records the time to first token of a request that did not queue behind another.
func (s *Speed) Add(backend label.Name, tokens int64, ttft time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.own == nil {
		s.own = map[label.Name]linear.Fit{}
	}
	s.own[backend] = s.own[backend].WithSample(float64(tokens), ttft.Seconds())
}

// Own returns the fits over this process's samples.
func (s *Speed) Own() map[label.Name]linear.Fit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.own)
}

// SetOthers replaces the fits over the samples of all other hosts together.
func (s *Speed) SetOthers(fits map[label.Name]linear.Fit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others = fits
}

// Rate returns the prefill rate of one engine in tokens per second; known is false while that is the default.
func (s *Speed) Rate(backend label.Name) (rate float64, known bool) {
	_, rate, known = s.estimate(backend)
	return rate, known
}

// estimate returns the part of the time to first token that does not depend on the prompt, and the tokens per second.
func (s *Speed) estimate(backend label.Name) (base time.Duration, rate float64, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	intercept, slope, known := s.own[backend].Plus(s.others[backend]).Line()
	if !known || slope <= 1.0/maxRate {
		return defaultBase, defaultRate, false
	}
	base = time.Duration(min(maxBase.Seconds(), max(0, intercept)) * float64(time.Second))
	return base, max(minRate, 1/slope), true
}

// TimeToFirstToken returns the expected time to first token of a request for which the engine prefills the given number
// of tokens.
func (s *Speed) TimeToFirstToken(backend label.Name, tokens int64) time.Duration {
	base, rate, _ := s.estimate(backend)
	return base + time.Duration(float64(tokens)/rate*float64(time.Second))
}
