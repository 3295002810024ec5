package rates

import "time"

// slots is the number of pieces in which a window's use is kept.
const slots = 32

// window keeps the units admitted in the last window.
type window struct {
	used [slots]float64
	// newest is the number of the newest slot since 1970.
	newest int64
}

func (w *window) add(units float64, now time.Time, length time.Duration) {
	w.turn(now, length)
	w.used[w.newest%slots] += units
}

func (w *window) sum(now time.Time, length time.Duration) (units float64) {
	w.turn(now, length)
	for _, n := range w.used {
		units += n
	}
	return units
}

func (w *window) turn(now time.Time, length time.Duration) {
	number := now.UnixNano() / (length.Nanoseconds() / slots)
	for range min(slots, max(0, number-w.newest)) {
		w.newest++
		w.used[w.newest%slots] = 0
	}
	w.newest = max(w.newest, number)
}
