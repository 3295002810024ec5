// Package idle closes callers' connections that wait for a request for too long.
package idle

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// drainInterval is the interval between two looks for idle connections while a server stops.
const drainInterval = 20 * time.Millisecond

// Closer closes idle connections after a limit that may change while the process runs, and at a stop.
//
// A connection is not closed directly: a deadline ends its pending read, upon which the server closes it. A direct close
// could cut a request that is about to be handled, as the server reports a connection as idle until it has read the whole
// header of the next request. Shutdown of http.Server closes directly, so that Drain is used in its place.
//
// The exported fields are set before its first use. All methods may be called concurrently.
type Closer struct {
	// Limit returns the present idle timeout, 0 for none; nil means that there is none.
	Limit func() time.Duration

	mu sync.Mutex
	// open holds the connections that are neither closed nor hijacked.
	open map[net.Conn]*state
}

// state is the state of a connection.
type state struct {
	// idle is set while the connection waits for its next request.
	idle bool
	// timer ends the wait, nil without a limit.
	timer *time.Timer
	// expired is set once the deadline is set that ends the wait.
	expired bool
}

// ConnState follows the state of a connection. It is the ConnState hook of an http.Server.
func (c *Closer) ConnState(conn net.Conn, now http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endWait(conn)
	switch now {
	case http.StateNew, http.StateActive:
		c.set(conn, &state{})
	case http.StateIdle:
		c.wait(conn)
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

// Drain closes connections as they become idle, until none is open. It returns the error of ctx if that ends before.
func (c *Closer) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for c.expireIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// expireIdle ends the wait of all idle connections and returns the number of open connections.
func (c *Closer) expireIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.open {
		if s.idle {
			expire(conn, s)
		}
	}
	return len(c.open)
}

// set sets the state of a connection. The caller holds c.mu.
func (c *Closer) set(conn net.Conn, s *state) {
	if c.open == nil {
		c.open = map[net.Conn]*state{}
	}
	c.open[conn] = s
}

// wait starts the wait of a connection for its next request. The caller holds c.mu.
func (c *Closer) wait(conn net.Conn) {
	s := &state{idle: true}
	c.set(conn, s)
	if c.Limit == nil {
		return
	}
	if limit := c.Limit(); limit > 0 {
		s.timer = time.AfterFunc(limit, func() { c.timeout(conn, s, limit) })
	}
}

// endWait ends the wait of a connection, if it waits. If the next request has come while the wait expired, the connection
// goes on without the deadline. The caller holds c.mu.
func (c *Closer) endWait(conn net.Conn) {
	s := c.open[conn]
	if s == nil {
		return
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	if s.expired {
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// timeout ends the wait of a connection, unless its next request has come meanwhile. It is repeated while the wait lasts, as
// the server sets a deadline of its own after ConnState.
func (c *Closer) timeout(conn net.Conn, s *state, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[conn] == s {
		expire(conn, s)
		s.timer.Reset(limit)
	}
}

// expire sets a deadline that has passed, so that a pending read of the connection ends.
func expire(conn net.Conn, s *state) {
	s.expired = true
	_ = conn.SetReadDeadline(time.Unix(1, 0))
}
