// Package peers implements the protocol between entry hosts: JSON-RPC 2.0 over TCP.
//
// A connection is authenticated by a challenge: the server sends a nonce, and the client answers with its HMAC under the
// shared secret, so the secret itself is never sent.
package peers

import (
	"cmp"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/dryrun"
	"github.com/dragonflyroute/dragonflyroute/protocol/event"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
	"github.com/dragonflyroute/dragonflyroute/protocol/permit"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/reply"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

// The names of the protocol's methods.
const (
	methodChallenge = "challenge"
	methodHello     = "hello"
	methodHeartbeat = "pulse"
	methodFetch     = "catalogue-fetch"
	methodPush      = "catalogue-push"
	methodTrials    = "move-evidence"
	methodHandOver  = "ticket-hand-over"
	methodBorrow    = "limit-borrow"
	methodReturn    = "limit-return"
	methodQuery     = "tables-query"
	methodPermit    = "permit-request"
	methodPlace     = "place-request"
	methodEvents    = "place-events"
	methodExplain   = "place-explain"
)

const (
	callTimeout = time.Second
	// acceptRetryDelay is the pause after an error of accepting a connection.
	acceptRetryDelay = 50 * time.Millisecond
	// trialsTimeout bounds one collection of trials, well below the term of any lease.
	trialsTimeout = 250 * time.Millisecond
	// trialsPeers bounds the peers asked in one collection of trials.
	trialsPeers = 6
	// maxTrackedMoves bounds the moves for which the index of the next peer to ask is stored.
	maxTrackedMoves = 64
	nonceBytes      = 32
	// maxInbound bounds the connections that peers may open to this process. All hosts of a large fleet may request
	// permits of one endpoint from the same host.
	maxInbound = 1024
)

type service interface {
	// Heartbeat receives a peer's heartbeat and returns this process's own.
	Heartbeat(p beat.Heartbeat) beat.Heartbeat
	// Catalogue returns the newest known catalogue, or nil.
	Catalogue() *catlog.Catalogue
	// OfferCatalogue adopts a catalogue if it is newer than the known one.
	OfferCatalogue(c *catlog.Catalogue)
	// Trials returns this process's own trials of a move.
	Trials(move string) []trial.Trial
	// AcceptRequest stores a running request that a leaving peer hands over, and reports whether it was accepted.
	AcceptRequest(t ticket.Ticket) bool
	// Lend grants a part of an account's limits.
	Lend(req loan.Loan) loan.Loan
	// Query returns changes of the platform's tables and the sum of all hosts' load statistics.
	Query(q query.Query) reply.Reply
	// Permit answers a request for a permit to send one request to an endpoint that limits its requests.
	Permit(p permit.Permit) permit.Permit
	// Place places a request at an endpoint of a shard that this process keeps.
	Place(t task.Task) grant.Grant
	// Explain returns where this process would place a request at an endpoint of a shard that it keeps, and why.
	Explain(t task.Task) dryrun.Result
	// Record records what became of placed requests.
	Record(events []event.Event)
	// Return ends a loan that its borrower returns before the end of its term.
	Return(returned loan.Loan)
}

// Peers is the client and the server of the protocol between entry hosts. All methods may be called concurrently.
type Peers struct {
	// Secret is the shared secret of the entry hosts.
	Secret string
	// Service handles peers' calls.
	Service service
	// Contacts returns the peer addresses of the other entry hosts.
	Contacts func() []string
	// MaxOpen bounds the connections to peers that are kept open; set it well below the number that a peer accepts.
	MaxOpen int
	// MaxInbound returns the largest number of connections that peers may open to this process, 0 for maxInbound, which is the
	// most in any case; nil means maxInbound.
	MaxInbound func() int

	bytes   atomic.Int64
	mu      sync.Mutex
	clients map[string]*client
	// useCount grows with each use of a connection and orders them by their last use.
	useCount int64
	// nextTrials is the index of the next peer to ask for the trials of each move.
	nextTrials map[string]int
	inbound    int
}

type moveParams struct {
	Move string `json:"move"`
}

type accepted struct {
	OK bool `json:"ok"`
}

type nonce struct {
	Nonce []byte `json:"nonce"`
}

type proof struct {
	MAC []byte `json:"mac"`
}

// Serve answers peers on l until ctx ends.
func (p *Peers) Serve(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return l.Close()
	})
	g.Go(func() error {
		for {
			conn, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return ctx.Err()
			}
			if err != nil {
				// The process may be out of descriptors for a moment.
				time.Sleep(acceptRetryDelay)
				continue
			}
			p.accept(ctx, g, conn)
		}
	})
	_ = g.Wait()
	return nil
}

