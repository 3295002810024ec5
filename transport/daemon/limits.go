package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
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
			d.take(grant, asked)
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

// giveBack returns the loans that are not in use to their lenders, with what was saved up under them.
func (d *Daemon) giveBack(ctx context.Context) {
	due := d.quota.Expiring(time.Now())
	if len(due) == 0 {
		return
	}
	peers := map[host.ID]string{}
	for _, p := range d.fleet.Alive(time.Now()) {
		peers[p.Host] = p.Peers
	}
	for of, loans := range due {
		e, scale := d.limited(of)
		if e == nil {
			continue
		}
		for _, back := range d.loans.ReleaseExpiring(loans, scale, e, time.Now()) {
			address := peers[back.By]
			if address == "" {
				continue
			}
			back.By = d.Settings.Host
			if err := d.peers.Return(ctx, address, back); err != nil {
				d.Log.Debug("loan not given back; it runs out by itself", "account", back.Account, "entry", back.Entry, "error", err)
			}
		}
	}
}

// limited returns the entry and the account's scale that a loan is for; the entry is nil when either is unknown.
func (d *Daemon) limited(of loan.Loan) (*entry.Entry, float64) {
	cat := d.holder.Current()
	if cat == nil || cat.Scale(of.Account) == 0 {
		return nil, 0
	}
	return cat.Entry(of.Entry), cat.Scale(of.Account)
}

// Lend grants a part of an account's limits that is not used here.
func (p *peerService) Lend(ask loan.Loan) loan.Loan {
	e, scale := p.d.limited(ask)
	if e == nil {
		return loan.Loan{Account: ask.Account, Entry: ask.Entry, By: p.d.Settings.Host}
	}
	return p.d.loans.Lend(ask, scale, e, time.Now())
}

// Return takes back a part of an account's limits that its borrower has ended.
func (p *peerService) Return(back loan.Loan) {
	if e, scale := p.d.limited(back); e != nil {
		p.d.loans.Return(back, scale, e, time.Now())
	}
}

// take takes a grant that was asked for at asked.
func (d *Daemon) take(grant loan.Loan, asked time.Time) {
	if e, scale := d.limited(grant); e != nil {
		d.loans.Take(grant, scale, e, asked, time.Now())
	}
}
