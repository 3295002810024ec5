// Package flow keeps how much work per second goes to each back end, here and at the peers.
package flow

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

const (
	// meanTime is the time over which work is averaged.
	meanTime = 4 * time.Second
	// believed is the age up to which the peers' figures count.
	believed = 4 * time.Second
	// peakTime is the time in which the memory of a peak falls to a third.
	peakTime = 20 * time.Second
)

type mean struct {
	value float64
	at    time.Time
}

// Flow averages the prompt tokens that endpoints must read.
//
// All methods may be called concurrently.
type Flow struct {
	mu  sync.Mutex
	own map[label.Name]mean
	// reading and running hold the peaks of the tokens per second and of the requests at one time.
	reading, running peaks
	// others is what goes to back ends from all peers together, as of othersAt.
	others   map[label.Name]float64
	othersAt time.Time
}

func (m mean) decayed(now time.Time) float64 {
	age := max(0, now.Sub(m.at))
	return m.value * float64(meanTime) / float64(meanTime+age)
}

// Add counts tokens that go to a back end.
func (f *Flow) Add(backend label.Name, tokens int64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.own == nil {
		f.own = map[label.Name]mean{}
	}
	f.own[backend] = mean{value: f.own[backend].decayed(now) + float64(tokens)/meanTime.Seconds(), at: now}
}

// Own returns this process's tokens per second by back end.
func (f *Flow) Own(now time.Time) map[label.Name]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[label.Name]float64{}
	for backend, m := range f.own {
		if v := m.decayed(now); v >= 1 {
			out[backend] = float64(int64(v))
		}
	}
	return out
}

// HearAll takes the tokens per second of all peers together.
func (f *Flow) HearAll(values map[label.Name]float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.others, f.othersAt = values, now
}

// Sum returns the tokens per second that go to a back end from all processes.
func (f *Flow) Sum(backend label.Name, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := f.own[backend].decayed(now)
	if now.Sub(f.othersAt) < believed {
		sum += f.others[backend]
	}
	return sum
}

// PeakReading returns the largest recent number of tokens per second that go to a back end; the memory of it fades.
//
// Peaks hold the load itself, not what the engines' speed makes of it: that may turn out to be other than was thought.
func (f *Flow) PeakReading(backend label.Name, tokens float64, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reading.raise(backend, tokens, now)
}

// PeakRunning returns the largest recent number of requests that run at a back end; the memory of it fades.
func (f *Flow) PeakRunning(backend label.Name, requests float64, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running.raise(backend, requests, now)
}

// peaks holds the largest recent value of each back end.
type peaks map[label.Name]mean

// raise takes a value and returns the largest recent one.
func (p *peaks) raise(backend label.Name, value float64, now time.Time) float64 {
	if *p == nil {
		*p = peaks{}
	}
	peak := (*p)[backend]
	faded := peak.value * float64(peakTime) / float64(peakTime+max(0, now.Sub(peak.at)))
	if value < faded {
		return faded
	}
	(*p)[backend] = mean{value: value, at: now}
	return value
}
