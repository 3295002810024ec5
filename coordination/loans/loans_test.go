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
	q := &quota.Quota{Self: name, Hosts: 2, Term: term, Started: start, Fresh: true}
	return &loans.Loans{Quota: q, Gate: &gate.Gate{Share: q.Share, Started: start.Add(-10 * time.Hour)}}
}

func admitted(l *loans.Loans, now time.Time) (n int) {
	for {
		if _, err := l.Gate.Enter("a", 1, model, now); err != nil {
			return n
		}
		n++
	}
}

// ending returns what the borrower gives back late in a loan's term, as sent to the lender.
func ending(l *loans.Loans, now time.Time) (out []loan.Loan) {
	for _, due := range l.Quota.Ending(now) {
		for _, back := range l.Ending(due, 1, model, now) {
			back.By = l.Quota.Self
			out = append(out, back)
		}
	}
	return out
}

var _ = Describe("Loans", func() {
	ask := loan.Loan{Account: "a", Entry: "e", By: "borrower", Share: 0.4}
	late := start.Add(term * 9 / 10)

	It("keep what was saved up over loans that end unused", func() {
		lender, borrower := newLoans("lender"), newLoans("borrower")
		now := start
		for range 10 {
			borrower.Take(lender.Lend(ask, 1, model, now), 1, model, now, now)
			now = now.Add(term * 9 / 10)
			for _, back := range ending(borrower, now) {
				lender.Return(back, 1, model, now)
			}
		}
		Expect(admitted(lender, now) + admitted(borrower, now)).To(Equal(model.Limits.Burst))
	})

	It("lose what was saved up when the return is lost, and give none twice", func() {
		lender, borrower := newLoans("lender"), newLoans("borrower")
		borrower.Take(lender.Lend(ask, 1, model, start), 1, model, start, start)
		Expect(ending(borrower, late)).To(HaveLen(1))
		Expect(ending(borrower, late)).To(BeEmpty())
		Expect(admitted(lender, late) + admitted(borrower, late)).To(BeNumerically("<", model.Limits.Burst))
	})

	It("stand when an older one to the same host comes back late", func() {
		lender, borrower := newLoans("lender"), newLoans("borrower")
		borrower.Take(lender.Lend(ask, 1, model, start), 1, model, start, start)
		back := ending(borrower, late)
		borrower.Take(lender.Lend(ask, 1, model, late), 1, model, late, late)
		for _, b := range back {
			lender.Return(b, 1, model, late)
		}
		Expect(lender.Quota.Share("a", "e", late) + borrower.Quota.Share("a", "e", late)).To(BeNumerically("<=", 1+1e-9))
	})
})
