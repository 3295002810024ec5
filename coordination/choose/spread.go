package choose

import (
	"math"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	// arrivalTime is the time over which the process's requests are averaged.
	arrivalTime = 2 * time.Second
	// countsAge is about how old other hosts' counts are when they are heard.
	countsAge = 300 * time.Millisecond
	// leastPart is the least part of its places for which an endpoint counts, however busy it seems: its counts are old.
	leastPart = 0.05
)

// spread draws an endpoint for a request without a prompt.
//
// Other hosts' counts are older than most such requests last. Until they come again, as many requests arrive as came in
// that time, so each endpoint gets the part that would make all equally busy at the end (Dahlin, Interpreting stale load
// information).
func (c *Choice) spread(all []*target.Target, w *work.Work, used func(*target.Target) bool, now time.Time) pick {
	sound, failed := candidates(all, used, now)
	if len(sound) == 0 {
		sound = failed
	}
	if len(sound) == 0 {
		return pick{Wait: rest(all, now)}
	}
	return pick{Target: c.draw(sound, c.arriving(w.Backend, now), now), First: c.Speed.First(w.Backend, 0)}
}

// candidates returns the endpoints that may be used, those that failed a moment ago apart.
func candidates(all []*target.Target, used func(*target.Target) bool, now time.Time) (sound, failed []*target.Target) {
	for _, t := range all {
		switch {
		case !open(t, now) || used(t):
		case paused(t, now):
			failed = append(failed, t)
		default:
			sound = append(sound, t)
		}
	}
	return sound, failed
}

// draw draws one of some endpoints by the parts that make them equally busy once a number of requests has come.
func (c *Choice) draw(from []*target.Target, arriving float64, now time.Time) *target.Target {
	busy := make([]float64, len(from))
	slots := make([]float64, len(from))
	sum, places := arriving, 0.0
	for i, t := range from {
		running, _ := t.Busy(now)
		busy[i], slots[i] = float64(running), float64(slotsOf(t))
		sum += busy[i]
		places += slots[i]
	}
	left := 0.0
	for i := range from {
		busy[i] = max(leastPart*slots[i], slots[i]*sum/places-busy[i])
		left += busy[i]
	}
	left *= c.Rand()
	for i, t := range from {
		if left -= busy[i]; left < 0 {
			return t
		}
	}
	return from[len(from)-1]
}

// arriving returns the requests that all hosts send to a back end while counts are as old as they are, this one included.
func (c *Choice) arriving(backend label.Name, now time.Time) float64 {
	hosts := 1.0
	if c.Hosts != nil {
		hosts = float64(c.Hosts())
	}
	return c.arrivals.add(backend, now) * hosts * countsAge.Seconds()
}

// arrivals averages a process's requests by back end. Its methods may be called concurrently.
type arrivals struct {
	mu    sync.Mutex
	means map[label.Name]arrivalMean
}

type arrivalMean struct {
	perSecond float64
	at        time.Time
}

// add counts a request and returns the requests per second.
func (a *arrivals) add(backend label.Name, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.means == nil {
		a.means = map[label.Name]arrivalMean{}
	}
	m := a.means[backend]
	left := math.Exp(-max(0, now.Sub(m.at)).Seconds() / arrivalTime.Seconds())
	m = arrivalMean{perSecond: m.perSecond*left + 1/arrivalTime.Seconds(), at: now}
	a.means[backend] = m
	return m.perSecond
}
