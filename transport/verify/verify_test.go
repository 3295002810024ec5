package verify_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/transport/dial"
	"github.com/dragonflyroute/dragonflyroute/transport/verify"
)

func TestTransport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "verify")
}

// server answers each request with the same bytes.
type server struct {
	address string
	// closes has each connection closed behind the first answer.
	closes bool
	conns  atomic.Int32
	// requests counts the requests that have come whole.
	requests atomic.Int32
	// ended receives when a connection was closed by the client.
	ended chan struct{}
}

func startServer(answer string, closes bool) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	s := &server{address: l.Addr().String(), closes: closes, ended: make(chan struct{}, 10)}
	var g sync.WaitGroup
	g.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			g.Go(func() { s.serve(c, answer) })
		}
	})
	return s
}

func (s *server) serve(c net.Conn, answer string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			s.ended <- struct{}{}
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.requests.Add(1)
		_, _ = io.WriteString(c, answer)
		if s.closes {
			return
		}
	}
}

// acceptRequest accepts a connection and reads a request from it.
func acceptRequest(l net.Listener) (net.Conn, error) {
	c, err := l.Accept()
	if err != nil {
		return nil, err
	}
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return c, err
}

// get sends a request and returns the status and body of its answer.
func get(t *verify.Transport, address string) (status int, body string, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/", strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	resp, err := t.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func newTransport() *verify.Transport {
	t := &verify.Transport{Base: &http.Transport{DialContext: dial.Context, MaxResponseHeaderBytes: 16 << 10}}
	DeferCleanup(t.CloseIdleConnections)
	return t
}

// expectRejected expects an answer to be rejected, whether its connection stays open or not.
func expectRejected(answer string) {
	GinkgoHelper()
	for _, closes := range []bool{true, false} {
		s := startServer(answer, closes)
		t := newTransport()
		status, body, err := get(t, s.address)
		Expect(err).To(HaveOccurred(), "closes %v: status %d, %q", closes, status, body)
		if !closes {
			// Guards against the rest of such an answer, or the next one, being read as that of another request.
			Eventually(s.ended, "2s").Should(Receive())
		}
	}
}

const empty = "Content-Length: 0\r\n\r\n"

var _ = Describe("An answer whose status", func() {
	// Guards against an answer without a status being passed on, or bringing down the request that waits for it.
	DescribeTable("is none is rejected, and its connection closed", func(status string) {
		for _, rest := range []string{" X\r\n" + empty, "\r\n" + empty, " X\r\nContent-Length: 4\r\n\r\nbody"} {
			for _, proto := range []string{"HTTP/1.1 ", "HTTP/1.0 "} {
				expectRejected(proto + status + rest)
			}
		}
	},
		Entry("of zeros", "000"), Entry("too small", "099"), Entry("with a plus sign", "+20"), Entry("a negative zero", "-00"),
		Entry("plus ninety-nine", "+99"), Entry("one", "001"), Entry("600", "600"), Entry("700", "700"), Entry("999", "999"),
		Entry("negative", "-20"), Entry("of two digits", "20"), Entry("of four digits", "2000"), Entry("no number", "abc"),
		Entry("in hexadecimal", "0x2"), Entry("a switch to a protocol that nobody asked for", "101"),
	)

	It("is behind an interim one, and none, is rejected", func() {
		for _, status := range []string{"000", "+20", "600", "101"} {
			expectRejected("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 " + status + " X\r\n" + empty)
		}
	})

	It("is rejected with an error that says that the request may have been executed", func() {
		_, _, err := get(newTransport(), startServer("HTTP/1.1 000 X\r\n"+empty, false).address)
		Expect(fault.KindOf(err)).To(Equal(kind.OutcomeUnknown))
		Expect(fault.From(err).Field).To(Equal("status"))
	})

	// Guards against odd answers that are sound being rejected.
	DescribeTable("is odd but sound is returned", func(status int, line string) {
		for _, behind := range []string{empty, "Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"} {
			got, body, err := get(newTransport(), startServer("HTTP/1.1 "+line+"\r\n"+behind, false).address)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(status))
			Expect(body).To(Equal(map[bool]string{true: "", false: "body"}[behind == empty]))
		}
	},
		Entry("200", 200, "200 OK"), Entry("without a reason", 200, "200"), Entry("with an empty reason", 200, "200 "), Entry("299", 299, "299 Odd"),
		Entry("399", 399, "399 Odd"), Entry("451", 451, "451 Unavailable For Legal Reasons"), Entry("499", 499, "499 X"), Entry("599", 599, "599 Odd"),
		Entry("with a reason in another script", 200, "200 d\u00e9j\u00e0 vu"),
	)
})

