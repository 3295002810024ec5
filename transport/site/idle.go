package site

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections after the operator's idle timeout, which may change while the process runs.
//
// The exported fields are set before its first use.
type idleCloser struct {
	// Limit returns the present idle timeout, 0 for none.
	Limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// ConnState starts the timer of a connection that became idle and stops that of any other. It is the ConnState hook of an
// http.Server.
func (i *idleCloser) ConnState(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer := i.timers[conn]; timer != nil {
		timer.Stop()
		delete(i.timers, conn)
	}
	limit := i.Limit()
	if state != http.StateIdle || limit <= 0 {
		return
	}
	if i.timers == nil {
		i.timers = map[net.Conn]*time.Timer{}
	}
	i.timers[conn] = time.AfterFunc(limit, func() { _ = conn.Close() })
}
