// Package dial opens TCP connections that detect an unresponsive peer, count their writes and tell a reset from an orderly end.
package dial

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the time to open a connection.
	connectTimeout = time.Second
	// keepAliveInterval is the time between keep-alive probes of an idle connection, keepAliveProbes the number of
	// unanswered ones after which it is closed.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection is closed.
	unackedTimeout = 3 * time.Second
)

// Conn is a connection that counts the writes started on it, and whose reads end with io.EOF only if its peer has closed it in
// order.
type Conn struct {
	net.Conn

	writes    atomic.Int64
	checkNext atomic.Pointer[func() error]
	onRead    atomic.Pointer[func(data []byte)]

	reads readState

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of the first write that failed, nil while none has.
	writeErr error
}

// CheckNextWrite makes the next write, and only that one, call check first. If check returns an error, the write sends no
// byte and returns it. The check is needed because the permission to send a request may end while its connection is being
// opened.
func (c *Conn) CheckNextWrite(check func() error) { c.checkNext.Store(&check) }

// OnRead has f, and no other function, called with what each read returns, before it does. The function that it returns ends
// that, unless another one has taken its place.
func (c *Conn) OnRead(f func(data []byte)) (remove func()) {
	c.onRead.Store(&f)
	return func() { c.onRead.CompareAndSwap(&f, nil) }
}

// Writes returns the number of writes started.
func (c *Conn) Writes() int64 { return c.writes.Load() }

// Write runs the check set for it, if there is one, then counts the write and starts it.
//
// A write that finds that the peer has ended the connection discards its data, as do later ones, and returns no error: the peer
// may have answered before, and its answer can still be read. The reads report the failure behind it.
func (c *Conn) Write(data []byte) (int, error) {
	if check := c.checkNext.Swap(nil); check != nil {
		if err := c.begin(*check); err != nil {
			return 0, err
		}
	}
	c.writes.Add(1)
	c.writing.Lock()
	defer c.writing.Unlock()
	if endedByPeer(c.writeErr) {
		return len(data), nil
	}
	n, err := c.Conn.Write(data)
	if c.writeErr == nil {
		c.writeErr = err
	}
	if endedByPeer(err) {
		return len(data), nil
	}
	return n, err
}

// begin returns an error if the next request must not be written: a write for an earlier one has failed, or the check fails.
func (c *Conn) begin(check func() error) error {
	if c.reads.closed.Load() {
		return net.ErrClosed
	}
	c.writing.Lock()
	err := c.writeErr
	c.writing.Unlock()
	if err != nil {
		return err
	}
	return check()
}

// endedByPeer reports whether a write failed because the peer has reset or closed the connection, or no longer reads.
func endedByPeer(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT)
}

// Read reads from the connection. The kernel reports the failure of a connection only once: if a write meets it first, the reads
// end like those of a connection that was closed in order. Such a read returns the error of the write instead of io.EOF.
func (c *Conn) Read(buffer []byte) (int, error) {
	c.reads.set(&c.reads.reading)
	n, err := c.Conn.Read(buffer)
	c.reads.reading.Store(false)
	if f := c.onRead.Load(); f != nil {
		(*f)(buffer[:n])
	}
	if errors.Is(err, io.EOF) {
		err = c.endOfReads()
	}
	return n, err
}

// endOfReads returns io.EOF if the peer has closed the connection in order, and otherwise the error that a write has met.
func (c *Conn) endOfReads() error {
	if !c.failed() {
		return io.EOF
	}
	// A write that is still in progress returns at once on such a connection.
	c.writing.Lock()
	defer c.writing.Unlock()
	// A reset that follows an orderly end is reported as EPIPE.
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return c.writeErr
}

// failed reports whether the kernel has given up the connection, as it does upon a reset or a timeout, or this process has closed
// it meanwhile. One that its peer has closed in order can still be written to.
func (c *Conn) failed() bool {
	failed := false
	err := c.control(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		failed = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return failed || err != nil
}

// Context opens a TCP connection that fails when its peer stops responding.
func Context(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}

// ResetOnClose opens a connection like Context, but Close resets it and discards unsent bytes (SO_LINGER of 0), so that
// a cancelled call does not arrive later.
func ResetOnClose(ctx context.Context, network, address string) (net.Conn, error) {
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

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
