package peers

import (
	"context"
	"slices"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/dryrun"
	"github.com/dragonflyroute/dragonflyroute/protocol/event"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
	"github.com/dragonflyroute/dragonflyroute/protocol/permit"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/reply"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
	"github.com/dragonflyroute/dragonflyroute/transport/spans"
)

// Heartbeat sends a heartbeat and returns the peer's own.
func (p *Peers) Heartbeat(ctx context.Context, address string, own beat.Heartbeat) (beat.Heartbeat, error) {
	var got beat.Heartbeat
	err := p.call(ctx, address, methodHeartbeat, own, &got)
	return got, err
}

// Query asks a peer for changes of the platform's tables and the sum of all hosts' load statistics.
func (p *Peers) Query(ctx context.Context, address string, q query.Query) (reply.Reply, error) {
	var got reply.Reply
	err := p.call(ctx, address, methodQuery, q, &got)
	return got, err
}

// Place asks another host to place a request.
func (p *Peers) Place(ctx context.Context, address string, t task.Task) (grant.Grant, error) {
	var got grant.Grant
	err := p.call(ctx, address, methodPlace, t, &got)
	return got, err
}

// Explain asks another host where it would place a request, and why.
func (p *Peers) Explain(ctx context.Context, address string, t task.Task) (dryrun.Result, error) {
	var got dryrun.Result
	err := p.call(ctx, address, methodExplain, t, &got)
	return got, err
}

// Report tells another host what became of the requests that it placed.
func (p *Peers) Report(ctx context.Context, address string, events []event.Event) error {
	return p.call(ctx, address, methodEvents, events, &accepted{})
}

// Permit requests a permit for one request to an endpoint that limits its requests.
func (p *Peers) Permit(ctx context.Context, address string, req permit.Permit) (permit.Permit, error) {
	var got permit.Permit
	err := p.call(ctx, address, methodPermit, req, &got)
	return got, err
}

// Fetch returns the peer's newest catalogue.
func (p *Peers) Fetch(ctx context.Context, address string) (*catlog.Catalogue, error) {
	c := &catlog.Catalogue{}
	err := p.call(ctx, address, methodFetch, struct{}{}, c)
	return c, err
}

// Push sends a catalogue to the peer, which adopts it if it is newer than its own.
func (p *Peers) Push(ctx context.Context, address string, c *catlog.Catalogue) error {
	return p.call(ctx, address, methodPush, c, &accepted{})
}

// HandOver transfers a running request to the peer; it returns an Unavailable error if the peer does not accept it.
func (p *Peers) HandOver(ctx context.Context, address string, t ticket.Ticket) error {
	var got accepted
	if err := p.call(ctx, address, methodHandOver, t, &got); err != nil {
		return err
	}
	if !got.OK {
		return fault.New(kind.Unavailable, "", "peer %s did not accept the request", address)
	}
	return nil
}

// Trials returns the trials of a move on the peers that answer within trialsTimeout, by address. Each call asks up to
// trialsPeers of them, in rotation.
func (p *Peers) Trials(ctx context.Context, move string) map[string][]trial.Trial {
	var mu sync.Mutex
	out := map[string][]trial.Trial{}
	ctx, cancel := context.WithTimeout(ctx, trialsTimeout)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for _, address := range p.nextPeers(move) {
		g.Go(func() error {
			var got []trial.Trial
			if p.call(ctx, address, methodTrials, moveParams{Move: move}, &got) != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			out[address] = got
			return nil
		})
	}
	_ = g.Wait()
	return out
}

// nextPeers returns the next peers to ask for a move's trials, at most trialsPeers of them, so that the traffic does not
// grow with the number of peers.
func (p *Peers) nextPeers(move string) []string {
	all := p.Contacts()
	slices.Sort(all)
	if len(all) <= trialsPeers {
		return all
	}
	p.mu.Lock()
	if p.nextTrials == nil || len(p.nextTrials) > maxTrackedMoves {
		p.nextTrials = map[string]int{}
	}
	first := p.nextTrials[move] % len(all)
	p.nextTrials[move] = first + trialsPeers
	p.mu.Unlock()
	return slices.Concat(all, all)[first : first+trialsPeers]
}

// Borrow asks a peer to lend a part of an account's limits.
func (p *Peers) Borrow(ctx context.Context, address string, req loan.Loan) (loan.Loan, error) {
	var got loan.Loan
	err := p.call(ctx, address, methodBorrow, req, &got)
	return got, err
}

// Return returns a loan to the peer that lent it. It is never retried, as a repeated return would count twice.
func (p *Peers) Return(ctx context.Context, address string, returned loan.Loan) error {
	return p.call(ctx, address, methodReturn, returned, &accepted{})
}

func (p *Peers) call(ctx context.Context, address, method string, params, result any) (err error) {
	if trace.SpanContextFromContext(ctx).IsValid() {
		var end func(error)
		ctx, end = spans.Start(ctx, "peer-hop", attribute.String("peer", address), attribute.String("method", method))
		defer func() { end(err) }()
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := p.client(ctx, address)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "connect to peer %s", address)
	}
	defer p.release(c)
	if err := c.conn.Call(ctx, method, params, result); err != nil {
		if c.isDead(method, err) {
			p.drop(address, c)
		}
		return fault.Wrap(kind.Unavailable, err, "call to peer %s: %s", address, method)
	}
	c.late.Store(0)
	return nil
}
