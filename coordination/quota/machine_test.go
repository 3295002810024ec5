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

// machine is several entry hosts, and beside them the simple oracle: one count of admitted requests for all.
type machine struct {
	now, start time.Time
	entry      *entry.Entry
	quotas     []*quota.Quota
	gates      []*gate.Gate
	loans      []*loans.Loans
	leaves     []func()
	late       []func()
	admitted   int
}

func newMachine() *machine {
	m := &machine{now: time.Unix(1000, 0), start: time.Unix(1000, 0)}
	m.entry = &entry.Entry{Name: "e", Limits: limit.Limits{Rate: 3, Burst: 7, Concurrent: 1 << 20}}
	for i := range hosts {
		m.quotas = append(m.quotas, &quota.Quota{Self: name(i), Hosts: hosts, Term: term, Started: m.now, Fresh: true})
		m.gates = append(m.gates, &gate.Gate{Share: m.quotas[i].Share, Started: m.now})
		m.loans = append(m.loans, &loans.Loans{Quota: m.quotas[i], Gate: m.gates[i]})
	}
	return m
}

func draw(t *rapid.T, what string) int { return rapid.IntRange(0, hosts-1).Draw(t, what) }

func (m *machine) enter(t *rapid.T) {
	if leave, err := m.gates[draw(t, "host")].Enter("a", 1, m.entry, m.now); err == nil {
		m.admitted++
		m.leaves = append(m.leaves, leave)
	}
}

func (m *machine) leave(*rapid.T) {
	if len(m.leaves) > 0 {
		m.leaves[0]()
		m.leaves = m.leaves[1:]
	}
}

func (m *machine) lend(t *rapid.T) {
	from, to := draw(t, "lender"), draw(t, "borrower")
	if from == to {
		return
	}
	asked := m.now
	m.pass(t)
	ask := loan.Loan{Account: "a", Entry: "e", By: name(to), Share: rapid.Float64Range(0, 1).Draw(t, "share")}
	grant := m.loans[from].Lend(ask, 1, m.entry, m.now)
	if rapid.Bool().Draw(t, "lost") {
		return
	}
	m.loans[to].Take(grant, 1, m.entry, asked, m.now)
}

// giveBack ends a borrower's loans that run out soon; what it sends back may come at once, late or never.
func (m *machine) giveBack(t *rapid.T) {
	to := draw(t, "borrower")
	for range 20 {
		if len(m.quotas[to].Ending(m.now)) > 0 {
			break
		}
		m.now = m.now.Add(term / 20)
	}
	for _, due := range m.quotas[to].Ending(m.now) {
		for _, back := range m.loans[to].Ending(due, 1, m.entry, m.now) {
			lender := slices.IndexFunc(m.quotas, func(q *quota.Quota) bool { return q.Self == back.By })
			back.By = name(to)
			switch rapid.IntRange(0, 2).Draw(t, "way") {
			case 0:
				m.loans[lender].Return(back, 1, m.entry, m.now)
			case 1:
				m.late = append(m.late, func() { m.loans[lender].Return(back, 1, m.entry, m.now) })
			}
		}
	}
}

// arrive lets a loan that was given back arrive late.
func (m *machine) arrive(*rapid.T) {
	if len(m.late) > 0 {
		m.late[0]()
		m.late = m.late[1:]
	}
}

// restart replaces a process; it starts with no tokens and, for a term, with no part.
func (m *machine) restart(t *rapid.T) {
	i := draw(t, "host")
	m.now = m.now.Add(time.Millisecond)
	m.quotas[i] = &quota.Quota{Self: name(i), Hosts: hosts, Term: term, Started: m.now}
	m.gates[i] = &gate.Gate{Share: m.quotas[i].Share, Started: m.now}
	m.loans[i] = &loans.Loans{Quota: m.quotas[i], Gate: m.gates[i]}
}

func (m *machine) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) check(t *rapid.T) {
	g := NewWithT(t)
	sum := 0.0
	for _, q := range m.quotas {
		sum += q.Share("a", "e", m.now)
	}
	g.Expect(sum).To(BeNumerically("<=", 1+1e-9))
	budget := m.entry.Limits.Rate*m.now.Sub(m.start).Seconds() + float64(m.entry.Limits.Burst)
	g.Expect(float64(m.admitted)).To(BeNumerically("<=", budget+1e-6))
}
