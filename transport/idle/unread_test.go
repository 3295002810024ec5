package idle_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/transport/idle"
)

// heldConn tells its server of the end of a wait for a request only after a delay, as in a process that does not run meanwhile.
type heldConn struct{ *net.TCPConn }

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	// The server reads a single byte while it handles a request.
	if len(p) > 1 && errors.Is(err, os.ErrDeadlineExceeded) {
		time.Sleep(readDelay)
	}
	return n, err
}

type heldListener struct{ net.Listener }

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: conn.(*net.TCPConn)}, nil
}

var _ = Describe("Closer in a process that does not run for a while", func() {
	var handled atomic.Int64
	// serve returns a connection to a server whose reads end late, and its listener.
	serve := func(closer *idle.Closer) (*caller, net.Listener) {
		handled.Store(0)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{ConnState: closer.ConnState, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handled.Add(1)
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		})}
		var serving sync.WaitGroup
		serving.Go(func() { _ = server.Serve(closer.Listener(&heldListener{Listener: l})) })
		DeferCleanup(func() {
			_ = server.Close()
			serving.Wait()
		})
		return connect(l), l
	}

	// Guards against a request that arrives between the end of the wait and the close of its connection, and that is
	// closed unread with it.
	It("answers a request that arrived after the limit and before the close", func() {
		c, _ := serve(&idle.Closer{Limit: func() time.Duration { return limit }})
		c.send("one")
		Expect(c.receive()).To(Equal("one"))
		for _, text := range []string{"two", "three"} {
			time.Sleep(limit + readDelay/3)
			c.send(text)
			Expect(c.receive()).To(Equal(text))
		}
		Expect(handled.Load()).To(Equal(int64(3)))
		_, err := c.receive()
		Expect(err).To(MatchError(io.ErrUnexpectedEOF), "the connection stays idle from here on")
	})

	// Guards against the same at a planned stop.
	It("answers a request that arrived after the order to stop and before the close", func() {
		closer := &idle.Closer{}
		c, l := serve(closer)
		c.send("one")
		Expect(c.receive()).To(Equal("one"))
		time.Sleep(limit / 4)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		var stopping sync.WaitGroup
		defer stopping.Wait()
		stopping.Go(func() {
			defer GinkgoRecover()
			_ = l.Close()
			Expect(closer.Drain(ctx)).To(Succeed())
		})
		time.Sleep(readDelay / 3)
		c.send("two")
		Expect(c.receive()).To(Equal("two"))
		Expect(handled.Load()).To(Equal(int64(2)))
	})
})
