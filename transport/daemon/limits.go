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
	// borrowInterval is the minimum interval between two attempts to borrow the same limits.
	borrowInterval = 100 * time.Millisecond
	// maxLenders bounds the peers that are asked for one loan.
	maxLenders = 8
	// maxBorrowTimes bounds the accounts and entries for which the time of the last attempt is stored.
	maxBorrowTimes = 4096
)

// borrowLimiter limits how often the same limits are borrowed, so that a burst of requests over an account's limits
// does not become a burst of calls to the peers.
type borrowLimiter struct {
	mu   sync.Mutex
	last map[loan.Loan]time.Time
}

// allow reports whether limits may be borrowed again, and records the attempt if so.
func (b *borrowLimiter) allow(req loan.Loan, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.last[req]) < borrowInterval {
		return false
	}
	if b.last == nil || len(b.last) >= maxBorrowTimes {
		b.last = map[loan.Loan]time.Time{}
	}
	b.last[req] = now
	return true
}

// borrow asks up to maxLenders random peers in parallel for a share of an account's limits and reports whether any of
// them granted one.
func (d *Daemon) borrow(ctx context.Context, req loan.Loan) bool {
	requested := time.Now()
	if !d.borrowLimiter.allow(req, requested) {
		return false
	}
	var mu sync.Mutex
	granted := false
	g, ctx := errgroup.WithContext(ctx)
	alive := d.fleet.Alive(requested)
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	for _, p := range alive[:min(len(alive), maxLenders)] {
		g.Go(func() error {
			grant, err := d.peers.Borrow(ctx, p.PeerAddress, req)
			if err != nil || grant.Share <= 0 {
				return nil
			}
			d.acceptLoan(grant, requested)
			mu.Lock()
			defer mu.Unlock()
			granted = true
			return nil
		})
	}
	_ = g.Wait()
	return granted
}

// borrowQueueSize bounds the queue of limits to borrow in the background.
const borrowQueueSize = 256

// borrowAhead queues limits to be borrowed in the background. When the queue is full the request is dropped; the
// account's next request to the entry repeats it.
func (d *Daemon) borrowAhead(req loan.Loan) {
	select {
	case d.borrowQueue <- req:
	default:
	}
}

// processBorrowQueue borrows the queued limits until ctx ends.
func (d *Daemon) processBorrowQueue(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case req := <-d.borrowQueue:
			d.borrow(ctx, req)
		}
	}
}

// returnLoans returns expiring loans that are not in use to their lenders, with the tokens that accrued under them.
func (d *Daemon) returnLoans(ctx context.Context) {
	due := d.quota.Expiring(time.Now())
	if len(due) == 0 {
		return
	}
	addresses := map[host.ID]string{}
	for _, p := range d.fleet.Alive(time.Now()) {
		addresses[p.Host] = p.PeerAddress
	}
	for key, loans := range due {
		e, scale := d.limitsOf(key)
		if e == nil {
			continue
		}
		for _, l := range d.loans.ReleaseExpiring(loans, scale, e, time.Now()) {
			address := addresses[l.Host]
			if address == "" {
				continue
			}
			l.Host = d.Settings.Host
			if err := d.peers.Return(ctx, address, l); err != nil {
				d.Log.Debug("loan not returned to its lender; it expires at the end of its term", "account", l.Account, "entry", l.Entry, "error", err)
			}
		}
	}
}

// limitsOf returns the entry and the account's scale factor for a loan; the entry is nil when either is unknown.
func (d *Daemon) limitsOf(l loan.Loan) (*entry.Entry, float64) {
	c := d.catalogue.Current()
	if c == nil || c.Scale(l.Account) == 0 {
		return nil, 0
	}
	return c.Entry(l.Entry), c.Scale(l.Account)
}

// Lend grants a share of an account's limits that this process does not use.
func (p *peerService) Lend(req loan.Loan) loan.Loan {
	e, scale := p.d.limitsOf(req)
	if e == nil {
		return loan.Loan{Account: req.Account, Entry: req.Entry, Host: p.d.Settings.Host}
	}
	return p.d.loans.Lend(req, scale, e, time.Now())
}

// Return ends a loan that its borrower returns before the end of its term.
func (p *peerService) Return(l loan.Loan) {
	if e, scale := p.d.limitsOf(l); e != nil {
		p.d.loans.Return(l, scale, e, time.Now())
	}
}

// acceptLoan adds a granted loan to the local limits; its term counts from the time of the request.
func (d *Daemon) acceptLoan(grant loan.Loan, requested time.Time) {
	if e, scale := d.limitsOf(grant); e != nil {
		d.loans.Take(grant, scale, e, requested, time.Now())
	}
}
