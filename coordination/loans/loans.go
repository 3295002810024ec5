// Package loans moves parts of accounts' limits between entry hosts, with the requests saved up under them.
package loans

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/gate"
	"github.com/dragonflyroute/dragonflyroute/coordination/quota"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
)

// Loans is one process's side of every loan, as lender and as borrower.
//
// Saved-up requests (tokens) are never made by a loan and never counted twice: who gives them has taken them off its own
// count before. They are lost with a message that is. All methods may be called concurrently.
type Loans struct {
	// Quota holds the parts.
	Quota *quota.Quota
	// Gate holds the saved-up requests.
	Gate *gate.Gate
}

// Lend grants a part of the limits of an account of the given scale, with as much of what is saved up here.
func (l *Loans) Lend(ask loan.Loan, scale float64, e *entry.Entry, now time.Time) loan.Loan {
	tokens := l.Gate.Give(ask.Account, scale, e, l.Quota.Part(ask.Share), now)
	grant := l.Quota.Lend(ask, l.Gate.Used(ask.Account, scale, e, now), now)
	grant.Tokens = tokens
	return grant
}

// Take takes a grant that was asked for at asked.
func (l *Loans) Take(grant loan.Loan, scale float64, e *entry.Entry, asked, now time.Time) {
	l.Quota.Borrow(grant, asked)
	l.Gate.Take(grant.Account, scale, e, grant.Tokens, now)
}

// Ending returns the loans of an account on an entry that run out soon without being in use, to be sent back to their
// lenders with what was saved up beyond the rest; they are ended here.
func (l *Loans) Ending(due []loan.Loan, scale float64, e *entry.Entry, now time.Time) []loan.Loan {
	if len(due) == 0 {
		return nil
	}
	share, sum := l.Quota.Share(due[0].Account, e.Name, now), 0.0
	for _, d := range due {
		sum += d.Share
	}
	spare := l.Gate.Spare(due[0].Account, scale, e, max(0, share-sum), now)
	var back []loan.Loan
	for _, d := range due {
		tokens := spare * d.Share / sum
		if !l.Quota.End(d, now) {
			l.Gate.Take(d.Account, scale, e, tokens, now)
			continue
		}
		d.Tokens = tokens
		back = append(back, d)
	}
	return back
}

// Return takes back a loan that its borrower has ended.
func (l *Loans) Return(back loan.Loan, scale float64, e *entry.Entry, now time.Time) {
	l.Quota.Return(back, now)
	l.Gate.Take(back.Account, scale, e, back.Tokens, now)
}
