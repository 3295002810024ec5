package scene_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// callStatus sends one call to a host and returns the response's status code.
func (s *site) callStatus(host int) int { return s.request(host, "/call/x", "k1").status }

var _ = Describe("failing endpoints of the users' platform", func() {
	It("get no more requests from any host after they announce that they are leaving, also during a store outage, until they restart", func() {
		s := newSite(2)
		s.control("/fault?down")
		s.control("/trouble?id=i-0&leaving=1")
		Eventually(func() string { return s.request(0, "/call/x", "k1").header.Get("Server-Leaving") }).Should(Equal("1"))
		// Half of the allowed propagation time: the other host learns of it only from its peer's heartbeats.
		time.Sleep(time.Second)
		before := s.record().Arrivals["i-0"]
		for i := range 60 {
			Expect(s.callStatus(i % 2)).To(Equal(http.StatusOK))
		}
		s.control("/fault")
		time.Sleep(time.Second)
		for i := range 60 {
			Expect(s.callStatus(i % 2)).To(Equal(http.StatusOK))
		}
		Expect(s.record().Arrivals["i-0"]).To(Equal(before))
		s.control("/kill?id=i-0")
		s.control("/add?id=i-0&version=v1")
		Eventually(func() int {
			s.callStatus(0)
			return s.record().Arrivals["i-0"]
		}, "10s").Should(BeNumerically(">", before))
	})

	It("get no requests until their Retry-After has passed, and callers get a Retry-After", func() {
		s := newSite(1)
		for i := range 3 {
			s.control(fmt.Sprintf("/trouble?id=i-%d&pause=%d", i, 3+i))
		}
		var last siteAnswer
		arrivals := func() (n int) {
			for _, k := range s.record().Arrivals {
				n += k
			}
			return n
		}
		Eventually(func() int {
			last = s.request(0, "/call/x", "k1")
			return arrivals()
		}).Should(Equal(3))
		end := time.Now().Add(2 * time.Second)
		for time.Now().Before(end) {
			last = s.request(0, "/open/x", "")
			Expect(last.status).To(Equal(http.StatusServiceUnavailable))
			after, err := strconv.ParseFloat(last.header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(after).To(BeNumerically("~", 1.5, 1.6))
			time.Sleep(50 * time.Millisecond)
		}
		Expect(arrivals()).To(Equal(3))
		for i := range 3 {
			s.control(fmt.Sprintf("/trouble?id=i-%d", i))
		}
		Eventually(func() int { return s.callStatus(0) }, "10s").Should(Equal(http.StatusOK))
	})

	It("fail one request for each endless response, and the host keeps serving", func() {
		s := newSite(1)
		s.control("/trouble?id=i-0&endless=body")
		s.control("/trouble?id=i-1&endless=head")
		var g sync.WaitGroup
		for range 30 {
			g.Go(func() {
				resp, err := http.Get("http://" + s.hosts[0].address + "/open/x")
				if err == nil {
					_ = resp.Body.Close()
				}
			})
		}
		g.Wait()
		answered := 0
		for range 40 {
			if a := s.request(0, "/open/x", ""); a.err == nil && a.status == http.StatusOK {
				Expect(a.body).To(HavePrefix("answer of"))
				answered++
			}
		}
		Expect(answered).To(BeNumerically(">=", 20))
		Expect(s.readiness(s.hosts[0].ready)).To(Equal(http.StatusOK))
	})
})

// pipeline sends calls on one connection without waiting for responses. It returns the ids of the calls sent and of those
// with a complete response.
func pipeline(address string, first, n int, deadline time.Time) (sent, answered []string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, nil
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(deadline)
	for i := range n {
		id := fmt.Sprintf("%016x", first+i)
		_, err := fmt.Fprintf(c, "POST /call/slow HTTP/1.1\r\nHost: plans.example\r\nAuthorization: Bearer k1\r\n"+
			"Dragonflyroute-Request-Id: %s\r\nDragonflyroute-Deadline-Ms: 8000\r\nContent-Length: 4\r\n\r\nbody", id)
		if err != nil {
			break
		}
		sent = append(sent, id)
	}
	r := bufio.NewReader(c)
	for _, id := range sent {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			break
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err != nil || resp.Header.Get("Dragonflyroute-Request-Id") != "" && resp.Header.Get("Dragonflyroute-Request-Id") != id {
			break
		}
		answered = append(answered, id)
		if resp.Close {
			break
		}
	}
	return sent, answered
}

var _ = Describe("a host of the users' platform that gets SIGTERM under load", func() {
	It("answers every request that it has forwarded, also pipelined and just accepted ones", func() {
		s := newSite(1)
		h := s.hosts[0]
		var g sync.WaitGroup
		var mu sync.Mutex
		unanswered := map[string]bool{}
		stop := time.Now().Add(500 * time.Millisecond)
		for worker := range 8 {
			g.Go(func() {
				for n := 0; time.Now().Before(stop.Add(4 * time.Second)); n += 10 {
					sent, answered := pipeline(h.address, 1_000_000*(worker+1)+n, 3, time.Now().Add(6*time.Second))
					if sent == nil {
						return
					}
					mu.Lock()
					for _, id := range sent[len(answered):] {
						unanswered[id] = true
					}
					mu.Unlock()
				}
			})
		}
		time.Sleep(time.Until(stop))
		h.signal(syscall.SIGTERM)
		g.Wait()
		Expect(h.wait()).To(Succeed())
		runs := s.record().Runs
		Expect(len(runs)).To(BeNumerically(">", 50))
		for id := range unanswered {
			Expect(runs).NotTo(HaveKey(id), "forwarded but not answered")
		}
		for id, n := range runs {
			Expect(n).To(Equal(1), id)
		}
	})
})

var _ = Describe("callers' connections on the users' platform", func() {
	It("are closed after the operator's idle timeout, also when it changes", func() {
		s := newSite(1)
		timeToClose := func() time.Duration {
			c, err := net.Dial("tcp", s.hosts[0].address)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, "GET /open/x HTTP/1.1\r\nHost: plans.example\r\nDragonflyroute-Request-Id: a\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			r := bufio.NewReader(c)
			resp, err := http.ReadResponse(r, nil)
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, resp.Body)
			start := time.Now()
			_ = c.SetReadDeadline(start.Add(3 * time.Second))
			_, err = r.ReadByte()
			if err != io.EOF {
				return time.Hour
			}
			return time.Since(start)
		}
		Expect(timeToClose()).To(Equal(time.Hour), "closed before the idle timeout")
		s.idleTimeoutMs = 1000
		s.configure(2, "", `"k1"`)
		Eventually(timeToClose, "20s").Should(BeNumerically("~", time.Second, 900*time.Millisecond))
	})

	It("that send endless request headers are closed", func() {
		s := newSite(1)
		c, err := net.Dial("tcp", s.hosts[0].address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, err = io.WriteString(c, "GET /open/x HTTP/1.1\r\nA: ")
		block := strings.Repeat("x", 4096)
		sent := 0
		for err == nil && sent < 64<<20 {
			var n int
			n, err = io.WriteString(c, block)
			sent += n
		}
		Expect(err).To(HaveOccurred())
		Expect(s.callStatus(0)).To(Equal(http.StatusOK))
	})
})
