// Package writer decides when a host of a large fleet writes usage into the store.
package writer

import (
	"context"
	"time"
)

const (
	// minPause and maxPause bound the pause after a refused write, which doubles each time.
	minPause = time.Second
	maxPause = 3 * time.Second
	// patienceShare and spreadShare are parts of the deadline: how long other hosts leave the writing to the readers beyond the
	// delay, and over which time they spread their writes then.
	patienceShare = 0.25
	spreadShare   = 0.2
)

// Writer writes usage after each window: a reader its own and that of the hosts that poll it, another host its own, if no
// reader has acknowledged it. It is used by one goroutine.
type Writer struct {
	// Final returns the newest window whose counts are final, and its end.
	Final func(now time.Time) (window int64, end time.Time)
	// Delay returns the time from a window's end until its usage is written.
	Delay func() time.Duration
	// Deadline is the time after a window's end when its report is due.
	Deadline time.Duration
	// IsReader reports whether the host is a reader.
	IsReader func() bool
	// Acked returns the newest window that a reader has acknowledged.
	Acked func() int64
	// Write writes the usage up to a window and reports whether the store took it.
	Write func(ctx context.Context, window int64, isReader bool) bool
	// Random returns a random number in [0, 1).
	Random func() float64

	// written is the newest window that is written or acknowledged.
	written int64
	// due is the oldest window that is not, if it is above written, and dueEnd its end.
	due    int64
	dueEnd time.Time
	// spread is when within the time of all other hosts this one writes the window, as a part of it.
	spread float64
	// refused is the number of writes refused in a row, and next the earliest time of the next one.
	refused int
	next    time.Time
}

// Start has windows written that end after now.
func (w *Writer) Start(now time.Time) { w.written, _ = w.Final(now) }

// Step writes the usage if that is due. What the store refuses waits longer each time.
func (w *Writer) Step(ctx context.Context, now time.Time) {
	window, end := w.Final(now)
	if window <= w.written {
		return
	}
	if w.due <= w.written {
		w.due, w.dueEnd, w.spread = window, end, w.Random()
	}
	since := now.Sub(w.dueEnd) - w.Delay()
	if since < 0 {
		return
	}
	isReader := w.IsReader()
	if acked := w.Acked(); !isReader && acked >= w.due {
		w.done(acked)
		return
	}
	if !isReader && since < w.patience() || now.Before(w.next) {
		return
	}
	if now.Before(end.Add(w.Delay())) && window > w.due {
		// The newest window isn't due yet.
		window--
	}
	if !w.Write(ctx, window, isReader) {
		w.pause(now)
		return
	}
	w.done(window)
}

// patience returns how long a host that is not a reader leaves the window to the readers beyond the delay.
func (w *Writer) patience() time.Duration {
	return time.Duration((patienceShare + spreadShare*w.spread) * float64(w.Deadline))
}

func (w *Writer) done(window int64) {
	w.written, w.refused, w.next = window, 0, time.Time{}
}

// pause has the next write wait for the upper half of a pause that doubles each time.
func (w *Writer) pause(now time.Time) {
	pause := min(maxPause, minPause<<min(w.refused, 8))
	w.refused++
	w.next = now.Add(time.Duration((1 + w.Random()) / 2 * float64(pause)))
}
