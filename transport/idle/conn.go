package idle

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// listener accepts connections that a Closer follows from their acceptance on.
type listener struct {
	net.Listener
	closer *Closer
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	l.closer.beginAccept()
	inner, err := l.Listener.Accept()
	if err != nil {
		l.closer.endAccept(nil)
		return nil, err
	}
	c := &conn{Conn: inner, closer: l.closer}
	l.closer.endAccept(c)
	return c, nil
}

// conn tells a Closer of the bytes that arrive.
type conn struct {
	net.Conn
	closer *Closer
}

// Read reads bytes of a request. A read that the end of a wait has ended looks once more whether bytes have arrived: a deadline
// ends a read whatever has come, and a process that gets no processor time returns from it late.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.closer.beginLook(c) {
		if late, ok := c.readArrived(p); ok {
			n, err = late, nil
		}
	}
	if n > 0 {
		c.closer.received(c)
	}
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

// CloseWrite closes the writing side, if the connection has two sides.
func (c *conn) CloseWrite() error {
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
