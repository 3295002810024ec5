// Package queue holds how busy the endpoints of a shard are.
package queue

import "time"

// Queue is what a prompt meets at the endpoints of a shard.
type Queue struct {
	// Wait is the shortest time that a prompt would wait at any of the endpoints before its prefill.
	Wait time.Duration
	// TokensPerSecond is the number of prompt tokens that the endpoints prefill in a second.
	TokensPerSecond float64

	count int
}

// Add adds an endpoint at which a prompt would wait and which prefills the given tokens in a second.
func (q *Queue) Add(wait time.Duration, tokensPerSecond float64) {
	if q.count == 0 || wait < q.Wait {
		q.Wait = wait
	}
	q.count++
	q.TokensPerSecond += tokensPerSecond
}

// Prefill returns the expected time that the endpoints together take for the prefill of tokens, 0 if it is not known.
func (q *Queue) Prefill(tokens int64) time.Duration {
	if q.TokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / q.TokensPerSecond * float64(time.Second))
}
