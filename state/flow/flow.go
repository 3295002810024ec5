// Package flow measures the prompt tokens per second that are sent to each back end, by this process and by its peers.
package flow

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

const (
	// averagingTime is the time over which token rates are averaged.
	averagingTime = 4 * time.Second
	// othersMaxAge is the age from which the peers' rates are ignored.
	othersMaxAge = 4 * time.Second
	// peakHalfTime is the time in which a recorded peak decays to half.
	peakHalfTime = 20 * time.Second
)

type average struct {
	value float64
	at    time.Time
}

// Flow holds moving averages of the prompt tokens per second that endpoints have to prefill, and recent peaks of load.
//
// All methods may be called concurrently.
type Flow struct {
	mu  sync.Mutex
	own map[label.Name]average
	// tokenPeaks and requestPeaks hold the recent peaks of the tokens per second and of the concurrent requests.
	tokenPeaks, requestPeaks peaks
	// others holds the tokens per second sent by all peers together, received at othersAt.
	others   map[label.Name]float64
	othersAt time.Time
}

func (a average) decayed(now time.Time) float64 {
	age := max(0, now.Sub(a.at))
	return a.value * float64(averagingTime) / float64(averagingTime+age)
}

// Add records prompt tokens sent to a back end.
func (f *Flow) Add(backend label.Name, tokens int64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.own == nil {
		f.own = map[label.Name]average{}
	}
	f.own[backend] = average{value: f.own[backend].decayed(now) + float64(tokens)/averagingTime.Seconds(), at: now}
}

// Own returns this process's tokens per second by back end; rates below 1 are left out.
func (f *Flow) Own(now time.Time) map[label.Name]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[label.Name]float64{}
	for backend, a := range f.own {
		if v := a.decayed(now); v >= 1 {
			out[backend] = float64(int64(v))
		}
	}
	return out
}

// SetOthers replaces the sums of the peers' tokens per second.
func (f *Flow) SetOthers(values map[label.Name]float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.others, f.othersAt = values, now
}

// Sum returns the tokens per second sent to a back end by all processes.
func (f *Flow) Sum(backend label.Name, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := f.own[backend].decayed(now)
	if now.Sub(f.othersAt) < othersMaxAge {
		sum += f.others[backend]
	}
	return sum
}

// PeakTokenRate records the tokens per second sent to a back end and returns their recent peak, which decays with time.
//
// Peaks hold tokens, not the number of engines that these need, because the estimate of the engines' speed may change.
func (f *Flow) PeakTokenRate(backend label.Name, tokens float64, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tokenPeaks.raise(backend, tokens, now)
}

// PeakRunning records the requests running at a back end and returns their recent peak, which decays with time.
func (f *Flow) PeakRunning(backend label.Name, requests float64, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requestPeaks.raise(backend, requests, now)
}

// peaks holds the decaying maximum of each back end.
type peaks map[label.Name]average

// raise records a value and returns the recent peak.
func (p *peaks) raise(backend label.Name, value float64, now time.Time) float64 {
	if *p == nil {
		*p = peaks{}
	}
	peak := (*p)[backend]
	decayed := peak.value * float64(peakHalfTime) / float64(peakHalfTime+max(0, now.Sub(peak.at)))
	if value < decayed {
		return decayed
	}
	(*p)[backend] = average{value: value, at: now}
	return value
}
