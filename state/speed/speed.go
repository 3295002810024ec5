// Package speed knows how fast the engines of a back end read prompts.
package speed

import (
	"maps"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/state/line"
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

// Speed fits the time to the first token to the number of prompt tokens read, for each back end.
//
// All methods may be called concurrently.
type Speed struct {
	mu    sync.Mutex
	lines map[label.Name]*line.Line
	// told is the rate that the peers have seen on the average.
	told map[label.Name]float64
}

func (s *Speed) line(backend label.Name) *line.Line {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lines == nil {
		s.lines = map[label.Name]*line.Line{}
	}
	l := s.lines[backend]
	if l == nil {
		l = &line.Line{}
		s.lines[backend] = l
	}
	return l
}

// Add takes the time to the first token of a request that had to wait for no other.
func (s *Speed) Add(backend label.Name, tokens int64, first time.Duration) {
	s.line(backend).Add(float64(tokens), first.Seconds())
}

// Rate returns the tokens per second that one engine reads; known is false while that is a guess.
//
// What the peers have told, averaged, goes before what the process has seen itself: it rests on more requests.
func (s *Speed) Rate(backend label.Name) (rate float64, known bool) {
	if rate := s.heard(backend); rate > 0 {
		return rate, true
	}
	if rate, seen := s.seen(backend); seen {
		return rate, true
	}
	return defaultRate, false
}

func (s *Speed) heard(backend label.Name) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told[backend]
}

func (s *Speed) seen(backend label.Name) (rate float64, seen bool) {
	_, slope, known := s.line(backend).Fit()
	if !known || slope <= 1.0/mostRate {
		return 0, false
	}
	return max(leastRate, 1/slope), true
}

// Seen returns the rates that this process has seen itself.
func (s *Speed) Seen(backends []label.Name) map[label.Name]float64 {
	out := map[label.Name]float64{}
	for _, backend := range backends {
		if rate, seen := s.seen(backend); seen {
			out[backend] = rate
		}
	}
	return out
}

// HearAll takes the rates that all peers have seen on the average, in place of what was told before.
func (s *Speed) HearAll(rates map[label.Name]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.told == nil {
		s.told = map[label.Name]float64{}
	}
	maps.Copy(s.told, rates)
}

// First returns the expected time to the first token when the given number of tokens must be read before it.
func (s *Speed) First(backend label.Name, tokens int64) time.Duration {
	rate, _ := s.Rate(backend)
	base := defaultBase
	if fitted, _, known := s.line(backend).Fit(); known {
		base = time.Duration(min(mostBase.Seconds(), max(0, fitted)) * float64(time.Second))
	}
	return base + time.Duration(float64(tokens)/rate*float64(time.Second))
}
