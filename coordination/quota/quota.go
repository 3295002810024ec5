// Package quota divides accounts' limits among the entry hosts.
package quota

import (
	"slices"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
)

// reserve is the part of its own base share that a host keeps back, so that it never starts from nothing.
const reserve = 0.2

type key struct {
	account acct.ID
	entry   label.Name
}

type term struct {
	share float64
	until time.Time
}

type ledger struct {
	lent     []term
	borrowed []term
}

// Quota is one process's part of every account's limits.
//
// Each of Hosts processes owns an equal part. A process lends what it does not use for Term: the lender counts the
// term from the grant, the borrower from before it asked, so the parts in use never add up to more than 1, whatever
// messages are lost. A process that starts owns nothing for one Term, because an earlier incarnation may have lent it.
// All methods may be called concurrently.
type Quota struct {
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
		l = &ledger{}
		q.ledgers[k] = l
	}
	over := func(t term) bool { return !now.Before(t.until) }
	l.lent = slices.DeleteFunc(l.lent, over)
	l.borrowed = slices.DeleteFunc(l.borrowed, over)
	return l
}

func total(terms []term) float64 {
	sum := 0.0
	for _, t := range terms {
		sum += t.share
	}
	return sum
}

// Lend grants up to what is asked of the own part that is neither lent nor in use; used is the part in use here.
//
// Only the own part is lent on, never a borrowed one, so that a loan can't outlive the part that it came from.
func (q *Quota) Lend(ask loan.Loan, used float64, now time.Time) loan.Loan {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.ledger(ask.Account, ask.Entry, now)
	own := q.own(now)
	free := own*(1-reserve) - total(l.lent) - max(0, used-total(l.borrowed))
	ask.Share = max(0, min(ask.Share, free))
	if ask.Share > 0 {
		l.lent = append(l.lent, term{share: ask.Share, until: now.Add(q.Term)})
	}
	return ask
}

// Borrow adds a grant that was asked for at asked.
func (q *Quota) Borrow(grant loan.Loan, asked time.Time) {
	if grant.Share <= 0 || grant.Share > 1 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.ledger(grant.Account, grant.Entry, asked)
	l.borrowed = append(l.borrowed, term{share: grant.Share, until: asked.Add(q.Term)})
}
