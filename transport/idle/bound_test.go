package idle_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/transport/idle"
)

const (
	// maxOpen and maxHead are the bounds of connections and of heads in bytes.
	maxOpen = 8
	maxHead = 16 << 10
)

var _ = Describe("Closer with a bound of connections", func() {
	var (
		delayed atomic.Bool
		handled atomic.Int64
		mu      sync.Mutex
		counted map[string]int64
		closer  *idle.Closer
	)
	BeforeEach(func() {
		// Connections of the spec before may still be counted.
		own := map[string]int64{}
		mu.Lock()
		counted = own
		mu.Unlock()
		closer = &idle.Closer{MaxOpen: func() int { return maxOpen }, MaxHead: func() int { return maxHead }, Count: func(name string, n int64) {
			mu.Lock()
			defer mu.Unlock()
			own[name] += n
		}}
	})
	count := func(name string) int64 {
		mu.Lock()
		defer mu.Unlock()
		return counted[name]
	}
	dialFrom := func(ip string, to *caller) *caller {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		conn, err := dialer.Dial("tcp", to.conn.RemoteAddr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		c := *to
		c.conn = conn
		c.in = bufio.NewReader(conn)
		return &c
	}
	dial := func(to *caller) *caller { return dialFrom("127.0.0.1", to) }

	// Guards against callers who take all descriptors of a process.
	DescribeTable("serves new callers when others keep connections open",
		func(sent string) {
			first, _ := startServer(closer, &delayed, &handled)
			for range 5 * maxOpen {
				_, err := io.WriteString(dial(first).conn, sent)
				Expect(err).NotTo(HaveOccurred())
			}
			Eventually(func() int64 { return count("connections_over_limit_total") }).Should(BeNumerically(">", 0))
			c := dial(first)
			c.send("one")
			Expect(c.receive()).To(Equal("one"))
		},
		Entry("without a byte", ""), Entry("half-way through a head", "GET / HTTP/1.1\r\nHo"), Entry("idle after an answer", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
	)

	It("closes the new connection when each of the others has a request in progress", func() {
		first, _ := startServer(closer, &delayed, &handled)
		first.send("one")
		Expect(first.receive()).To(Equal("one"))
		ip := 1
		Eventually(func() int64 {
			ip++
			_, err := io.WriteString(dialFrom(fmt.Sprintf("127.0.0.%d", ip), first).conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n1")
			Expect(err).NotTo(HaveOccurred())
			return count("connections_refused_total")
		}).Should(BeNumerically(">", 0))
		Expect(ip).To(BeNumerically(">", maxOpen))
	})

	DescribeTable("refuses a head beyond its limits",
		func(fields string) {
			c, _ := startServer(closer, &delayed, &handled)
			_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: a\r\n"+fields)
			Expect(err).NotTo(HaveOccurred())
			line, err := c.in.ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
			Expect(line).To(ContainSubstring("431"))
			Expect(count("heads_refused_total")).To(Equal(int64(1)))
		},
		Entry("of very many short fields", strings.Repeat("a:\r\n", 6_000)),
		Entry("of too many bytes", "A: "+strings.Repeat("x", maxHead+(4<<10))),
	)

	// Guards against heads of very many fields, each of which costs memory beside its bytes, and against refusing a single one.
	It("takes a head of many lines, but few at a time, and refuses others as not run", func() {
		closer.MaxOpen = func() int { return 8 * maxOpen }
		first, _ := startServer(closer, &delayed, &handled)
		long := "POST / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 3_000)
		send := func(text string) (c net.Conn, status func() string) {
			conn := dialFrom("127.0.0.2", first)
			_, err := io.WriteString(conn.conn, text)
			Expect(err).NotTo(HaveOccurred())
			return conn.conn, func() string {
				line, _ := conn.in.ReadString('\n')
				return line
			}
		}
		whole := func() string {
			_, status := send(long + "Content-Length: 3\r\n\r\none")
			return status()
		}
		Expect(whole()).To(ContainSubstring("200"))
		// hold holds as many long heads as may be open, and returns the last one and the answer to a further one. A request that was
		// just answered may count for a moment, and the further one may arrive before the held ones: one of these is refused then,
		// and all are given up, until the server has closed each of them.
		hold := func() (last net.Conn, answer string) {
			var held []net.Conn
			for range 8 {
				c, _ := send(long)
				held = append(held, c)
			}
			if answer = whole(); !strings.Contains(answer, "503") {
				for _, c := range held {
					_ = c.(*net.TCPConn).CloseWrite()
					_, _ = io.Copy(io.Discard, c)
				}
			}
			return held[len(held)-1], answer
		}
		var held net.Conn
		Eventually(func() (answer string) {
			held, answer = hold()
			return answer
		}).Should(ContainSubstring("503"))
		// The rest of a head with an error ends the request.
		_, err := io.WriteString(held, "no colon\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(whole).Should(ContainSubstring("200"))
	})

	It("takes no body for a head", func() {
		c, _ := startServer(closer, &delayed, &handled)
		body := strings.Repeat("\n", 20<<10)
		for range 2 {
			c.send(body)
			Expect(c.receive()).To(Equal(body))
		}
	})
})

// bytesConn is a connection on which bytes have arrived.
type bytesConn struct {
	net.Conn
	in io.Reader
}

func (c *bytesConn) Read(p []byte) (int, error) { return c.in.Read(p) }

func (c *bytesConn) Write(p []byte) (int, error) { return len(p), nil }

// oneListener accepts one connection.
type oneListener struct {
	net.Listener
	conn net.Conn
}

func (l oneListener) Accept() (net.Conn, error) { return l.conn, nil }

// FuzzHead checks that a head passes exactly if it is within its limits, in whatever pieces it arrives.
func FuzzHead(f *testing.F) {
	for _, head := range []string{"", "\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\n\nbody\n", strings.Repeat("a:\r\n", 300), strings.Repeat("a:\n", 255) + "\n" + strings.Repeat("\n", 300)} {
		f.Add(head, uint16(7))
	}
	f.Add(strings.Repeat("a:\n", 8_200), uint16(100))
	// Guards against a head beyond its limits that passes because a byte behind its end came along.
	f.Add(strings.Repeat("a:\n", 8_300)+"\n\n", uint16(65_535))
	f.Fuzz(func(t *testing.T, head string, piece uint16) {
		g := NewWithT(t)
		inner, other := net.Pipe()
		defer func() { _, _ = inner.Close(), other.Close() }()
		closer := &idle.Closer{}
		conn, err := closer.Listener(oneListener{conn: &bytesConn{Conn: inner, in: strings.NewReader(head)}}).Accept()
		g.Expect(err).NotTo(HaveOccurred())
		read := 0
		for p := make([]byte, int(piece)+1); ; {
			n, err := conn.Read(p)
			read += n
			if err != nil {
				break
			}
		}
		g.Expect(read == len(head)).To(Equal(linesOfHead(head) <= 8_192), fmt.Sprintf("read %d of %d bytes", read, len(head)))
	})
}

// linesOfHead returns the number of lines up to the empty one that ends a head.
func linesOfHead(text string) int {
	n := 0
	for {
		line, rest, ok := strings.Cut(text, "\n")
		if !ok {
			return n
		}
		n++
		if strings.ReplaceAll(line, "\r", "") == "" && n > 1 {
			return n
		}
		text = rest
	}
}
