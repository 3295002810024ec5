package front

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

const (
	// rejectTimeout bounds the write of the error response to a rejected connection.
	rejectTimeout = 100 * time.Millisecond
	// rejectRetryAfter is the Retry-After of a rejected connection.
	rejectRetryAfter = time.Second
)

// limitListener limits the number of open connections and their kernel write buffers. A connection beyond the limit
// gets an error response and is closed at once, instead of waiting in the accept queue.
type limitListener struct {
	net.Listener
	max int64
	// buffer is the size of each connection's kernel write buffer, in bytes.
	buffer int
	// open counts the open connections.
	open atomic.Int64
}

// Accept returns the next connection within the limit; it rejects those beyond.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(l.buffer)
		}
		if l.open.Add(1) <= l.max {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.reject(conn)
	}
}

func (l *limitListener) reject(conn net.Conn) {
	e := fault.New(kind.Unavailable, "", "connection limit of %d reached", l.max).WithRetryAfter(rejectRetryAfter)
	if body, err := json.Marshal(e); err == nil {
		_ = conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Service Unavailable\r\nContent-Type: %s\r\nRetry-After: 1\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
			e.Kind.Status(), fault.ContentType, len(body), body)
	}
	_ = conn.Close()
}

// countedConn is an accepted connection that is counted in open until it is closed.
type countedConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

// SyscallConn returns the connection in the kernel, if there is one.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := c.Conn.(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Close closes the connection and frees its place in the limit.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
