// Package loans moves shares of accounts' limits between entry hosts, with the rate tokens accrued under them.
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
// A loan never creates tokens or counts them twice: the sender removes them from its own bucket before it sends them.
// A lost message loses its tokens. All methods may be called concurrently.
type Loans struct {
	// Quota holds the shares.
	Quota *quota.Quota
	// Gate holds the token buckets.
	Gate *gate.Gate
}

// Lend grants a share of the limits of an account of the given scale, with the matching fraction of the tokens held
// here.
func (l *Loans) Lend(request loan.Loan, scale float64, e *entry.Entry, now time.Time) loan.Loan {
	tokens := l.Gate.RemoveTokens(request.Account, scale, e, l.Quota.OwnFraction(request.Share), now)
	grant := l.Quota.Lend(request, l.Gate.Used(request.Account, scale, e, now), now)
	grant.Tokens = tokens
	return grant
}

// Take records a grant that was requested at requestedAt, and adds its tokens to the bucket.
func (l *Loans) Take(grant loan.Loan, scale float64, e *entry.Entry, requestedAt, now time.Time) {
	l.Quota.Borrow(grant, requestedAt)
	l.Gate.AddTokens(grant.Account, scale, e, grant.Tokens, now)
}

// ReleaseExpiring ends the loans of an account on an entry that expire soon and were not renewed. It returns them, to be
// sent back to their lenders, with the tokens that no longer fit the bucket once the loans are gone.
func (l *Loans) ReleaseExpiring(due []loan.Loan, scale float64, e *entry.Entry, now time.Time) []loan.Loan {
	if len(due) == 0 {
		return nil
	}
	share, sum := l.Quota.Share(due[0].Account, e.Name, now), 0.0
	for _, d := range due {
		sum += d.Share
	}
	excess := l.Gate.RemoveExcess(due[0].Account, scale, e, max(0, share-sum), now)
	var returned []loan.Loan
	for _, d := range due {
		tokens := excess * d.Share / sum
		if !l.Quota.End(d, now) {
			l.Gate.AddTokens(d.Account, scale, e, tokens, now)
			continue
		}
		d.Tokens = tokens
		returned = append(returned, d)
	}
	return returned
}

// Return ends a loan that its borrower has returned, and adds its tokens to the bucket.
func (l *Loans) Return(back loan.Loan, scale float64, e *entry.Entry, now time.Time) {
	l.Quota.Return(back, now)
	l.Gate.AddTokens(back.Account, scale, e, back.Tokens, now)
}
