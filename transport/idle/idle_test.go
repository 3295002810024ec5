package idle_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/transport/idle"
)

func TestIdle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "idle")
}

const (
	limit = 400 * time.Millisecond
	// readDelay is how late a busy process gets the bytes of a request that has arrived.
	readDelay = 3 * limit
)

// slowConn returns the bytes that it has read only after a delay, once delayed is set.
type slowConn struct {
	net.Conn
	delayed *atomic.Bool
}

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.delayed.Load() {
		time.Sleep(readDelay)
	}
	return n, err
}

type slowListener struct {
	net.Listener
	delayed *atomic.Bool
}

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, delayed: l.delayed}, nil
}

// caller is a caller's connection to a server with an idle.Closer.
type caller struct {
	conn net.Conn
	in   *bufio.Reader
}

// startServer returns a connection to a server, and stop, which stops the server in order. delayed delays what the server
// reads, and handled counts its requests.
func startServer(closer *idle.Closer, delayed *atomic.Bool, handled *atomic.Int64) (c *caller, stop func() error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{
		ConnState:         closer.ConnState,
		ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			handled.Add(1)
			_, _ = w.Write(body)
		}),
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(closer.Listener(&slowListener{Listener: l, delayed: delayed})) })
	DeferCleanup(func() {
		_ = server.Close()
		serving.Wait()
	})
	return connect(l), func() error {
		_ = l.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return closer.Drain(ctx)
	}
}

// connect returns a connection to a listener.
func connect(l net.Listener) *caller {
	conn, err := net.Dial("tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return &caller{conn: conn, in: bufio.NewReader(conn)}
}

func (c *caller) send(body string) {
	_, err := fmt.Fprintf(c.conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	Expect(err).NotTo(HaveOccurred())
}

// receive returns the body of the next answer.
func (c *caller) receive() (string, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

var _ = Describe("Closer", func() {
	var (
		delayed atomic.Bool
		handled atomic.Int64
		closer  *idle.Closer
		mu      sync.Mutex
		current time.Duration
		counted map[string]int64
	)
	count := func(name string) func() int64 {
		return func() int64 {
			mu.Lock()
			defer mu.Unlock()
			return counted[name]
		}
	}
	setLimit := func(d time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		current = d
	}
	BeforeEach(func() {
		delayed.Store(false)
		handled.Store(0)
		setLimit(limit)
		// Connections of the spec before may still be counted.
		own := map[string]int64{}
		mu.Lock()
		counted = own
		mu.Unlock()
		closer = &idle.Closer{
			Limit: func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				return current
			},
			Count: func(name string, n int64) {
				mu.Lock()
				defer mu.Unlock()
				own[name] += n
			},
		}
	})

	It("closes a connection that has been idle for the limit", func() {
		c, _ := startServer(closer, &delayed, &handled)
		c.send("one")
		Expect(c.receive()).To(Equal("one"))
		_, err := c.receive()
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Eventually(count("idle_connections_closed_total")).Should(Equal(int64(1)))
	})

	// Guards against a request that is handled although its connection is closed: the limit ends while a busy process has
	// the request's bytes and has not parsed them yet.
	It("answers a request that has arrived when the limit ends", func() {
		c, _ := startServer(closer, &delayed, &handled)
		c.send("one")
		Expect(c.receive()).To(Equal("one"))
		delayed.Store(true)
		time.Sleep(limit / 2)
		c.send("two")
		body, err := c.receive()
		Eventually(handled.Load).Should(Equal(int64(2)), "requests handled")
		Expect(err).NotTo(HaveOccurred(), "the answer to a request that was handled")
		Expect(body).To(Equal("two"))
		Expect(count("requests_at_idle_limit_total")()).To(Equal(int64(1)))
	})

	// Guards against a planned stop that closes the connection of a request that it is about to handle.
	It("answers a request that has arrived when the process stops", func() {
		setLimit(0)
		c, stop := startServer(closer, &delayed, &handled)
		c.send("one")
		Expect(c.receive()).To(Equal("one"))
		delayed.Store(true)
		c.send("two")
		time.Sleep(limit / 2)
		var stopping sync.WaitGroup
		defer stopping.Wait()
		stopping.Go(func() {
			defer GinkgoRecover()
			Expect(stop()).To(Succeed())
		})
		body, err := c.receive()
		Eventually(handled.Load).Should(Equal(int64(2)), "requests handled")
		Expect(err).NotTo(HaveOccurred(), "the answer to a request that was handled")
		Expect(body).To(Equal("two"))
	})

	// Guards against a limit that ends between two parts of a request and leaves its mark on the rest of the connection.
	It("answers requests whose bodies come in parts around the end of the limit", func() {
		c, _ := startServer(closer, &delayed, &handled)
		c.send("one")
		Expect(c.receive()).To(Equal("one"))
		time.Sleep(limit / 2)
		_, err := fmt.Fprint(c.conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nt")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * limit)
		_, err = fmt.Fprint(c.conn, "wo")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.receive()).To(Equal("two"))
	})
})
