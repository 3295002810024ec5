package quota_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflyroute/dragonflyroute/coordination/gate"
	"github.com/dragonflyroute/dragonflyroute/coordination/quota"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/limit"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
)

func TestQuota(t *testing.T) {
	NewWithT(t).Expect(flag.Set("rapid.seed", cmp.Or(os.Getenv("DRAGONFLYROUTE_SEED"), "1"))).To(Succeed())
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

const (
	hosts = 5
	term  = 2 * time.Second
	steps = 3000
)

// network is a set of processes that restart now and then and whose loan messages may be lost.
type network struct {
	rand   *rand.Rand
	now    time.Time
	quotas []*quota.Quota
}

func name(i int) host.ID { return host.ID(fmt.Sprintf("entry-%d", i)) }

func newNetwork(seed uint64) *network {
	n := &network{rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
	for i := range hosts {
		n.quotas = append(n.quotas, &quota.Quota{Self: name(i), Hosts: hosts, Term: term, Started: n.now, CleanStart: true})
	}
	return n
}

func (n *network) advance() {
	n.now = n.now.Add(time.Duration(n.rand.Int64N(int64(100 * time.Millisecond))))
}

func (n *network) lend(used float64) {
	i, j := n.rand.IntN(hosts), n.rand.IntN(hosts)
	if i == j {
		return
	}
	lender, borrower := n.quotas[i], n.quotas[j]
	requestedAt := n.now
	n.advance()
	grant := lender.Lend(loan.Loan{Account: "a", Entry: "e", Host: name(j), Share: n.rand.Float64()}, used, n.now)
	n.advance()
	if n.rand.Float64() < 0.7 {
		borrower.Borrow(grant, requestedAt)
	}
}

func (n *network) restart() {
	i := n.rand.IntN(hosts)
	n.quotas[i] = &quota.Quota{Self: name(i), Hosts: hosts, Term: term, Started: n.now}
}

func (n *network) sum() float64 {
	sum := 0.0
	for _, q := range n.quotas {
		sum += q.Share("a", "e", n.now)
	}
	return sum
}

var _ = Describe("Quota", func() {
	for seed := range uint64(20) {
		It(fmt.Sprintf("never adds up to more than 1 over all hosts, with lost loans and restarts (seed %d)", seed), func() {
			n := newNetwork(seed)
			most := 0.0
			for range steps {
				n.lend(n.rand.Float64() * 0.3)
				if n.rand.Float64() < 0.01 {
					n.restart()
				}
				Expect(n.sum()).To(BeNumerically("<=", 1+1e-9))
				most = max(most, n.sum())
			}
			Expect(most).To(BeNumerically(">", 0.8))
		})
	}

	It("keeps the shares and admitted requests of all hosts within the limits, for any sequence of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet()
			t.Repeat(map[string]func(*rapid.T){
				"enter":   f.enter,
				"leave":   f.finish,
				"lend":    f.lend,
				"give":    f.giveBack,
				"arrive":  f.deliverDelayed,
				"restart": f.restart,
				"pass":    f.advance,
				"":        f.check,
			})
		})
	})

	It("lends a single busy host most of the limits", func() {
		n := newNetwork(1)
		for _, q := range n.quotas[1:] {
			n.quotas[0].Borrow(q.Lend(loan.Loan{Account: "a", Entry: "e", Host: name(0), Share: 1}, 0, n.now), n.now)
		}
		Expect(n.quotas[0].Share("a", "e", n.now)).To(BeNumerically(">", 0.8))
		n.now = n.now.Add(term)
		Expect(n.quotas[0].Share("a", "e", n.now)).To(BeNumerically("~", 1.0/hosts))
	})

	It("keeps a busy host's loan while it renews it, and gives the lender its share back afterwards", func() {
		n := newNetwork(1)
		for range 10 {
			requestedAt := n.now
			n.quotas[0].Borrow(n.quotas[1].Lend(loan.Loan{Account: "a", Entry: "e", Host: name(0), Share: 0.1}, 0, n.now), requestedAt)
			Expect(n.quotas[0].Share("a", "e", n.now)).To(BeNumerically("~", 1.0/hosts+0.1))
			n.now = n.now.Add(term * 2 / 3)
		}
		n.now = n.now.Add(term)
		Expect(n.quotas[1].Share("a", "e", n.now)).To(BeNumerically("~", 1.0/hosts))
	})

	for seed := range uint64(10) {
		It(fmt.Sprintf("enforces an account's rate and burst over all gates (seed %d)", seed), func() {
			n := newNetwork(seed)
			e := &entry.Entry{Name: "e", Limits: limit.Limits{Rate: 40, Burst: 20, Concurrent: 1 << 20}}
			gates := make([]*gate.Gate, hosts)
			for i := range gates {
				gates[i] = &gate.Gate{Share: n.quotas[i].Share, Started: n.now}
			}
			start, admitted := n.now, 0
			for range steps {
				n.now = n.now.Add(time.Duration(n.rand.Int64N(int64(4 * time.Millisecond))))
				i := n.rand.IntN(hosts)
				if _, err := gates[i].Admit("a", 1, e, n.now); err == nil {
					admitted++
				}
				if j := n.rand.IntN(hosts); j != i && n.rand.Float64() < 0.2 {
					request := loan.Loan{Account: "a", Entry: "e", Host: name(j), Share: n.rand.Float64() / hosts}
					tokens := gates[i].RemoveTokens("a", 1, e, n.quotas[i].OwnFraction(request.Share), n.now)
					grant := n.quotas[i].Lend(request, gates[i].Used("a", 1, e, n.now), n.now)
					if n.rand.Float64() < 0.8 {
						n.quotas[j].Borrow(grant, n.now)
						gates[j].AddTokens("a", 1, e, tokens, n.now)
					}
				}
				budget := e.Limits.Rate*n.now.Sub(start).Seconds() + float64(e.Limits.Burst)
				Expect(float64(admitted)).To(BeNumerically("<=", budget+1e-6))
			}
			Expect(admitted).To(BeNumerically(">", steps/20))
		})
	}
})
