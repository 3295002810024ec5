// Package dial opens connections whose silence is noticed and whose writes are counted.
package dial

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the opening of a connection.
	connectTimeout = time.Second
	// keepAliveInterval is the time between probes of an idle connection, probes how many may stay unanswered.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// unackedTimeout is how long sent bytes may stay unacknowledged.
	unackedTimeout = 3 * time.Second
)

// Conn is a connection that counts the writes begun on it.
type Conn struct {
	net.Conn

	writes    atomic.Int64
	checkNext atomic.Pointer[func() error]
}

// AskFirst has the next write, and no other, ask whether it may still be made; an error is returned by the write, of
// which no byte is sent. What was allowed when a connection was asked for may have changed once it is open.
func (c *Conn) AskFirst(check func() error) { c.checkNext.Store(&check) }

// Writes returns the number of writes begun.
func (c *Conn) Writes() int64 { return c.writes.Load() }

// Write counts and writes.
func (c *Conn) Write(data []byte) (int, error) {
	if check := c.checkNext.Swap(nil); check != nil {
		if err := (*check)(); err != nil {
			return 0, err
		}
	}
	c.writes.Add(1)
	return c.Conn.Write(data)
}

// Context opens a TCP connection that ends when its peer falls silent.
func Context(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         control,
	}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}

// Dropping opens a connection like Context; closing it drops what was not sent yet, so that a call that was given up does
// not arrive later.
func Dropping(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := Context(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*Conn).Conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			_ = c.Close()
			return nil, err
		}
	}
	return c, nil
}

func control(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
