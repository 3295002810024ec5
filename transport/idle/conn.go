package idle

import (
	"net"
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

// Read reads bytes of a request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.closer.received(c)
	}
	return n, err
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
