package loans_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/gate"
	"github.com/dragonflyroute/dragonflyroute/coordination/loans"
	"github.com/dragonflyroute/dragonflyroute/coordination/quota"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/limit"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
)

func TestLoans(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loans")
}

const term = 2 * time.Second

var (
	start = time.Unix(1000, 0)
	model = &entry.Entry{Name: "e", Limits: limit.Limits{Rate: 0.001, Burst: 8, Concurrent: 100}}
)

func newLoans(name host.ID) *loans.Loans {
	q := &quota.Quota{Self: name, Hosts: 2, Term: term, Started: start, CleanStart: true}
	return &loans.Loans{Quota: q, Gate: &gate.Gate{Share: q.Share, Started: start.Add(-10 * time.Hour)}}
}

func admitAll(l *loans.Loans, now time.Time) (n int) {
	for {
		if _, err := l.Gate.Admit("a", 1, model, now); err != nil {
			return n
		}
		n++
	}
}

// releaseExpiring returns the loans that the borrower gives back shortly before they expire, as sent to the lender.
func releaseExpiring(l *loans.Loans, now time.Time) (out []loan.Loan) {
	for _, due := range l.Quota.Expiring(now) {
		for _, back := range l.ReleaseExpiring(due, 1, model, now) {
			back.Host = l.Quota.Self
			out = append(out, back)
		}
	}
	return out
}

var _ = Describe("Loans", func() {
	request := loan.Loan{Account: "a", Entry: "e", Host: "borrower", Share: 0.4}
	nearExpiry := start.Add(term * 9 / 10)

	It("keep the accrued tokens over loans that end unused", func() {
		lender, borrower := newLoans("lender"), newLoans("borrower")
		now := start
		for range 10 {
			borrower.Take(lender.Lend(request, 1, model, now), 1, model, now, now)
			now = now.Add(term * 9 / 10)
			for _, back := range releaseExpiring(borrower, now) {
				lender.Return(back, 1, model, now)
			}
		}
		Expect(admitAll(lender, now) + admitAll(borrower, now)).To(Equal(model.Limits.Burst))
	})

	It("lose the tokens when the return message is lost, and never return them twice", func() {
		lender, borrower := newLoans("lender"), newLoans("borrower")
		borrower.Take(lender.Lend(request, 1, model, start), 1, model, start, start)
		Expect(releaseExpiring(borrower, nearExpiry)).To(HaveLen(1))
		Expect(releaseExpiring(borrower, nearExpiry)).To(BeEmpty())
		Expect(admitAll(lender, nearExpiry) + admitAll(borrower, nearExpiry)).To(BeNumerically("<", model.Limits.Burst))
	})

	It("stay valid when an older loan to the same host is returned late", func() {
		lender, borrower := newLoans("lender"), newLoans("borrower")
		borrower.Take(lender.Lend(request, 1, model, start), 1, model, start, start)
		back := releaseExpiring(borrower, nearExpiry)
		borrower.Take(lender.Lend(request, 1, model, nearExpiry), 1, model, nearExpiry, nearExpiry)
		for _, b := range back {
			lender.Return(b, 1, model, nearExpiry)
		}
		Expect(lender.Quota.Share("a", "e", nearExpiry) + borrower.Quota.Share("a", "e", nearExpiry)).To(BeNumerically("<=", 1+1e-9))
	})
})