func (p *Peers) accept(ctx context.Context, g *errgroup.Group, conn net.Conn) {
	if !p.admitInbound() {
		_ = conn.Close()
		return
	}
	g.Go(func() error {
		defer p.releaseInbound()
		p.serve(ctx, conn)
		return nil
	})
}

func (p *Peers) admitInbound() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inbound >= p.inboundLimit() {
		return false
	}
	p.inbound++
	return true
}

func (p *Peers) inboundLimit() int {
	if p.MaxInbound == nil {
		return maxInbound
	}
	return min(cmp.Or(p.MaxInbound(), maxInbound), maxInbound)
}

func (p *Peers) releaseInbound() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inbound--
}

func (p *Peers) serve(ctx context.Context, conn net.Conn) {
	n := make([]byte, nonceBytes)
	if _, err := rand.Read(n); err != nil {
		_ = conn.Close()
		return
	}
	s := &session{peers: p, nonce: n}
	c := jsonrpc2.NewConn(ctx, p.stream(conn), jsonrpc2.HandlerWithError(s.handle))
	select {
	case <-c.DisconnectNotify():
	case <-ctx.Done():
		_ = c.Close()
	}
}

func (p *Peers) stream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(&meteredConn{Conn: conn, bytes: &p.bytes}, lineCodec{})
}

// meteredConn counts the bytes sent and received.
type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads and counts the bytes.
func (c *meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts the bytes.
func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Bytes returns the bytes sent to and received from peers since the start.
func (p *Peers) Bytes() int64 { return p.bytes.Load() }

// session is one peer's connection to this process.
type session struct {
	peers *Peers
	nonce []byte

	mu            sync.Mutex
	authenticated bool
}

func (s *session) handle(_ context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodChallenge:
		return nonce{Nonce: s.nonce}, nil
	case methodHello:
		return s.hello(c, r)
	}
	s.mu.Lock()
	authenticated := s.authenticated
	s.mu.Unlock()
	if !authenticated {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: kind.Unauthorized.String()}
	}
	return s.dispatch(r)
}

func (s *session) hello(c *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	var got proof
	if err := decodeParams(r, &got); err != nil {
		return nil, err
	}
	if !hmac.Equal(got.MAC, mac(s.peers.Secret, s.nonce)) {
		_ = c.Close()
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: kind.Unauthorized.String()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.authenticated = true
	return accepted{OK: true}, nil
}

func (s *session) dispatch(r *jsonrpc2.Request) (any, error) {
	service := s.peers.Service
	switch r.Method {
	case methodHeartbeat:
		return handleParams(r, service.Heartbeat)
	case methodFetch:
		return service.Catalogue(), nil
	case methodPush:
		return handleParams(r, func(c *catlog.Catalogue) accepted {
			service.OfferCatalogue(c)
			return accepted{OK: true}
		})
	case methodTrials:
		return handleParams(r, func(m moveParams) []trial.Trial { return service.Trials(m.Move) })
	case methodHandOver:
		return handleParams(r, func(t ticket.Ticket) accepted { return accepted{OK: service.AcceptRequest(t)} })
	case methodBorrow:
		return handleParams(r, service.Lend)
	case methodQuery:
		return handleParams(r, service.Query)
	case methodPermit:
		return handleParams(r, service.Permit)
	case methodPlace:
		return handleParams(r, service.Place)
	case methodExplain:
		return handleParams(r, service.Explain)
	case methodEvents:
		return handleParams(r, func(events []event.Event) accepted {
			service.Record(events)
			return accepted{OK: true}
		})
	case methodReturn:
		return handleParams(r, func(returned loan.Loan) accepted {
			service.Return(returned)
			return accepted{OK: true}
		})
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
}

func handleParams[P, A any](r *jsonrpc2.Request, handle func(P) A) (any, error) {
	var p P
	if err := decodeParams(r, &p); err != nil {
		return nil, err
	}
	return handle(p), nil
}

func decodeParams(r *jsonrpc2.Request, to any) error {
	if r.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: kind.BadRequest.String()}
	}
	if err := json.Unmarshal(*r.Params, to); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: kind.BadRequest.String()}
	}
	return nil
}

func mac(secret string, nonce []byte) []byte {
	h := hmac.New(sha256.New, []byte(secret))
	h.Write(nonce)
	return h.Sum(nil)
}
