package idle_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/transport/idle"
)

// lateListener returns an accepted connection only after a delay, as in a busy process.
type lateListener struct{ net.Listener }

func (l *lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	time.Sleep(readDelay)
	return conn, err
}

var _ = Describe("Closer and a connection that is being accepted", func() {
	// Guards against a stop that is over before the server has taken up the last connection that it accepted.
	It("drains a connection that was accepted before the listener was closed", func() {
		var handled atomic.Int64
		closer := &idle.Closer{}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{ConnState: closer.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			handled.Add(1)
			_, _ = io.WriteString(w, "one")
		})}
		var serving sync.WaitGroup
		serving.Go(func() { _ = server.Serve(closer.Listener(&lateListener{l})) })
		DeferCleanup(serving.Wait)
		conn, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(readDelay / 3)
		Expect(l.Close()).To(Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(closer.Drain(ctx)).To(Succeed())
		Expect(handled.Load()).To(Equal(int64(1)), "requests handled when the stop is over")
	})
})
