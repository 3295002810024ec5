// Package words holds the last report of each peer.
package words

import "time"

// Words holds the last report of each peer.
//
// Reports expire at MaxAge. It is not safe for concurrent use: its owner guards it.
type Words[T any] struct {
	// MaxAge is the age from which Each drops a report.
	MaxAge time.Duration

	peers map[string]report[T]
}

type report[T any] struct {
	value T
	at    time.Time
}

// Hear stores a peer's report.
func (w *Words[T]) Hear(peer string, value T, now time.Time) {
	if w.peers == nil {
		w.peers = map[string]report[T]{}
	}
	w.peers[peer] = report[T]{value: value, at: now}
}

// Last returns a peer's last report, whatever its age; ok is false when there is none.
func (w *Words[T]) Last(peer string) (value T, ok bool) {
	p, ok := w.peers[peer]
	return p.value, ok
}

// Heard reports whether a peer's last report is younger than an age.
func (w *Words[T]) Heard(peer string, age time.Duration, now time.Time) bool {
	p, ok := w.peers[peer]
	return ok && now.Sub(p.at) < age
}

// Forget removes a peer's report.
func (w *Words[T]) Forget(peer string) { delete(w.peers, peer) }

// Each removes expired reports, calls visit with each other one and its age, and returns their number.
func (w *Words[T]) Each(now time.Time, visit func(value T, age time.Duration)) (hosts int) {
	for peer, p := range w.peers {
		if now.Sub(p.at) >= w.MaxAge {
			delete(w.peers, peer)
			continue
		}
		visit(p.value, now.Sub(p.at))
		hosts++
	}
	return hosts
}
