// Package idle closes callers' connections that wait for a request for too long, or that are too many.
package idle

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/state/shed"
)

const (
	// drainInterval is the interval between two looks for idle connections while a server stops.
	drainInterval = 20 * time.Millisecond
	// closingDivisor gives the part of the bound of connections, one in so many, above which those that are being closed hold up
	// new ones: by settlePause each time, and maxSettlePauses times at most.
	closingDivisor  = 8
	settlePause     = time.Millisecond
	maxSettlePauses = 20
)

// Closer closes idle connections after a limit that may change while the process runs, and at a stop.
//
// A connection is not closed directly: a deadline ends its pending read, upon which the server closes it unless bytes of a
// request have arrived meanwhile. It is idle only
// until the first byte of the next request has been read, which the connections of Listener report: the server itself
// reports it as idle until it has read the whole header. Shutdown of http.Server goes by that report and closes directly, so
// that Drain is used in its place.
//
// The exported fields are set before its first use. All methods may be called concurrently.
type Closer struct {
	// Limit returns the present idle timeout, 0 for none; nil means that there is none.
	Limit func() time.Duration
	// Count adds to a counter of the process; nil means that nothing is counted.
	Count func(name string, n int64)
	// MaxOpen returns the largest number of open connections, 0 for no limit; nil means that there is none. Above it, the
	// connection that is used least is closed.
	MaxOpen func() int
	// MaxHead returns the largest size of a request's head in bytes, 0 for no limit; nil means that there is none.
	MaxHead func() int
	// Relieve ends a request whose body arrives slowest and reports whether there was one. It is called when there are too many
	// connections, all of them with a request in progress; nil means that there is none to end.
	Relieve func() bool

	mu sync.Mutex
	// accepting is the number of calls of Accept in progress.
	accepting int
	// open holds the connections that are neither closed nor hijacked.
	open map[net.Conn]*state
	shed shed.Shedder[net.Conn]
	// longHeads counts the connections with longHead set.
	longHeads int
}

// state is the state of a connection.
type state struct {
	// idle is set while the connection waits for its next request.
	idle bool
	// active is set from the end of a request's head to the end of its answer.
	active bool
	// longHead is set while the connection has a request whose head is long.
	longHead bool
	// waits is the number of waits so far, and timer ends the present one; it is nil without a limit.
	waits int
	timer *time.Timer
	// expired is set once the deadline is set that ends the wait.
	expired bool
	// looking is set from a last look for bytes of a request, after the wait was ended, to the end of the wait.
	looking bool
}

// Listener returns a listener whose connections the Closer follows.
func (c *Closer) Listener(l net.Listener) net.Listener { return &listener{Listener: l, closer: c} }

// ConnState follows the state of a connection. It is the ConnState hook of the http.Server that serves Listener.
func (c *Closer) ConnState(conn net.Conn, now http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch now {
	case http.StateIdle:
		c.setActive(conn, false)
		c.endLongHead(c.open[conn])
		c.shed.Idle(conn)
		c.wait(conn)
	case http.StateActive:
		c.setActive(conn, true)
		c.shed.Serving(conn)
		// The request may have been read along with the one before.
		c.endWait(conn)
	case http.StateClosed, http.StateHijacked:
		c.forget(conn)
	case http.StateNew:
		// Known since it was accepted.
	}
}

// Drain closes connections as they become idle, until the listener accepts none and none is open. It returns the error of
// ctx if that ends before. The listener must be closed.
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

// expireIdle ends the wait of all idle connections and returns the number of connections that are open or being accepted.
func (c *Closer) expireIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.open {
		if s.idle {
			expire(conn, s)
		}
	}
	return len(c.open) + c.accepting
}

func (c *Closer) beginAccept() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepting++
}

// endAccept records that a call of Accept returned a connection, or nil.
func (c *Closer) endAccept(accepted net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepting--
	if accepted == nil {
		return
	}
	if c.open == nil {
		c.open = map[net.Conn]*state{}
		c.shed.Max, c.shed.Now = c.maxOpen, time.Now
	}
	c.open[accepted] = &state{}
	address, _, _ := net.SplitHostPort(accepted.RemoteAddr().String())
	c.shed.Add(accepted, address)
}

