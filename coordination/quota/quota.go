// Package quota divides accounts' limits among the entry hosts.
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

// reserve is the part of its own base share that a host keeps back, so that it never starts from nothing.
const reserve = 0.1

// wantShare is the use of the part held from which more is asked for.
const wantShare = 0.4

type key struct {
	account acct.ID
	entry   label.Name
}

type term struct {
	share float64
	until time.Time
	id    int64
}

type ledger struct {
	lent     map[host.ID]term
	borrowed map[host.ID]term
}

// Quota is one process's part of every account's limits.
//
// Each of Hosts processes owns an equal part. A process lends what it does not use for Term: the lender counts the
// term from the grant, the borrower from before it asked, so the parts in use never add up to more than 1, whatever
// messages are lost. A process that starts owns nothing for one Term, because an earlier incarnation may have lent it.
// All methods may be called concurrently.
type Quota struct {
	// Self names the process's host.
	Self host.ID
	// Hosts bounds the processes at one time.
	Hosts int
	// Term is how long a loan lasts.
	Term time.Duration
	// Started is when the process started.
	Started time.Time
	// Fresh tells that no process ran here within Term before, so that the own part may be used at once.
	Fresh bool

	mu      sync.Mutex
	ledgers map[key]*ledger
	granted int64
}

// Share returns the part of the limits, 0 to 1, that this process may use at now.
func (q *Quota) Share(account acct.ID, entry label.Name, now time.Time) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.share(q.ledger(account, entry, now), now)
}

func (q *Quota) share(l *ledger, now time.Time) float64 {
	return max(0, q.own(now)-total(l.lent)) + total(l.borrowed)
}

func (q *Quota) own(now time.Time) float64 {
	if !q.Fresh && now.Sub(q.Started) < q.Term {
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
		l = &ledger{lent: map[host.ID]term{}, borrowed: map[host.ID]term{}}
		q.ledgers[k] = l
	}
	over := func(_ host.ID, t term) bool { return !now.Before(t.until) }
	maps.DeleteFunc(l.lent, over)
	maps.DeleteFunc(l.borrowed, over)
	return l
}

func total(terms map[host.ID]term) float64 {
	sum := 0.0
	for _, t := range terms {
		sum += t.share
	}
	return sum
}

// Lend grants up to what is asked of the own part that is neither lent nor in use; used is the part in use here.
//
// A host that has a loan gets it for a new term, so that a busy account keeps its place; a loan never shrinks before
// its term is over. Only the own part is lent on, never a borrowed one, so that a loan can't outlive its source.
func (q *Quota) Lend(ask loan.Loan, used float64, now time.Time) loan.Loan {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.ledger(ask.Account, ask.Entry, now)
	free := q.own(now)*(1-reserve) - total(l.lent) - max(0, used-total(l.borrowed))
	held := l.lent[ask.By].share
	grant := max(held, min(ask.Share, held+free))
	if free < 0 || grant <= 0 || ask.Share <= 0 {
		return loan.Loan{Account: ask.Account, Entry: ask.Entry, By: q.Self}
	}
	q.granted++
	id := q.Started.UnixNano() + q.granted
	l.lent[ask.By] = term{share: grant, until: now.Add(q.Term), id: id}
	return loan.Loan{Account: ask.Account, Entry: ask.Entry, By: q.Self, Share: grant, ID: id}
}

// Ending returns the loans held here that run out within a quarter of the term and were not renewed; By is the lender.
func (q *Quota) Ending(now time.Time) map[loan.Loan][]loan.Loan {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := map[loan.Loan][]loan.Loan{}
	for k, l := range q.ledgers {
		for by, t := range l.borrowed {
			if left := t.until.Sub(now); left <= 0 || left > q.Term/4 {
				continue
			}
			of := loan.Loan{Account: k.account, Entry: k.entry}
			out[of] = append(out[of], loan.Loan{Account: k.account, Entry: k.entry, By: by, Share: t.share, ID: t.id})
		}
	}
	return out
}

// End ends a loan held here, and reports whether it still stood.
func (q *Quota) End(l loan.Loan, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	borrowed := q.ledger(l.Account, l.Entry, now).borrowed
	if t, ok := borrowed[l.By]; !ok || t.id != l.ID {
		return false
	}
	delete(borrowed, l.By)
	return true
}

// Return ends a loan given from here that its borrower, named by By, has ended.
func (q *Quota) Return(l loan.Loan, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	lent := q.ledger(l.Account, l.Entry, now).lent
	if t, ok := lent[l.By]; ok && t.id == l.ID {
		delete(lent, l.By)
	}
}

// Part returns what part of the own limits a share is.
func (q *Quota) Part(share float64) float64 { return share * float64(q.Hosts) }

// Borrow takes a grant that was asked for at asked, in place of an earlier one of the same lender.
func (q *Quota) Borrow(grant loan.Loan, asked time.Time) {
	if grant.Share <= 0 || grant.Share > 1 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.ledger(grant.Account, grant.Entry, asked)
	l.borrowed[grant.By] = term{share: grant.Share, until: asked.Add(q.Term), id: grant.ID}
}

// Wants reports whether it is time to ask for more: the use nears the part held, or the loans in use run out soon.
func (q *Quota) Wants(account acct.ID, entry label.Name, used float64, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.ledger(account, entry, now)
	if used > wantShare*q.share(l, now) {
		return true
	}
	if used <= wantShare*q.own(now) {
		return false
	}
	for _, t := range l.borrowed {
		if t.until.Sub(now) < q.Term/2 {
			return true
		}
	}
	return false
}
