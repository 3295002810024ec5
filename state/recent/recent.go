// Package recent holds the last report of each peer.
package recent

import "time"

// Reports holds the last report of each peer.
//
// Reports expire at MaxAge. It is not safe for concurrent use: its owner guards it.
type Reports[T any] struct {
	// MaxAge is the age from which Each drops a report.
	MaxAge time.Duration

	peers map[string]report[T]
}

type report[T any] struct {
	value T
	at    time.Time
}

// Put stores a peer's report.
func (r *Reports[T]) Put(peer string, value T, now time.Time) {
	if r.peers == nil {
		r.peers = map[string]report[T]{}
	}
	r.peers[peer] = report[T]{value: value, at: now}
}

// Get returns a peer's last report, whatever its age; ok is false when there is none.
func (r *Reports[T]) Get(peer string) (value T, ok bool) {
	p, ok := r.peers[peer]
	return p.value, ok
}

// Fresh reports whether a peer's last report is younger than an age.
func (r *Reports[T]) Fresh(peer string, age time.Duration, now time.Time) bool {
	p, ok := r.peers[peer]
	return ok && now.Sub(p.at) < age
}

// Delete removes a peer's report.
func (r *Reports[T]) Delete(peer string) { delete(r.peers, peer) }

// Each removes expired reports, calls visit with each other one and its age, and returns their number.
func (r *Reports[T]) Each(now time.Time, visit func(value T, age time.Duration)) (hosts int) {
	for peer, p := range r.peers {
		if now.Sub(p.at) >= r.MaxAge {
			delete(r.peers, peer)
			continue
		}
		visit(p.value, now.Sub(p.at))
		hosts++
	}
	return hosts
}
