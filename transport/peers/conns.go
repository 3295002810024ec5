package peers

import (
	"context"
	"errors"
	"net"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// client is a connection to a peer.
type client struct {
	conn *jsonrpc2.Conn
	// calls is the number of calls in progress, lastUse the value of Peers.useCount at the last one.
	calls   int
	lastUse int64
	// late counts the calls with a short timeout since the last answer to which there was none in time.
	late atomic.Int32
}

// maxLate is the number of calls with a short timeout without an answer in time after which a connection counts as dead.
const maxLate = 5

// isDead reports whether the failure of a call shows that the connection is dead. A late answer does not where the caller
// waits for a short time only, unless one call after the other has none.
func (c *client) isDead(method string, err error) bool {
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) {
		c.late.Store(0)
		return false
	}
	short := method == methodPlace || method == methodEvents || method == methodExplain
	return !short || !errors.Is(err, context.DeadlineExceeded) || c.late.Add(1) >= maxLate
}

// client returns the connection to a peer and opens one if there is none; the caller must release it.
func (p *Peers) client(ctx context.Context, address string) (*client, error) {
	if c := p.acquire(address, nil); c != nil {
		return c, nil
	}
	conn, err := p.open(ctx, address)
	if err != nil {
		return nil, err
	}
	c := p.acquire(address, conn)
	if c.conn != conn {
		_ = conn.Close()
	}
	return c, nil
}

// acquire returns the connection to a peer and counts one more call on it. If there is none it stores conn, or returns
// nil if conn is nil too.
func (p *Peers) acquire(address string, conn *jsonrpc2.Conn) *client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil && conn == nil {
		return nil
	}
	if c == nil {
		if p.clients == nil {
			p.clients = map[string]*client{}
		}
		c = &client{conn: conn}
		p.clients[address] = c
	}
	p.useCount++
	c.lastUse = p.useCount
	c.calls++
	p.evictIdle()
	return c
}

// evictIdle closes the least recently used idle connections while more than MaxOpen are open. p.mu must be held.
func (p *Peers) evictIdle() {
	for len(p.clients) > p.MaxOpen {
		leastRecent := ""
		for address, c := range p.clients {
			if c.calls == 0 && (leastRecent == "" || c.lastUse < p.clients[leastRecent].lastUse) {
				leastRecent = address
			}
		}
		if leastRecent == "" {
			return
		}
		_ = p.clients[leastRecent].conn.Close()
		delete(p.clients, leastRecent)
	}
}

func (p *Peers) release(c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	p.evictIdle()
}

// OpenConnections returns the number of open connections to peers.
func (p *Peers) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.clients)
}

func (p *Peers) open(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := jsonrpc2.NewConn(context.WithoutCancel(ctx), p.stream(conn), jsonrpc2.HandlerWithError(rejectCall))
	var n nonce
	if err := c.Call(ctx, methodChallenge, struct{}{}, &n); err != nil {
		_ = c.Close()
		return nil, err
	}
	if err := c.Call(ctx, methodHello, proof{MAC: mac(p.Secret, n.Nonce)}, &accepted{}); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: kind.NotFound.String()}
}

func (p *Peers) drop(address string, c *client) {
	p.mu.Lock()
	if p.clients[address] == c {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	_ = c.conn.Close()
}

// Close closes all connections to peers.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		_ = c.conn.Close()
	}
	p.clients = nil
}
