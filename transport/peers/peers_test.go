package peers_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/avail"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/dryrun"
	"github.com/dragonflyroute/dragonflyroute/protocol/event"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
	"github.com/dragonflyroute/dragonflyroute/protocol/method"
	"github.com/dragonflyroute/dragonflyroute/protocol/option"
	"github.com/dragonflyroute/dragonflyroute/protocol/period"
	"github.com/dragonflyroute/dragonflyroute/protocol/permit"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/reply"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
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
func (echo) Place(t task.Task) grant.Grant             { return grant.Grant{ID: 1, PrefillTokens: t.PromptTokens} }
func (echo) Record([]event.Event)                      {}
func (echo) Explain(t task.Task) dryrun.Result         { return explained(t) }
func (echo) Query(query.Query) reply.Reply             { return reply.Reply{} }

// explained is the explanation of a task's placement.
func explained(t task.Task) dryrun.Result {
	return dryrun.Result{
		Backend: t.Backend, Shard: t.Shard, Method: method.Keeper, Endpoint: "e", TimeToFirst: period.Period(3 * time.Millisecond),
		Options: []option.Option{{Endpoint: "e", Compared: true}, {Endpoint: "f", State: avail.Paused, Until: period.Period(time.Second)}},
	}
}

// serveEarlierVersion answers heartbeats like a peer that does not know any method added since, and counts its connections.
func serveEarlierVersion(l net.Listener, conns *atomic.Int64) error {
	var g errgroup.Group
	for {
		c, err := l.Accept()
		if err != nil {
			return g.Wait()
		}
		conns.Add(1)
		g.Go(func() error {
			answerEarlierVersion(c)
			return nil
		})
	}
}

// silentMethod is the method that such a peer does not answer.
const silentMethod = "place-events"

func answerEarlierVersion(c net.Conn) {
	defer func() { _ = c.Close() }()
	known := map[string]string{"challenge": `{"nonce":"AAAA"}`, "hello": `{"ok":true}`, "pulse": `{"host":"old"}`}
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		var call struct {
			Method string          `json:"method"`
			ID     json.RawMessage `json:"id"`
		}
		if json.Unmarshal(lines.Bytes(), &call) != nil {
			return
		}
		if call.Method == silentMethod {
			continue
		}
		outcome := `"error":{"code":-32601,"message":"unknown method"}`
		if result, ok := known[call.Method]; ok {
			outcome = `"result":` + result
		}
		if _, err := fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%s,%s}`+"\n", call.ID, outcome); err != nil {
			return
		}
	}
}

// dialEarlierVersion starts a peer of an earlier version, and returns a client of it and the count of its connections.
func dialEarlierVersion() (p *peers.Peers, address string, conns *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	conns = &atomic.Int64{}
	var server errgroup.Group
	server.Go(func() error { return serveEarlierVersion(l, conns) })
	p = &peers.Peers{Secret: "secret", MaxOpen: 8}
	DeferCleanup(func() {
		p.Close()
		Expect(l.Close()).To(Succeed())
		Expect(server.Wait()).To(Succeed())
	})
	return p, l.Addr().String(), conns
}

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

	It("carry a request whose placement is to be explained, and the explanation", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, stop := context.WithCancel(context.Background())
		var server errgroup.Group
		server.Go(func() error { return (&peers.Peers{Secret: "secret", Service: echo{}, MaxOpen: 8}).Serve(ctx, l) })
		DeferCleanup(func() {
			stop()
			Expect(server.Wait()).To(Succeed())
		})
		p := &peers.Peers{Secret: "secret", MaxOpen: 8}
		DeferCleanup(p.Close)
		got, err := p.Explain(ctx, l.Addr().String(), task.Task{Backend: "plume", Shard: 3})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(explained(task.Task{Backend: "plume", Shard: 3})))
	})

	// Guards against a rolling upgrade in which each call that the older hosts do not know breaks their heartbeats.
	It("keep the connection to a peer of an earlier version that does not know a method", func() {
		p, address, conns := dialEarlierVersion()
		for range 5 {
			_, err := p.Permit(context.Background(), address, permit.Permit{})
			Expect(err).To(HaveOccurred())
			_, err = p.Place(context.Background(), address, task.Task{})
			Expect(err).To(HaveOccurred())
			_, err = p.Heartbeat(context.Background(), address, beat.Heartbeat{})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(conns.Load()).To(Equal(int64(1)))
	})

	// Guards against heartbeats and permits that are lost because a busy peer hears of placed requests too late.
	It("keep the connection to a peer that answers a short call late, unless it answers nothing any more", func() {
		p, address, conns := dialEarlierVersion()
		report := func() {
			short, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			defer cancel()
			Expect(p.Report(short, address, nil)).NotTo(Succeed())
		}
		beatOnce := func() {
			_, err := p.Heartbeat(context.Background(), address, beat.Heartbeat{})
			Expect(err).NotTo(HaveOccurred())
		}
		beatOnce()
		for range 10 {
			report()
			report()
			beatOnce()
		}
		Expect(conns.Load()).To(Equal(int64(1)))
		for range 5 {
			report()
		}
		beatOnce()
		Expect(conns.Load()).To(Equal(int64(2)))
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
