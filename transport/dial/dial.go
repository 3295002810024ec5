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
	// connectTime bounds the opening of a connection.
	connectTime = time.Second
	// probeTime is the time between probes of an idle connection, probes how many may stay unanswered.
	probeTime = time.Second
	probes    = 3
	// unackedTime is how long sent bytes may stay unacknowledged.
	unackedTime = 3 * time.Second
)

// Conn is a connection that counts the writes begun on it.
type Conn struct {
	net.Conn

	writes atomic.Int64
}

// Writes returns the number of writes begun.
func (c *Conn) Writes() int64 { return c.writes.Load() }

// Write counts and writes.
func (c *Conn) Write(data []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(data)
}

// Context opens a TCP connection that ends when its peer falls silent.
func Context(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         connectTime,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeTime, Interval: probeTime, Count: probes},
		Control:         control,
	}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}

func control(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTime.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
