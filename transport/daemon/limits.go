package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
)

const (
	// askAgain is the time between requests for more of the same limits.
	askAgain = 100 * time.Millisecond
	// loanPeers bounds the peers asked for one loan.
	loanPeers = 8
	// maxAsked bounds the accounts and entries whose last request is remembered.
	maxAsked = 4096
)

// askedFor remembers when limits were asked for, so that a flood does not flood the peers.
type askedFor struct {
	mu   sync.Mutex
	last map[loan.Loan]time.Time
}

func (a *askedFor) due(ask loan.Loan, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.last[ask]) < askAgain {
		return false
	}
	if a.last == nil || len(a.last) >= maxAsked {
		a.last = map[loan.Loan]time.Time{}
	}
	a.last[ask] = now
	return true
}

// borrow asks a few peers at once for what an account lacks here, and reports whether any gave something.
func (d *Daemon) borrow(ctx context.Context, ask loan.Loan) bool {
	asked := time.Now()
	if !d.asked.due(ask, asked) {
		return false
	}
	var mu sync.Mutex
	got := false
	g, ctx := errgroup.WithContext(ctx)
	alive := d.fleet.Alive(asked)
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	for _, p := range alive[:min(len(alive), loanPeers)] {
		g.Go(func() error {
			grant, err := d.peers.Borrow(ctx, p.Peers, ask)
			if err != nil || grant.Share <= 0 {
				return nil
			}
			d.quota.Borrow(grant, asked)
			d.take(grant)
			mu.Lock()
			defer mu.Unlock()
			got = true
			return nil
		})
	}
	_ = g.Wait()
	return got
}

// maxWanted bounds the accounts and entries that wait to be asked for.
const maxWanted = 256

// wanted queues a request for more limits; one that finds the queue full is dropped, the next request repeats it.
func (d *Daemon) wanted(ask loan.Loan) {
	select {
	case d.wants <- ask:
	default:
	}
}

// askAhead borrows what will soon be needed.
func (d *Daemon) askAhead(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case ask := <-d.wants:
			d.borrow(ctx, ask)
		}
	}
}

// Lend grants a part of an account's limits that is not used here.
func (p *peerService) Lend(ask loan.Loan) loan.Loan {
	now := time.Now()
	cat := p.d.holder.Current()
	refused := loan.Loan{Account: ask.Account, Entry: ask.Entry, By: p.d.Settings.Host}
	if cat == nil {
		return refused
	}
	e, scale := cat.Entry(ask.Entry), cat.Scale(ask.Account)
	if e == nil || scale == 0 {
		return refused
	}
	tokens := p.d.gate.Give(ask.Account, scale, e, p.d.quota.Part(ask.Share), now)
	grant := p.d.quota.Lend(ask, p.d.gate.Used(ask.Account, scale, e, now), now)
	grant.Tokens = tokens
	return grant
}

// take adds the tokens that came with a grant.
func (d *Daemon) take(grant loan.Loan) {
	cat := d.holder.Current()
	if cat == nil {
		return
	}
	e, scale := cat.Entry(grant.Entry), cat.Scale(grant.Account)
	if e != nil && scale > 0 {
		d.gate.Take(grant.Account, scale, e, grant.Tokens, time.Now())
	}
}
