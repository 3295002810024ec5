package peers_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/transport/peers"
)

// scarceListener fails to accept connections at first, as a process without free descriptors does.
type scarceListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

var _ = Describe("Peers that can't accept a connection for a moment", func() {
	// Guards against a host that no other one can reach any more, as it ran out of descriptors once.
	It("accept connections again", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		scarce := &scarceListener{Listener: l}
		scarce.failures.Store(3)
		ctx, stop := context.WithCancel(context.Background())
		var g errgroup.Group
		g.Go(func() error { return (&peers.Peers{Secret: "s", Service: echo{}, MaxOpen: 4}).Serve(ctx, scarce) })
		DeferCleanup(func() {
			stop()
			Expect(g.Wait()).To(Succeed())
		})
		client := &peers.Peers{Secret: "s", Service: echo{}, MaxOpen: 4}
		DeferCleanup(client.Close)
		Eventually(func() error {
			bounded, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			_, err := client.Fetch(bounded, l.Addr().String())
			return err
		}, "5s").Should(Succeed())
	})
})
