// Package quota divides accounts' limits among the entry hosts, which lend each other unused shares.
package quota

import (
	"maps"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
)

// reservedFraction is the fraction of its own share that a host never lends, so that it can always admit some
// requests.
const reservedFraction = 0.1

// borrowThreshold is the utilisation of the held share from which a host requests more from others.
const borrowThreshold = 0.4

type key struct {
	account acct.ID
	entry   label.Name
}

type activeLoan struct {
	share   float64
	expires time.Time
	id      int64
}

type ledger struct {
	lent     map[host.ID]activeLoan
	borrowed map[host.ID]activeLoan
}

// Quota is one process's share of every account's limits.
//
// Each of Hosts processes owns an equal share. A process lends what it does not use for Term. The lender counts the
// term from the grant, the borrower from before its request, so the shares in use never add up to more than 1, whatever
// messages are lost. A process that starts owns nothing for one Term, because an earlier incarnation may have lent
// its share. All methods may be called concurrently.
type Quota struct {
	// Self is the ID of the process's host.
	Self host.ID
	// Hosts is the maximum number of processes at one time.
	Hosts int
	// Term is how long a loan lasts.
	Term time.Duration
	// Started is when the process started.
	Started time.Time
	// CleanStart is true if no process ran here within Term before the start, so that the own share may be used at once.
	CleanStart bool

	mu      sync.Mutex
	ledgers map[key]*ledger
	grants  int64
}

// Share returns the fraction of the limits, 0 to 1, that this process may use at now.
func (q *Quota) Share(account acct.ID, entry label.Name, now time.Time) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.share(q.ledger(account, entry, now), now)
}

func (q *Quota) share(l *ledger, now time.Time) float64 {
	return max(0, q.ownShare(now)-total(l.lent)) + total(l.borrowed)
}

func (q *Quota) ownShare(now time.Time) float64 {
	if !q.CleanStart && now.Sub(q.Started) < q.Term {
		return 0
	}
	return 1 / float64(q.Hosts)
}

func (q *Quota) ledger(account acct.ID, entry label.Name, now time.Time) *ledger {
	if q.ledgers == nil {
		q.ledgers = map[key]*ledger{}
	}
	k := key{account: account, entry: entry}
	l := q.ledgers[k]
	if l == nil {
		l = &ledger{lent: map[host.ID]activeLoan{}, borrowed: map[host.ID]activeLoan{}}
		q.ledgers[k] = l
	}
	expired := func(_ host.ID, t activeLoan) bool { return !now.Before(t.expires) }
	maps.DeleteFunc(l.lent, expired)
	maps.DeleteFunc(l.borrowed, expired)
	return l
}

func total(active map[host.ID]activeLoan) float64 {
	sum := 0.0
	for _, t := range active {
		sum += t.share
	}
	return sum
}

// Lend grants up to the requested share from the own share that is neither lent nor in use; used is the share in use
// here.
//
// A borrower that already has a loan gets it renewed for a new term, so that a busy account keeps its share; a loan
// never shrinks before its term is over. Only the own share is lent, never a borrowed one, so that a loan can't
// outlive its source.
func (q *Quota) Lend(request loan.Loan, used float64, now time.Time) loan.Loan {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.ledger(request.Account, request.Entry, now)
	free := q.ownShare(now)*(1-reservedFraction) - total(l.lent) - max(0, used-total(l.borrowed))
	held := l.lent[request.Host].share
	grant := max(held, min(request.Share, held+free))
	if free < 0 || grant <= 0 || request.Share <= 0 {
		return loan.Loan{Account: request.Account, Entry: request.Entry, Host: q.Self}
	}
	q.grants++
	id := q.Started.UnixNano() + q.grants
	l.lent[request.Host] = activeLoan{share: grant, expires: now.Add(q.Term), id: id}
	return loan.Loan{Account: request.Account, Entry: request.Entry, Host: q.Self, Share: grant, ID: id}
}

// Expiring returns the loans held here that expire within a quarter of the term and were not renewed, by account and
// entry; their Host is the lender.
func (q *Quota) Expiring(now time.Time) map[loan.Loan][]loan.Loan {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := map[loan.Loan][]loan.Loan{}
	for k, l := range q.ledgers {
		for lender, t := range l.borrowed {
			if remaining := t.expires.Sub(now); remaining <= 0 || remaining > q.Term/4 {
				continue
			}
			of := loan.Loan{Account: k.account, Entry: k.entry}
			out[of] = append(out[of], loan.Loan{Account: k.account, Entry: k.entry, Host: lender, Share: t.share, ID: t.id})
		}
	}
	return out
}

// End ends a loan held here, and reports whether it had not yet expired or been replaced.
func (q *Quota) End(l loan.Loan, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	borrowed := q.ledger(l.Account, l.Entry, now).borrowed
	if t, ok := borrowed[l.Host]; !ok || t.id != l.ID {
		return false
	}
	delete(borrowed, l.Host)
	return true
}

// Return ends a loan granted here that its borrower, named by Host, has returned.
func (q *Quota) Return(l loan.Loan, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	lent := q.ledger(l.Account, l.Entry, now).lent
	if t, ok := lent[l.Host]; ok && t.id == l.ID {
		delete(lent, l.Host)
	}
}

// OwnFraction returns a share as a fraction of the own share.
func (q *Quota) OwnFraction(share float64) float64 { return share * float64(q.Hosts) }

// Borrow records a grant that was requested at requestedAt; it replaces an earlier one of the same lender.
func (q *Quota) Borrow(grant loan.Loan, requestedAt time.Time) {
	if grant.Share <= 0 || grant.Share > 1 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.ledger(grant.Account, grant.Entry, requestedAt)
	l.borrowed[grant.Host] = activeLoan{share: grant.Share, expires: requestedAt.Add(q.Term), id: grant.ID}
}

// NeedsMore reports whether to request more: the utilisation of the held share is high, or loans in use expire within
// half a term.
func (q *Quota) NeedsMore(account acct.ID, entry label.Name, used float64, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.ledger(account, entry, now)
	if used > borrowThreshold*q.share(l, now) {
		return true
	}
	if used <= borrowThreshold*q.ownShare(now) {
		return false
	}
	for _, t := range l.borrowed {
		if t.expires.Sub(now) < q.Term/2 {
			return true
		}
	}
	return false
}
