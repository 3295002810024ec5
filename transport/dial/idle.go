package dial

import (
	"context"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// readState tells whether a connection is read.
type readState struct {
	// reading is set while a read waits or is about to, and closed once this process has closed the connection.
	reading, closed atomic.Bool
	// changed is closed when one of them is set; nil while nobody waits for that.
	changed atomic.Pointer[chan struct{}]
}

// set sets a flag.
func (s *readState) set(flag *atomic.Bool) {
	flag.Store(true)
	if changed := s.changed.Swap(nil); changed != nil {
		close(*changed)
	}
}

// await waits until done returns true, or ctx ends. Another call on the same connection must not run meanwhile.
func (s *readState) await(ctx context.Context, done func() bool) {
	for !done() {
		changed := make(chan struct{})
		s.changed.Store(&changed)
		if done() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// AwaitIdle waits until a read waits for data and none has arrived, or this process has closed the connection, or ctx ends. It
// returns whether the connection is open.
//
// A reader that expects nothing closes the connection when it finds data, such as what a peer sends behind the end of an answer.
// A request that is sent before could be given that data as its answer.
func (c *Conn) AwaitIdle(ctx context.Context) (open bool) {
	c.reads.await(ctx, func() bool { return c.reads.closed.Load() || c.reads.reading.Load() && c.unread() == 0 })
	return !c.reads.closed.Load()
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.reads.set(&c.reads.closed)
	return c.Conn.Close()
}

// unread returns the number of bytes that have arrived and were not read, 0 if it is not known.
func (c *Conn) unread() int {
	unread := 0
	_ = c.control(func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCINQ); err == nil {
			unread = n
		}
	})
	return unread
}

// control calls f with the connection's descriptor, if it has one. The error says that this process has closed the connection.
func (c *Conn) control(f func(fd int)) error {
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
