// Package words keeps the last word of each peer.
package words

import "time"

// Words holds the last word of each peer.
//
// Words older than MaxAge are forgotten. Its owner guards it.
type Words[T any] struct {
	// MaxAge is the age from which a word is no longer believed.
	MaxAge time.Duration

	peers map[string]word[T]
}

type word[T any] struct {
	value T
	at    time.Time
}

// Hear takes a peer's word.
func (w *Words[T]) Hear(peer string, value T, now time.Time) {
	if w.peers == nil {
		w.peers = map[string]word[T]{}
	}
	w.peers[peer] = word[T]{value: value, at: now}
}

// Last returns a peer's word.
func (w *Words[T]) Last(peer string) (value T, ok bool) {
	p, ok := w.peers[peer]
	return p.value, ok
}

// Heard reports whether a peer's word is younger than an age.
func (w *Words[T]) Heard(peer string, age time.Duration, now time.Time) bool {
	p, ok := w.peers[peer]
	return ok && now.Sub(p.at) < age
}

// Forget drops a peer's word.
func (w *Words[T]) Forget(peer string) { delete(w.peers, peer) }

// Each calls take with the words that are believed and their ages, and returns the number of peers that have sent them.
func (w *Words[T]) Each(now time.Time, take func(value T, age time.Duration)) (hosts int) {
	for peer, p := range w.peers {
		if now.Sub(p.at) >= w.MaxAge {
			delete(w.peers, peer)
			continue
		}
		take(p.value, now.Sub(p.at))
		hosts++
	}
	return hosts
}
