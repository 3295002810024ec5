// Package idle closes callers' connections that have been idle for longer than a limit.
package idle

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Closer closes idle connections after a limit that may change while the process runs.
//
// A connection is not closed directly: a deadline ends its pending read, upon which the server closes it. A direct close
// could cut a request that is about to be handled, as the server reports a connection as idle until it has read the whole
// header of the next request.
//
// The exported fields are set before its first use. All methods may be called concurrently.
type Closer struct {
	// Limit returns the present idle timeout, 0 for none.
	Limit func() time.Duration

	mu    sync.Mutex
	conns map[net.Conn]*waiting
}

// waiting is the state of an idle connection.
type waiting struct {
	// timer ends the wait for the next request, nil without a limit.
	timer *time.Timer
	// expired is set once the deadline is set that ends the wait.
	expired bool
}

// ConnState starts the wait of a connection that became idle and ends that of any other. It is the ConnState hook of an
// http.Server.
func (c *Closer) ConnState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop(conn)
	if state == http.StateIdle {
		c.start(conn)
	}
}

// CloseIdle ends the wait of all connections that are idle now.
func (c *Closer) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, w := range c.conns {
		expire(conn, w)
	}
}

// start starts the wait of a connection for its next request. The caller holds c.mu.
func (c *Closer) start(conn net.Conn) {
	w := &waiting{}
	if c.conns == nil {
		c.conns = map[net.Conn]*waiting{}
	}
	c.conns[conn] = w
	if limit := c.Limit(); limit > 0 {
		w.timer = time.AfterFunc(limit, func() { c.timeout(conn, w, limit) })
	}
}

// stop ends the wait of a connection. If the next request arrived while the wait expired, the connection goes on without
// the deadline. The caller holds c.mu.
func (c *Closer) stop(conn net.Conn) {
	w := c.conns[conn]
	if w == nil {
		return
	}
	delete(c.conns, conn)
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.expired {
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// timeout ends the wait of a connection, unless its next request has come meanwhile. It is repeated while the wait lasts, as
// the server sets a deadline of its own after ConnState.
func (c *Closer) timeout(conn net.Conn, w *waiting, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn] == w {
		expire(conn, w)
		w.timer.Reset(limit)
	}
}

// expire sets a deadline that has passed, so that a pending read of the connection ends.
func expire(conn net.Conn, w *waiting) {
	w.expired = true
	_ = conn.SetReadDeadline(time.Unix(1, 0))
}
