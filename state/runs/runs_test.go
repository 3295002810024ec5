package runs_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
	"github.com/dragonflyroute/dragonflyroute/state/runs"
)

func TestRuns(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "runs")
}

var _ = Describe("A ticket that a peer handed over", func() {
	now := time.Unix(1000, 0)
	ofAccount := func(account string) func(ticket.Ticket) bool {
		return func(t ticket.Ticket) bool { return string(t.Account) == account }
	}

	// Guards against a claimant with another account or content, whose refusal destroys the answer of the right one.
	It("stays for the right claimant when another one asks for it", func() {
		r := &runs.Runs{TTL: time.Second, Max: 2}
		Expect(r.Accept(ticket.Ticket{ID: "r", Account: "a"}, now)).To(BeTrue())
		_, ok := r.Take("r", now, ofAccount("b"))
		Expect(ok).To(BeFalse())
		t, ok := r.Take("r", now, ofAccount("a"))
		Expect(ok).To(BeTrue())
		Expect(t.ID).To(Equal("r"))
		_, ok = r.Take("r", now, ofAccount("a"))
		Expect(ok).To(BeFalse(), "taken once")
	})

	It("expires", func() {
		r := &runs.Runs{TTL: time.Second, Max: 2}
		r.Accept(ticket.Ticket{ID: "r", Account: "a"}, now)
		_, ok := r.Take("r", now.Add(2*time.Second), ofAccount("a"))
		Expect(ok).To(BeFalse())
	})
})
