package site

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections that are idle for longer than the operator allows, which may change at any time.
//
// The exported fields are set before its first use.
type idleCloser struct {
	// Limit returns how long a connection may be idle now, nought when nobody says.
	Limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// Note takes a connection's new state; it is an http.Server's ConnState.
func (i *idleCloser) Note(conn net.Conn, state http.ConnState) {
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
