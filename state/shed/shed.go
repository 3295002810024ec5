// Package shed chooses which connection to close when too many are open.
package shed

import (
	"sync"
	"time"
)

const (
	// headTimeout is how long the head of a request may take to arrive before its connection can be closed in favour of others.
	headTimeout = 500 * time.Millisecond
	// writeTimeout is the same for a write that the caller does not read.
	writeTimeout = time.Second
	// crowdDivisor gives the part of all connections, one in so many, above which those from one address have no such time.
	crowdDivisor = 2
)

// stage is what a connection is being used for. Lower stages are closed first.
type stage uint8

const (
	// idle is a connection without a request.
	idle stage = iota
	// receiving is one that a head is expected on.
	receiving
	// blocked is one whose caller does not read an answer.
	blocked
	// serving is one with a request in progress.
	serving
)

// Shedder follows the connections of a listener and chooses which one to close when there are too many: one that waits for a
// request, then one whose head stopped half-way, then one whose caller does not read; the longest wait first. A connection
// with a request in progress is not closed.
//
// The exported fields are set before its first use. All methods may be called concurrently.
type Shedder[K comparable] struct {
	// Max returns the largest number of open connections, 0 for no limit.
	Max func() int
	// Now returns the current time.
	Now func() time.Time

	mu    sync.Mutex
	conns map[K]*conn
	// byAddress counts the connections from each address, and chosen those that Pick has returned.
	byAddress map[string]int
	chosen    int
}

// conn is the state of one connection.
type conn struct {
	address string
	stage   stage
	// since is when the stage began.
	since  time.Time
	chosen bool
}

// Add adds a connection on which the head of a request is expected.
func (s *Shedder[K]) Add(k K, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[K]*conn{}
		s.byAddress = map[string]int{}
	}
	s.conns[k] = &conn{address: address, stage: receiving, since: s.Now()}
	s.byAddress[address]++
}

// Remove removes a connection that has ended.
func (s *Shedder[K]) Remove(k K) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.conns[k]
	if c == nil {
		return
	}
	delete(s.conns, k)
	if c.chosen {
		s.chosen--
	}
	s.byAddress[c.address]--
	if s.byAddress[c.address] == 0 {
		delete(s.byAddress, c.address)
	}
}

// Idle records that a connection waits for its next request.
func (s *Shedder[K]) Idle(k K) { s.enter(k, idle) }

// Receiving records that the head of a request has begun to arrive.
func (s *Shedder[K]) Receiving(k K) { s.enter(k, receiving) }

// Serving records that a request is in progress, and that its caller reads.
func (s *Shedder[K]) Serving(k K) { s.enter(k, serving) }

// Blocked records that a write has begun, which lasts until Serving if the caller does not read.
func (s *Shedder[K]) Blocked(k K) { s.enter(k, blocked) }

func (s *Shedder[K]) enter(k K, next stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.conns[k]
	if c == nil {
		return
	}
	c.stage, c.since = next, s.Now()
	if c.chosen {
		// It went on before it was closed.
		c.chosen = false
		s.chosen--
	}
}

// Pick returns the connection to close if there are more than Max. With none that may be closed, ok is false and over is true.
func (s *Shedder[K]) Pick() (k K, ok, over bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.Max()
	if limit <= 0 || len(s.conns)-s.chosen <= limit {
		return k, false, false
	}
	var best *conn
	for key, c := range s.conns {
		if s.closable(c) && (best == nil || before(c, best)) {
			k, best = key, c
		}
	}
	if best == nil {
		return k, false, true
	}
	best.chosen = true
	s.chosen++
	return k, true, true
}

// Closing returns the number of connections that Pick has returned and that have not ended yet.
func (s *Shedder[K]) Closing() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chosen
}

// closable reports whether a connection may be closed.
func (s *Shedder[K]) closable(c *conn) bool {
	age := s.Now().Sub(c.since)
	switch {
	case c.chosen:
		return false
	case c.stage == idle:
		return true
	case c.stage == receiving:
		return age >= headTimeout || s.byAddress[c.address]*crowdDivisor > len(s.conns)
	case c.stage == blocked:
		return age >= writeTimeout
	default:
		return false
	}
}

// before reports whether a connection is closed before another one.
func before(a, b *conn) bool {
	if a.stage != b.stage {
		return a.stage < b.stage
	}
	return a.since.Before(b.since)
}
