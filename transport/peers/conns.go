package peers

import (
	"context"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// client is a connection to a peer.
type client struct {
	conn *jsonrpc2.Conn
	// busy counts the calls under way, and turn grows with each use of any connection.
	busy int
	turn int64
}

// client returns the connection to a peer, opened if there is none; done ends its use.
func (p *Peers) client(ctx context.Context, address string) (*client, error) {
	if c := p.use(address, nil); c != nil {
		return c, nil
	}
	conn, err := p.open(ctx, address)
	if err != nil {
		return nil, err
	}
	c := p.use(address, conn)
	if c.conn != conn {
		_ = conn.Close()
	}
	return c, nil
}

// use returns the connection to a peer in use once more; it keeps conn when there is none.
func (p *Peers) use(address string, conn *jsonrpc2.Conn) *client {
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
	p.turn++
	c.turn = p.turn
	c.busy++
	p.shrink()
	return c
}

// shrink closes the idle connections that were not used for longest while more than Keep are open.
func (p *Peers) shrink() {
	for len(p.clients) > p.Keep {
		oldest := ""
		for address, c := range p.clients {
			if c.busy == 0 && (oldest == "" || c.turn < p.clients[oldest].turn) {
				oldest = address
			}
		}
		if oldest == "" {
			return
		}
		_ = p.clients[oldest].conn.Close()
		delete(p.clients, oldest)
	}
}

func (p *Peers) done(c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.busy--
	p.shrink()
}

// Open returns the number of connections to peers.
func (p *Peers) Open() int {
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
	c := jsonrpc2.NewConn(context.WithoutCancel(ctx), p.stream(conn), jsonrpc2.HandlerWithError(refuse))
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

func refuse(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
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
