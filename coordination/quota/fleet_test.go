package quota_test

import (
	"slices"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflyroute/dragonflyroute/coordination/gate"
	"github.com/dragonflyroute/dragonflyroute/coordination/loans"
	"github.com/dragonflyroute/dragonflyroute/coordination/quota"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/limit"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
)

// fleet is several entry hosts and a simple oracle: one count of the requests that all of them admitted.
type fleet struct {
	now, start time.Time
	entry      *entry.Entry
	quotas     []*quota.Quota
	gates      []*gate.Gate
	loans      []*loans.Loans
	releases   []func()
	delayed    []func()
	admitted   int
}

func newFleet() *fleet {
	f := &fleet{now: time.Unix(1000, 0), start: time.Unix(1000, 0)}
	f.entry = &entry.Entry{Name: "e", Limits: limit.Limits{Rate: 3, Burst: 7, Concurrent: 1 << 20}}
	for i := range hosts {
		f.quotas = append(f.quotas, &quota.Quota{Self: name(i), Hosts: hosts, Term: term, Started: f.now, CleanStart: true})
		f.gates = append(f.gates, &gate.Gate{Share: f.quotas[i].Share, Started: f.now})
		f.loans = append(f.loans, &loans.Loans{Quota: f.quotas[i], Gate: f.gates[i]})
	}
	return f
}

func draw(t *rapid.T, what string) int { return rapid.IntRange(0, hosts-1).Draw(t, what) }

func (f *fleet) enter(t *rapid.T) {
	if release, err := f.gates[draw(t, "host")].Admit("a", 1, f.entry, f.now); err == nil {
		f.admitted++
		f.releases = append(f.releases, release)
	}
}

func (f *fleet) finish(*rapid.T) {
	if len(f.releases) > 0 {
		f.releases[0]()
		f.releases = f.releases[1:]
	}
}

func (f *fleet) lend(t *rapid.T) {
	from, to := draw(t, "lender"), draw(t, "borrower")
	if from == to {
		return
	}
	requestedAt := f.now
	f.advance(t)
	request := loan.Loan{Account: "a", Entry: "e", Host: name(to), Share: rapid.Float64Range(0, 1).Draw(t, "share")}
	grant := f.loans[from].Lend(request, 1, f.entry, f.now)
	if rapid.Bool().Draw(t, "lost") {
		return
	}
	f.loans[to].Take(grant, 1, f.entry, requestedAt, f.now)
}

// giveBack returns a borrower's loans that expire soon; the return arrives at once, late or never.
func (f *fleet) giveBack(t *rapid.T) {
	to := draw(t, "borrower")
	for range 20 {
		if len(f.quotas[to].Expiring(f.now)) > 0 {
			break
		}
		f.now = f.now.Add(term / 20)
	}
	for _, due := range f.quotas[to].Expiring(f.now) {
		for _, back := range f.loans[to].ReleaseExpiring(due, 1, f.entry, f.now) {
			lender := slices.IndexFunc(f.quotas, func(q *quota.Quota) bool { return q.Self == back.Host })
			back.Host = name(to)
			switch rapid.IntRange(0, 2).Draw(t, "way") {
			case 0:
				f.loans[lender].Return(back, 1, f.entry, f.now)
			case 1:
				f.delayed = append(f.delayed, func() { f.loans[lender].Return(back, 1, f.entry, f.now) })
			}
		}
	}
}

// deliverDelayed delivers the oldest delayed return of a loan.
func (f *fleet) deliverDelayed(*rapid.T) {
	if len(f.delayed) > 0 {
		f.delayed[0]()
		f.delayed = f.delayed[1:]
	}
}

// restart replaces a process; the new one starts with no tokens and, for a term, with no share.
func (f *fleet) restart(t *rapid.T) {
	i := draw(t, "host")
	f.now = f.now.Add(time.Millisecond)
	f.quotas[i] = &quota.Quota{Self: name(i), Hosts: hosts, Term: term, Started: f.now}
	f.gates[i] = &gate.Gate{Share: f.quotas[i].Share, Started: f.now}
	f.loans[i] = &loans.Loans{Quota: f.quotas[i], Gate: f.gates[i]}
}

func (f *fleet) advance(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
}

func (f *fleet) check(t *rapid.T) {
	g := NewWithT(t)
	sum := 0.0
	for _, q := range f.quotas {
		sum += q.Share("a", "e", f.now)
	}
	g.Expect(sum).To(BeNumerically("<=", 1+1e-9))
	budget := f.entry.Limits.Rate*f.now.Sub(f.start).Seconds() + float64(f.entry.Limits.Burst)
	g.Expect(float64(f.admitted)).To(BeNumerically("<=", budget+1e-6))
}
