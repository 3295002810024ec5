package idle

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// refusalTimeout bounds the write of headRefusal, the answer to a request whose head is too large.
	refusalTimeout = 100 * time.Millisecond
	headRefusal    = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// longHeadRefusal is the answer to a request with a long head while there are as many as may be: it has not run.
	longHeadRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// listener accepts connections that a Closer follows from their acceptance on.
type listener struct {
	net.Listener
	closer *Closer
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		l.closer.settle()
		c, err := l.acceptOne()
		if err != nil || l.closer.makeRoom() {
			return c, err
		}
		l.closer.ConnState(c, http.StateClosed)
		_ = c.Close()
		l.closer.count("connections_refused_total")
	}
}

// acceptOne waits for the next connection, which the Closer follows from then on.
func (l *listener) acceptOne() (net.Conn, error) {
	l.closer.beginAccept()
	inner, err := l.Listener.Accept()
	if err != nil {
		l.closer.endAccept(nil)
		return nil, err
	}
	c := &conn{Conn: inner, closer: l.closer, head: &headScanner{}}
	l.closer.endAccept(c)
	return c, nil
}

// conn tells a Closer of the bytes that arrive and of writes that its caller does not read, and bounds the heads of requests.
type conn struct {
	net.Conn
	closer *Closer
	// head bounds the head that is being read. Only the goroutine that reads uses it, and the server between two reads.
	head *headScanner
	// writing is set while a write is in progress, and answered once the server has sent all it will.
	writing, answered atomic.Bool
	// ended is set once no more of the present head is to be read. The read deadline does not suffice, as the server may set
	// another one.
	ended atomic.Bool
}

// endUnread ends a connection whose caller does not read or has its last answer, or whose head has not arrived. The latter is
// left to the server, which closes the connection when its read fails. One with another request in progress stays.
func endUnread(of net.Conn, active bool) {
	c, ok := of.(*conn)
	switch {
	case !ok:
	case c.writing.Load() || c.answered.Load():
		_ = c.Close()
		// The server may go on waiting for the caller, though the descriptor is free.
		c.closer.shed.Remove(c)
	case !active:
		c.ended.Store(true)
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// Read reads bytes of a request. A read that the end of a wait has ended looks once more whether bytes have arrived: a deadline
// ends a read whatever has come, and a process that gets no processor time returns from it late.
func (c *conn) Read(p []byte) (int, error) {
	if c.ended.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.closer.beginLook(c) {
		if late, ok := c.readArrived(p); ok {
			n, err = late, nil
		}
	}
	if n > 0 {
		c.closer.received(c)
	}
	if !c.head.scan(p[:n], c.closer.maxHead()) {
		c.refuseHead(headRefusal)
		return 0, io.EOF
	}
	if c.head.isLong() && !c.closer.admitLongHead(c) {
		c.refuseHead(longHeadRefusal)
		return 0, io.EOF
	}
	return n, err
}

// refuseHead answers a request whose head is not read to its end, unless the caller does not read.
func (c *conn) refuseHead(answer string) {
	c.closer.count("heads_refused_total")
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, answer)
}

// Write writes bytes of an answer.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Store(true)
	c.closer.shed.Blocked(c)
	n, err := c.Conn.Write(p)
	c.closer.shed.Serving(c)
	c.writing.Store(false)
	return n, err
}

// readArrived reads bytes that have arrived, without waiting for any, and reports whether there were some.
func (c *conn) readArrived(p []byte) (n int, ok bool) {
	inner, hasRaw := c.Conn.(syscall.Conn)
	if !hasRaw {
		return 0, false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return 0, false
	}
	readErr := io.ErrNoProgress
	err = raw.Read(func(fd uintptr) bool {
		for {
			n, readErr = unix.Read(int(fd), p)
			if !errors.Is(readErr, unix.EINTR) {
				return true
			}
		}
	})
	return n, err == nil && readErr == nil && n > 0
}

// CloseWrite closes the writing side, if the connection has two sides. The server waits some time after it, so that the caller
// can read the answer before the connection is closed.
func (c *conn) CloseWrite() error {
	c.answered.Store(true)
	c.closer.shed.Idle(c)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what a close does with unsent bytes, if the connection is a TCP connection.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}
