// Package speed knows how fast the engines of a back end read prompts.
package speed

import (
	"maps"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/linear"
)

const (
	// defaultBase and defaultRate stand in until answers have shown the engines' own speed; the rate is in tokens per
	// second.
	defaultBase = 50 * time.Millisecond
	defaultRate = 40_000
	// leastRate and mostRate bound the rate that is believed.
	leastRate = 2_000
	mostRate  = 2_000_000
	// mostBase bounds the time that is believed to pass before the first token beside the reading.
	mostBase = 500 * time.Millisecond
)

// Speed fits the time to the first token to the number of prompt tokens read, for each back end, over what all hosts saw.
//
// All methods may be called concurrently.
type Speed struct {
	mu     sync.Mutex
	own    map[label.Name]linear.Fit
	others map[label.Name]linear.Fit
}

// Add takes the time to the first token of a request that had to wait for no other.
func (s *Speed) Add(backend label.Name, tokens int64, first time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.own == nil {
		s.own = map[label.Name]linear.Fit{}
	}
	s.own[backend] = s.own[backend].Sampled(float64(tokens), first.Seconds())
}

// Own returns what this process has seen.
func (s *Speed) Own() map[label.Name]linear.Fit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.own)
}

// HearAll takes what all other hosts have seen together.
func (s *Speed) HearAll(seen map[label.Name]linear.Fit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others = seen
}

// Rate returns the tokens per second that one engine reads; known is false while that is a guess.
func (s *Speed) Rate(backend label.Name) (rate float64, known bool) {
	_, rate, known = s.line(backend)
	return rate, known
}

// line returns the time that passes beside the reading, and the tokens per second.
func (s *Speed) line(backend label.Name) (base time.Duration, rate float64, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	start, slope, known := s.own[backend].Plus(s.others[backend]).Line()
	if !known || slope <= 1.0/mostRate {
		return defaultBase, defaultRate, false
	}
	base = time.Duration(min(mostBase.Seconds(), max(0, start)) * float64(time.Second))
	return base, max(leastRate, 1/slope), true
}

// First returns the expected time to the first token when the given number of tokens must be read before it.
func (s *Speed) First(backend label.Name, tokens int64) time.Duration {
	base, rate, _ := s.line(backend)
	return base + time.Duration(float64(tokens)/rate*float64(time.Second))
}