var _ = Describe("A valid answer", func() {
	It("keeps its connection for the next request", func() {
		s := startServer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false)
		t := newTransport()
		for range 5 {
			_, body, err := get(t, s.address)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("body"))
		}
		Expect(s.conns.Load()).To(Equal(int32(1)))
	})

	It("is returned behind interim ones, and if it ends with its connection", func() {
		for _, head := range []string{"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 X\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"} {
			status, body, err := get(newTransport(), startServer(head+"body", true).address)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(200))
			Expect(body).To(Equal("body"))
		}
	})

	It("fails like any other if the connection can't be opened", func() {
		_, _, err := get(newTransport(), "127.0.0.1:1")
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("An answer whose head", func() {
	const ok = "HTTP/1.1 200 OK\r\n"

	// Guards against a length, chunks or any other field that is not recognised, and against bytes that another reader takes
	// for the end of a line.
	DescribeTable("is damaged is rejected, and its connection closed", func(head string) {
		for _, body := range []string{"body", "4\r\nbody\r\n0\r\n\r\n", ""} {
			expectRejected(head + body)
		}
	},
		Entry("by a blank behind the name of a length", ok+"Content-Length : 4\r\n\r\n"),
		Entry("by a blank behind the name of a length, beside another one", ok+"Content-Length: 4\r\nContent-Length : 2\r\n\r\n"),
		Entry("by a tab behind the name of a length", ok+"Content-Length\t: 4\r\n\r\n"),
		Entry("by a blank behind the name of chunks", ok+"Transfer-Encoding : chunked\r\n\r\n"),
		Entry("by a blank behind the name of chunks, beside a length", ok+"Content-Length: 4\r\nTransfer-Encoding : chunked\r\n\r\n"),
		Entry("by a blank behind a name", ok+"Content-Length: 4\r\nX-Id : r1\r\n\r\n"),
		Entry("by a blank within a name", ok+"Content-Length: 4\r\nX Id: r1\r\n\r\n"),
		Entry("by an empty name", ok+"Content-Length: 4\r\n: r1\r\n\r\n"),
		Entry("by a line without a colon", ok+"Content-Length: 4\r\nX-Id\r\n\r\n"),
		Entry("by a NUL in a name", ok+"Content-Length: 4\r\nX\x00Id: r1\r\n\r\n"),
		Entry("by a control byte in a name", ok+"Content-Length: 4\r\nX\x01Id: r1\r\n\r\n"),
		Entry("by a DEL in a name", ok+"Content-Length: 4\r\nX\x7fId: r1\r\n\r\n"),
		Entry("by a bare CR in a name", ok+"Content-Length: 4\r\nX\rId: r1\r\n\r\n"),
		Entry("by a separator in a name", ok+"Content-Length: 4\r\nX(Id): r1\r\n\r\n"),
		Entry("by a byte beyond ASCII in a name", ok+"Content-Length: 4\r\nX-\xffId: r1\r\n\r\n"),
		Entry("by a NUL in a value", ok+"Content-Length: 4\r\nX-Id: r\x001\r\n\r\n"),
		Entry("by a control byte in a value", ok+"Content-Length: 4\r\nX-Id: r\x1b1\r\n\r\n"),
		Entry("by a DEL in a value", ok+"Content-Length: 4\r\nX-Id: r\x7f1\r\n\r\n"),
		Entry("by a bare CR in a value", ok+"Content-Length: 4\r\nX-Id: r1\rX-Other: 1\r\n\r\n"),
		Entry("by a bare CR at the end of a value", ok+"Content-Length: 4\r\nX-Id: r1\r\r\n\r\n"),
		Entry("by a bare CR that hides a length", ok+"X-Id: r1\rContent-Length: 4\r\n\r\n"),
		Entry("by a first line that begins with a blank", ok+" Content-Length: 4\r\n\r\n"),
		Entry("by a length in a folded name", ok+"Content-\r\n Length: 4\r\n\r\n"),
		Entry("by a NUL in a folded line", ok+"Content-Length: 4\r\nX-Id: r\r\n \x001\r\n\r\n"),
		Entry("by a NUL in the reason", "HTTP/1.1 200 O\x00K\r\nContent-Length: 4\r\n\r\n"),
		Entry("by a bare CR in the reason", "HTTP/1.1 200 OK\rContent-Length: 4\r\n\r\n"),
		Entry("by a control byte in the reason", "HTTP/1.1 200 O\x08K\r\nContent-Length: 4\r\n\r\n"),
		Entry("by two lengths that differ", ok+"Content-Length: 4\r\nContent-Length: 2\r\n\r\n"),
		Entry("by a length with a sign", ok+"Content-Length: +4\r\n\r\n"),
		Entry("by a list of lengths", ok+"Content-Length: 4, 4\r\n\r\n"),
		Entry("by an unknown encoding of transfer", ok+"Transfer-Encoding: chunked, chunked\r\n\r\n"),
	)

	It("is damaged is rejected with an error that says that the request may have been executed, and names the field", func() {
		_, _, err := get(newTransport(), startServer(ok+"Content-Length : 4\r\n\r\nbody", true).address)
		Expect(fault.KindOf(err)).To(Equal(kind.OutcomeUnknown))
		Expect(err).To(MatchError(ContainSubstring(`"Content-Length "`)))
	})

	// Guards against heads that are odd but sound being rejected.
	DescribeTable("is odd but sound is read as it is meant", func(head, name, value string) {
		s := startServer(head+"body", true)
		r, err := http.NewRequest(http.MethodGet, "http://"+s.address+"/", nil)
		Expect(err).NotTo(HaveOccurred())
		resp, err := newTransport().RoundTrip(r)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(Equal("body"))
		Expect(resp.Header.Get(name)).To(Equal(value))
	},
		Entry("without a blank before a value", ok+"Content-Length:4\r\nX-Id:r1\r\n\r\n", "X-Id", "r1"),
		Entry("with blanks around a value", ok+"Content-Length:  4 \r\nX-Id: \t r1 \t\r\n\r\n", "X-Id", "r1"),
		Entry("with an empty value", ok+"Content-Length: 4\r\nX-Id:\r\n\r\n", "X-Id", ""),
		Entry("with a tab in a value", ok+"Content-Length: 4\r\nX-Id: r\t1\r\n\r\n", "X-Id", "r\t1"),
		Entry("with a byte beyond ASCII in a value", ok+"Content-Length: 4\r\nX-Id: \xff\r\n\r\n", "X-Id", "\xff"),
		Entry("with lines that end with LF", "HTTP/1.1 200 OK\nContent-Length: 4\nX-Id: r1\n\n", "X-Id", "r1"),
		Entry("with all signs that a name may have", ok+"Content-Length: 4\r\nX!#$%&'*+-.^_`|~9: r1\r\n\r\n", "X!#$%&'*+-.^_`|~9", "r1"),
		Entry("with a folded value", ok+"Content-Length: 4\r\nX-Id: r1\r\n r2\r\n\r\n", "X-Id", "r1 r2"),
		Entry("with a folded length", ok+"Content-Length:\r\n\t4\r\nX-Id: r1\r\n\r\n", "X-Id", "r1"),
		Entry("with a folded line that looks like a field", ok+"X-Id: r1\r\n Content-Length: 2\r\nContent-Length: 4\r\n\r\n", "X-Id", "r1 Content-Length: 2"),
		Entry("with a folded line that begins with a colon", ok+"X-Id: r1\r\n : r2\r\nContent-Length: 4\r\n\r\n", "X-Id", "r1 : r2"),
		Entry("with the same length twice", ok+"Content-Length: 4\r\nContent-Length: 4\r\nX-Id: r1\r\n\r\n", "X-Id", "r1"),
		Entry("with a tab in the reason", "HTTP/1.1 200 O\tK\r\nContent-Length: 4\r\nX-Id: r1\r\n\r\n", "X-Id", "r1"),
	)
})

var _ = Describe("An answer with trailers", func() {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"

	// Guards against an answer whose end is damaged, as its head may be, passing for whole.
	DescribeTable("that are damaged is broken, and its connection closed", func(trailers string) {
		expectRejected(chunked + trailers + "\r\n")
		expectRejected(strings.Replace(chunked, "Transfer", "Trailer: X-Sum\r\nTransfer", 1) + trailers + "\r\n")
	},
		Entry("by a blank behind a name", "X-Sum : 1\r\n"), Entry("by a blank within a name", "X Sum: 1\r\n"),
		Entry("by a blank behind the name of a length", "X-Sum: 1\r\nContent-Length : 4\r\n"),
		Entry("by a NUL in a name", "X\x00Sum: 1\r\n"), Entry("by a NUL in a value", "X-Sum: \x001\r\n"), Entry("by a bare CR", "X-Sum: 1\rX: 2\r\n"),
		Entry("by a line without a colon", "X-Sum\r\n"), Entry("by a first line that begins with a blank", " X-Sum: 1\r\n"),
	)

	It("that are valid is whole", func() {
		for _, trailers := range []string{"", "X-Sum: 1\r\n", "X-Sum: 1\r\nX-More:2\r\n", "X-Sum: 1\r\n 2\r\n"} {
			for _, announced := range []string{"", "Trailer: X-Sum\r\n"} {
				s := startServer(strings.Replace(chunked, "Transfer", announced+"Transfer", 1)+trailers+"\r\n", false)
				t := newTransport()
				for range 2 {
					_, body, err := get(t, s.address)
					Expect(err).NotTo(HaveOccurred())
					Expect(body).To(Equal("body"))
				}
				Expect(s.conns.Load()).To(Equal(int32(1)))
			}
		}
	})
})

var _ = Describe("An answer behind interim ones", func() {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"

	// Guards against a damaged head being skipped, whose end may not be where it seems to be.
	DescribeTable("that are damaged is rejected, and its connection closed", func(head string) {
		expectRejected(head + "\r\n" + whole)
		expectRejected("HTTP/1.1 103 X\r\nLink: </a>\r\n\r\n" + head + "\r\n" + whole)
	},
		Entry("by a blank behind a name", "HTTP/1.1 103 X\r\nLink : </a>\r\n"), Entry("by a blank within a name", "HTTP/1.1 100 X\r\nA B: 1\r\n"),
		Entry("by a blank behind the name of a length", "HTTP/1.1 103 X\r\nContent-Length : 4\r\n"),
		Entry("by a NUL in a name", "HTTP/1.1 103 X\r\nLi\x00nk: </a>\r\n"), Entry("by a NUL in a value", "HTTP/1.1 103 X\r\nLink: \x00\r\n"),
		Entry("by a bare CR", "HTTP/1.1 103 X\r\nLink: </a>\rX: 1\r\n"), Entry("by a status that is none", "HTTP/1.1 010 X\r\n"),
	)

	// Guards against interim answers without end, of which there is one small one after the other.
	It("without end is rejected", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		var g sync.WaitGroup
		g.Go(func() {
			c, err := acceptRequest(l)
			block := strings.Repeat("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 102 X\r\nA: b\r\n\r\n", 100)
			for err == nil {
				_, err = io.WriteString(c, block)
			}
		})
		_, _, err = get(newTransport(), l.Addr().String())
		Expect(fault.KindOf(err)).To(Equal(kind.OutcomeUnknown))
		Expect(err).To(MatchError(ContainSubstring("too many bytes")))
		g.Wait()
	})
})

var _ = Describe("An answer of another version of HTTP", func() {
	// Guards against bytes of another protocol being read as an answer.
	DescribeTable("than 1 is rejected, and its connection closed", func(version string) {
		expectRejected(version + " 200 OK\r\nContent-Length: 4\r\n\r\nbody")
		expectRejected(version + " 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
	},
		Entry("0.0", "HTTP/0.0"), Entry("0.9", "HTTP/0.9"), Entry("2.0", "HTTP/2.0"), Entry("3.1", "HTTP/3.1"), Entry("9.9", "HTTP/9.9"),
		Entry("of two digits", "HTTP/1.10"), Entry("without a minor version", "HTTP/1"), Entry("in small letters", "http/1.1"), Entry("of another protocol", "ICY/1.1"),
		Entry("behind a blank", " HTTP/1.1"), Entry("behind a byte", "xHTTP/1.1"), Entry("with a NUL", "HTTP/1.\x00"),
	)

	It("of the future, with the same framing, is returned", func() {
		_, body, err := get(newTransport(), startServer("HTTP/1.2 200 OK\r\nContent-Length: 4\r\n\r\nbody", true).address)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("body"))
	})

	// Guards against the bytes of chunks being passed on as the body: an answer of HTTP/1.0 has none, so that its framing is
	// faulty (RFC 9112, section 6.1).
	DescribeTable("1.0 that has chunks is rejected, and its connection closed", func(head string) {
		expectRejected(head + "\r\n4\r\nbody\r\n0\r\n\r\n")
		expectRejected("HTTP/1.1 103 X\r\n\r\n" + head + "\r\n4\r\nbody\r\n0\r\n\r\n")
	},
		Entry("alone", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"),
		Entry("in small letters", "HTTP/1.0 200 OK\r\ntransfer-encoding:chunked\r\n"),
		Entry("beside a length", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
		Entry("behind other fields", "HTTP/1.0 200 OK\r\nX-Long: "+strings.Repeat("x", 5000)+"\r\nTransfer-Encoding: chunked\r\n"),
		Entry("and is kept", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n"),
		Entry("of an unknown encoding", "HTTP/1.0 200 OK\r\nTransfer-Encoding: gzip\r\n"),
	)

	It("1.0 that has chunks is rejected if its head comes byte by byte, and is returned without chunks", func() {
		for _, line := range []string{"Transfer-Encoding: chunked\r\n", "X-Id: Transfer-Encoding: chunked\r\n"} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(l.Close)
			var g sync.WaitGroup
			g.Go(func() {
				c, err := acceptRequest(l)
				for _, b := range []byte("HTTP/1.0 200 OK\r\n" + line + "\r\n4\r\nbody\r\n0\r\n\r\n") {
					if err == nil {
						_, err = c.Write([]byte{b})
						time.Sleep(50 * time.Microsecond)
					}
				}
				if err == nil {
					_ = c.(*net.TCPConn).CloseWrite()
				}
			})
			_, body, err := get(newTransport(), l.Addr().String())
			if strings.HasPrefix(line, "X-Id") {
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(Equal("4\r\nbody\r\n0\r\n\r\n"))
			} else {
				Expect(err).To(HaveOccurred(), body)
			}
			g.Wait()
		}
	})
})
