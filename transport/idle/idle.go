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
// The exported fields are set before its first use. All methods may be called concurrently.
type Closer struct {
	// Limit returns the present idle timeout, 0 for none.
	Limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// ConnState starts the timer of a connection that became idle and stops that of any other. It is the ConnState hook of an
// http.Server.
func (c *Closer) ConnState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer := c.timers[conn]; timer != nil {
		timer.Stop()
		delete(c.timers, conn)
	}
	limit := c.Limit()
	if state != http.StateIdle || limit <= 0 {
		return
	}
	if c.timers == nil {
		c.timers = map[net.Conn]*time.Timer{}
	}
	c.timers[conn] = time.AfterFunc(limit, func() { _ = conn.Close() })
}
