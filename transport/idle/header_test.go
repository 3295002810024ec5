package idle_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/transport/idle"
)

var _ = Describe("Closer and bytes that the process has not read yet", func() {
	// Guards against a request that lies whole in the kernel's buffer when the limit ends, while a busy process has not
	// read it yet, and that ends without an answer.
	It("answers a request whose header needs more than one read", func() {
		var delayed atomic.Bool
		var handled atomic.Int64
		closer := &idle.Closer{Limit: func() time.Duration { return limit }}
		c, _ := startServer(closer, &delayed, &handled)
		c.send("one")
		Expect(c.receive()).To(Equal("one"))
		delayed.Store(true)
		time.Sleep(limit / 2)
		_, err := fmt.Fprintf(c.conn, "POST / HTTP/1.1\r\nHost: a\r\nPad: %s\r\nContent-Length: 3\r\n\r\ntwo", strings.Repeat("x", 6000))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.receive()).To(Equal("two"))
	})

	// Guards against a limit that ends while a request is handled that came along with the one before.
	It("answers a request that came together with the one before", func() {
		var delayed atomic.Bool
		var handled atomic.Int64
		closer := &idle.Closer{Limit: func() time.Duration { return limit }}
		c, _ := startServer(closer, &delayed, &handled)
		_, err := fmt.Fprint(c.conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nt")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.receive()).To(Equal("one"))
		time.Sleep(2 * limit)
		_, err = fmt.Fprint(c.conn, "wo")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.receive()).To(Equal("two"))
	})

	// Guards against the same at a planned stop: the header comes in two parts around a look for idle connections.
	It("answers a request whose header arrives in two parts when the process stops", func() {
		var delayed atomic.Bool
		var handled atomic.Int64
		closer := &idle.Closer{}
		c, stop := startServer(closer, &delayed, &handled)
		c.send("one")
		Expect(c.receive()).To(Equal("one"))
		_, err := fmt.Fprint(c.conn, "POST / HTTP/1.1\r\nHost: a\r\n")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(limit / 2)
		stopped := make(chan error, 1)
		var stopping sync.WaitGroup
		defer stopping.Wait()
		stopping.Go(func() { stopped <- stop() })
		time.Sleep(5 * time.Millisecond)
		_, err = fmt.Fprint(c.conn, "Content-Length: 3\r\n\r\ntwo")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.receive()).To(Equal("two"))
		Eventually(stopped).Should(Receive())
	})
})