func (c *Closer) maxOpen() int {
	if c.MaxOpen == nil {
		return 0
	}
	return c.MaxOpen()
}

// makeRoom closes the connection that is used least if there are too many. It reports false if there are and none may be closed.
func (c *Closer) makeRoom() bool {
	least, ok, over := c.shed.Pick()
	if !over {
		return true
	}
	c.count("connections_over_limit_total")
	if !ok {
		return c.Relieve != nil && c.Relieve()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.open[least]
	switch {
	case s == nil:
	case s.idle:
		expire(least, s)
	default:
		endUnread(least, s.active)
	}
	return true
}

// settle waits for a short time while many connections are being closed: new ones could otherwise come faster than they end.
func (c *Closer) settle() {
	for range maxSettlePauses {
		if c.shed.Closing()*closingDivisor <= c.maxOpen() {
			return
		}
		time.Sleep(settlePause)
	}
}

// setActive records the begin or the end of a request in progress. The caller holds c.mu.
func (c *Closer) setActive(conn net.Conn, active bool) {
	if s := c.open[conn]; s != nil {
		s.active = active
	}
	if active {
		endHead(conn)
	} else {
		beginHead(conn)
	}
}

// received ends the wait of a connection whose next request has begun to arrive.
func (c *Closer) received(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.open[conn]; s != nil && s.idle {
		c.shed.Receiving(conn)
	}
	c.endWait(conn)
}

// beginLook takes the deadline away by which the wait of a connection was ended, for a last look for bytes of a request. It reports
// whether the connection still waits.
func (c *Closer) beginLook(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.open[conn]
	if s == nil || !s.idle || !s.expired {
		return false
	}
	s.looking = true
	_ = conn.SetReadDeadline(time.Time{})
	return true
}

// endWait ends the wait of a connection. If the wait has expired meanwhile, the connection goes on without the deadline. The
// caller holds c.mu.
func (c *Closer) endWait(conn net.Conn) {
	s := c.open[conn]
	if s == nil || !s.idle {
		return
	}
	s.end()
	if s.expired {
		s.expired = false
		_ = conn.SetReadDeadline(time.Time{})
		c.count("requests_at_idle_limit_total")
	}
}

// wait starts the wait of a connection for its next request. The caller holds c.mu.
func (c *Closer) wait(conn net.Conn) {
	s := c.open[conn]
	if s == nil {
		return
	}
	s.idle = true
	s.waits++
	if c.Limit == nil {
		return
	}
	if limit := c.Limit(); limit > 0 {
		number := s.waits
		s.timer = time.AfterFunc(limit, func() { c.timeout(conn, number, limit) })
	}
}

// forget removes a connection that is closed or hijacked. The caller holds c.mu.
func (c *Closer) forget(conn net.Conn) {
	s := c.open[conn]
	if s == nil {
		return
	}
	s.end()
	c.endLongHead(s)
	if s.expired {
		c.count("idle_connections_closed_total")
	}
	delete(c.open, conn)
	c.shed.Remove(conn)
}

// timeout ends a wait of a connection, unless its next request has begun to arrive. It is repeated while the wait lasts, as
// the server sets a deadline of its own after ConnState.
func (c *Closer) timeout(conn net.Conn, number int, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.open[conn]
	if s == nil || !s.idle || s.waits != number {
		return
	}
	expire(conn, s)
	s.timer.Reset(limit)
}

func (c *Closer) count(name string) {
	if c.Count != nil {
		c.Count(name, 1)
	}
}

// end ends the wait of a connection.
func (s *state) end() {
	s.idle, s.looking = false, false
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}

// expire sets a deadline that has passed, so that a pending read of an idle connection ends. One that has ended is left to the
// server, which closes the connection unless a request has arrived.
func expire(conn net.Conn, s *state) {
	if s.looking {
		return
	}
	s.expired = true
	_ = conn.SetReadDeadline(time.Unix(1, 0))
}
