package scene_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// longUpload is the size of a request body that is more than the buffers of a connection hold, in bytes.
const longUpload = 12 << 20

// rawEndpoint is an endpoint that answers with the bytes that a script sends.
type rawEndpoint struct {
	address string
	// asked counts the requests.
	asked atomic.Int32
	// script answers a request.
	script atomic.Pointer[rawScript]
}

// rawScript answers a request of which the head has been read; signed returns the head of an answer with a status line, without
// the line that ends it.
type rawScript func(c *net.TCPConn, signed func(statusLine string) string, body io.Reader)

// startRawEndpoint starts an endpoint that registers itself in the store, in place of the stand-in's own.
func (s *site) startRawEndpoint() *rawEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	e := &rawEndpoint{address: l.Addr().String()}
	var g sync.WaitGroup
	g.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			g.Go(func() { e.serve(c.(*net.TCPConn)) })
		}
	})
	for i := range 3 {
		s.control(fmt.Sprintf("/kill?id=i-%d", i))
	}
	s.putRow("servers", "raw", fmt.Sprintf(`{"service":"plume","zone":"here","version":"v1","state":"ready","slots":8,"coldRemainingMs":0,"sequence":1,"address":%q}`, e.address))
	return e
}

// serve answers one request, and closes the connection.
func (e *rawEndpoint) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if req.URL.Path == "/health" || !strings.HasPrefix(req.URL.Path, "/call/") {
		_, _ = io.WriteString(c, "HTTP/1.1 404 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return
	}
	e.asked.Add(1)
	(*e.script.Load())(c, func(statusLine string) string {
		return fmt.Sprintf("%s\r\nConnection: close\r\nDragonflyroute-Request-Id: %s\r\nDragonflyroute-Response-Signature: raw\r\n", statusLine, req.Header.Get("Dragonflyroute-Request-Id"))
	}, req.Body)
}

// rawCall sends a call with a long body in a version of HTTP and returns its answer's status and body, and an error if it is not
// complete. It repeats calls that were refused.
func (s *site) rawCall(proto string) (status int, body string, err error) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, body, err = s.rawCallOnce(proto); status != http.StatusServiceUnavailable {
			return status, body, err
		}
	}
	return status, body, err
}

func (s *site) rawCallOnce(proto string) (status int, body string, err error) {
	s.requests++
	c, err := net.Dial("tcp", s.hosts[0].address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	_, err = fmt.Fprintf(c, "POST /call/x %s\r\nHost: plans.example\r\nAuthorization: Bearer k1\r\nDragonflyroute-Request-Id: raw-%d\r\nDragonflyroute-Deadline-Ms: 8000\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", proto, s.requests, longUpload)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(c, strings.Repeat("x", longUpload))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

var _ = Describe("an endpoint that sends broken answers", func() {
	const times = 6
	readAll := func(body io.Reader) { _, _ = io.Copy(io.Discard, body) }

	// Guards against broken answers that reach callers, and against such an answer ending a host or keeping it from the next one.
	It("has none of them passed on by a host, which passes on the next sound one", func() {
		s := newPlatform()
		s.maxBodyBytes = longUpload
		s.startHosts(1)
		e := s.startRawEndpoint()
		broken := map[string]rawScript{
			"a part and a reset during the request": func(c *net.TCPConn, signed func(string) string, _ io.Reader) {
				_, _ = io.WriteString(c, signed("HTTP/1.1 200 OK")+"\r\npart")
				time.Sleep(200 * time.Microsecond)
				_ = c.SetLinger(0)
			},
			"no status": func(c *net.TCPConn, signed func(string) string, body io.Reader) {
				readAll(body)
				_, _ = io.WriteString(c, signed("HTTP/1.1 000 X")+"Content-Length: 4\r\n\r\nbody")
			},
			"a blank behind a name": func(c *net.TCPConn, signed func(string) string, body io.Reader) {
				readAll(body)
				_, _ = io.WriteString(c, signed("HTTP/1.1 200 OK")+"Content-Length : 4\r\n\r\nbody")
			},
			"a control byte in a name": func(c *net.TCPConn, signed func(string) string, body io.Reader) {
				readAll(body)
				_, _ = io.WriteString(c, signed("HTTP/1.1 200 OK")+"Content-Length: 4\r\nX\x01Id: 1\r\n\r\nbody")
			},
		}
		sound := rawScript(func(c *net.TCPConn, signed func(string) string, body io.Reader) {
			readAll(body)
			_, _ = io.WriteString(c, signed("HTTP/1.1 299 Odd")+"\r\nsound")
		})
		for title, script := range broken {
			for n := range times {
				e.script.Store(&script)
				asked := e.asked.Load()
				proto := []string{"HTTP/1.1", "HTTP/1.0"}[n%2]
				status, body, err := s.rawCall(proto)
				Expect(status == http.StatusGatewayTimeout || err != nil).To(BeTrue(), "%s, %s: %d, %q", title, proto, status, body)
				Expect(e.asked.Load()).To(Equal(asked+1), "must run at most once")
			}
			e.script.Store(&sound)
			status, body, err := s.rawCall("HTTP/1.1")
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(299), "behind %s: %q", title, body)
			Expect(body).To(Equal("sound"))
		}
		Expect(s.hosts[0].hasEnded()).To(BeFalse())
	})
})
