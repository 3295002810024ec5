package rates

import "time"

// slots is the number of slots that a window is divided into.
const slots = 32

// window is a sliding window of the units admitted lately.
type window struct {
	used [slots]float64
	// newest is the number of the newest slot, counted from 1970.
	newest int64
}

func (w *window) add(units float64, now time.Time, length time.Duration) {
	w.advance(now, length)
	w.used[w.newest%slots] += units
}

func (w *window) sum(now time.Time, length time.Duration) (units float64) {
	w.advance(now, length)
	for _, n := range w.used {
		units += n
	}
	return units
}

func (w *window) advance(now time.Time, length time.Duration) {
	number := now.UnixNano() / (length.Nanoseconds() / slots)
	for range min(slots, max(0, number-w.newest)) {
		w.newest++
		w.used[w.newest%slots] = 0
	}
	w.newest = max(w.newest, number)
}
