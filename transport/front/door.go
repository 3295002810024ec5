package front

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

const (
	// doorTimeout bounds the refusal of one connection.
	doorTimeout = 100 * time.Millisecond
	// doorWait is the time to come back after a refused connection.
	doorWait = time.Second
)

// door bounds the open connections, and what each keeps in the kernel; one too many is told so and closed, instead of
// left waiting.
type door struct {
	net.Listener
	max int64
	// buffer bounds what waits unread in the kernel for each caller, in bytes.
	buffer int
	open   atomic.Int64
}

// Accept returns the next connection within the bound.
func (d *door) Accept() (net.Conn, error) {
	for {
		conn, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(d.buffer)
		}
		if d.open.Add(1) <= d.max {
			return &counted{Conn: conn, door: d}, nil
		}
		d.open.Add(-1)
		d.refuse(conn)
	}
}

func (d *door) refuse(conn net.Conn) {
	e := fault.New(kind.Unavailable, "", "%d connections are open already", d.max).After(doorWait)
	if body, err := json.Marshal(e); err == nil {
		_ = conn.SetWriteDeadline(time.Now().Add(doorTimeout))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Service Unavailable\r\nContent-Type: %s\r\nRetry-After: 1\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
			e.Kind.Status(), fault.ContentType, len(body), body)
	}
	_ = conn.Close()
}

// counted is a connection that counts its end once.
type counted struct {
	net.Conn
	door *door
	once sync.Once
}

// Close closes the connection.
func (c *counted) Close() error {
	c.once.Do(func() { c.door.open.Add(-1) })
	return c.Conn.Close()
}
