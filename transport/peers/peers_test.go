package peers_test

import (
	"context"
	"net"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
	"github.com/dragonflyroute/dragonflyroute/protocol/permit"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/reply"
	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
	"github.com/dragonflyroute/dragonflyroute/transport/peers"
)

func TestPeers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peers")
}

// echo is a service that returns each heartbeat to its sender.
type echo struct{}

func (echo) Heartbeat(p beat.Heartbeat) beat.Heartbeat { return p }
func (echo) Catalogue() *catlog.Catalogue              { return &catlog.Catalogue{} }
func (echo) OfferCatalogue(*catlog.Catalogue)          {}
func (echo) Trials(string) []trial.Trial               { return []trial.Trial{{Route: "r"}} }
func (echo) AcceptRequest(ticket.Ticket) bool          { return true }
func (echo) Lend(req loan.Loan) loan.Loan              { return req }
func (echo) Return(loan.Loan)                          {}
func (echo) Permit(p permit.Permit) permit.Permit      { return p }
func (echo) Query(query.Query) reply.Reply             { return reply.Reply{} }

var _ = Describe("Peers", func() {
	var addresses []string
	var ctx context.Context
	listen := func(n int) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		var servers errgroup.Group
		addresses = nil
		for range n {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			addresses = append(addresses, l.Addr().String())
			s := &peers.Peers{Secret: "secret", Service: echo{}}
			servers.Go(func() error { return s.Serve(ctx, l) })
		}
	}

	It("ask at most six peers at a time for trials and all of them in rotation, also for two moves at once", func() {
		listen(24)
		p := &peers.Peers{Secret: "secret", MaxOpen: 64, Contacts: func() []string { return slices.Clone(addresses) }}
		DeferCleanup(p.Close)
		answered := map[string]bool{}
		Eventually(func() int {
			p.Trials(ctx, "another")
			got := p.Trials(ctx, "m")
			Expect(len(got)).To(BeNumerically("<=", 6))
			for address := range got {
				answered[address] = true
			}
			return len(answered)
		}).Should(Equal(24))
	})

	It("keep no more connections open than the limit, and close none with a call in progress", func() {
		const all, maxOpen, rounds = 40, 8, 5
		listen(all)
		p := &peers.Peers{Secret: "secret", MaxOpen: maxOpen}
		DeferCleanup(p.Close)
		for range rounds {
			var calls errgroup.Group
			for i, address := range addresses {
				calls.Go(func() error {
					_, err := p.Heartbeat(ctx, address, beat.Heartbeat{Seq: int64(i)})
					return err
				})
			}
			Expect(calls.Wait()).To(Succeed())
		}
		for _, address := range addresses {
			_, err := p.Heartbeat(ctx, address, beat.Heartbeat{})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(p.OpenConnections()).To(BeNumerically("<=", maxOpen))
	})

	It("close a connection whose message never ends, and serve others meanwhile", func() {
		listen(1)
		c, err := net.Dial("tcp", addresses[0])
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		block := []byte(strings.Repeat("x", 1<<16))
		sent := 0
		for err == nil && sent < 64<<20 {
			var n int
			n, err = c.Write(block)
			sent += n
		}
		Expect(err).To(HaveOccurred(), "the endless message was read without an error")
		p := &peers.Peers{Secret: "secret", MaxOpen: 8}
		DeferCleanup(p.Close)
		_, err = p.Heartbeat(ctx, addresses[0], beat.Heartbeat{Seq: 1})
		Expect(err).NotTo(HaveOccurred())
	})
})
