package scene_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// configCallers is the number of callers beside changes of the configuration, each with a kept connection to each host.
	configCallers = 40
	// largeConfigs is the number of large configurations, and slowStore by how much the store is late meanwhile.
	largeConfigs = 6
	slowStore    = 1100 * time.Millisecond
	// shortIdleMs is the operator's idle timeout in milliseconds, and shortIdleAnnounced what hosts announce of it.
	shortIdleMs        = 3000
	shortIdleAnnounced = 2 * time.Second
	// frozenConnections is the number of connections to a process that does not run.
	frozenConnections = 200
)

// manyRoutes returns routes of further callers, as part of a configuration.
func manyRoutes(count int) string {
	var out strings.Builder
	for i := range count {
		fmt.Fprintf(&out, `,{"name":"more-%d","host":"plans-%d.example","prefix":"/more/%d/","kind":"idempotent","timeoutMs":8000,"targetLatencyMs":300,"service":"plume","maxAttempts":2,"public":true}`, i, i%50, i)
	}
	return out.String()
}

// configCaller sends requests of all kinds on kept connections.
type configCaller struct {
	kept   []*keptCaller
	random *rand.Rand
}

// send sends a random request to a random host. It returns an empty text if it got a whole answer.
func (c *configCaller) send() string {
	host := c.kept[c.random.IntN(len(c.kept))]
	switch c.random.IntN(4) {
	case 0:
		return failure("/call/x", host.send("/call/x", 8*time.Second).siteAnswer)
	case 1:
		return failure("/open/x", host.send("/open/x", 8*time.Second).siteAnswer)
	default:
		events := 1 + c.random.IntN(20)
		path := fmt.Sprintf("/stream/long/x?events=%d&gap=%d", events, 5+c.random.IntN(30))
		a := host.streamOf(path, bodyOf(c.random.IntN(6), time.Duration(c.random.IntN(60))*time.Millisecond), events)
		if a.isWhole(events) || a.err == nil && a.status != http.StatusOK {
			return ""
		}
		return fmt.Sprintf("%s %s to %s: status %d, %d events, after %v: %v", a.id, path, host.host, a.status, len(a.events), a.ended.Sub(a.sent), a.err)
	}
}

// failure describes an answer that is not whole; it is empty for others.
func failure(path string, a siteAnswer) string {
	if a.err == nil && a.status != 0 {
		return ""
	}
	return fmt.Sprintf("%s %s: status %d: %v", a.id, path, a.status, a.err)
}

// callBesideConfigs sends requests until ended is set, and returns their number and those that were lost.
func (s *site) callBesideConfigs(ended *atomic.Bool, seed uint64) (sent int, lost []string) {
	var g sync.WaitGroup
	var mu sync.Mutex
	for n := range configCallers {
		c := &configCaller{random: rand.New(rand.NewPCG(seed, uint64(n)))}
		for _, h := range s.hosts {
			c.kept = append(c.kept, newCaller(h.address))
		}
		g.Go(func() {
			for !ended.Load() {
				text := c.send()
				mu.Lock()
				sent++
				if text != "" {
					lost = append(lost, text)
				}
				mu.Unlock()
				time.Sleep(time.Duration(c.random.IntN(100)) * time.Millisecond)
			}
		})
	}
	g.Wait()
	return sent, lost
}

// rawOpen returns the bytes of a request on the route open.
func rawOpen() string {
	return fmt.Sprintf("POST /open/x HTTP/1.1\r\nHost: plans.example\r\nDragonflyroute-Request-Id: %s\r\nDragonflyroute-Deadline-Ms: 8000\r\nContent-Length: 4\r\n\r\nbody", nextRequestID())
}

// rawEntries returns the bytes of a request to the product's own interface.
func rawEntries() string { return "GET /v1/entries HTTP/1.1\r\nHost: entries.example\r\n\r\n" }

// answered reads an answer from a connection.
func answered(conn net.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(waitLimit)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// stall has connections send a first request each, and another one at a time after it, while the process does not run until a
// later time. It returns those without an answer.
func stall(p *process, request func() string, from, until time.Duration) (lost []string) {
	conns := make([]net.Conn, frozenConnections)
	for i := range conns {
		conn, err := net.Dial("tcp", p.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		conns[i] = conn
	}
	send := func() {
		for _, conn := range conns {
			_, err := io.WriteString(conn, request())
			Expect(err).NotTo(HaveOccurred())
		}
	}
	start := time.Now()
	send()
	for _, conn := range conns {
		Expect(answered(conn)).To(Succeed())
	}
	last := time.Now()
	time.Sleep(time.Until(start.Add(from)))
	p.signal(syscall.SIGSTOP)
	send()
	time.Sleep(time.Until(last.Add(until)))
	p.signal(syscall.SIGCONT)
	for _, conn := range conns {
		if err := answered(conn); err != nil {
			lost = append(lost, err.Error())
		}
	}
	GinkgoWriter.Printf("%d requests, %d lost\n", len(conns), len(lost))
	return lost
}

var _ = Describe("changes of the configuration on the users' platform", func() {
	// Guards against requests that get neither an answer nor a refusal beside a large configuration.
	It("lose no request, though they are large and the store is slow", func() {
		seed := uint64(envInt("DRAGONFLYROUTE_SEED", 1))
		s := newSite(3)
		s.idleTimeoutMs = shortIdleMs
		s.configure(2, longRoute+onlyRoute(2), `"k1"`)
		for i := range s.hosts {
			Eventually(func() bool { return s.has(i, 2) }).Should(BeTrue())
		}
		var ended atomic.Bool
		var calls sync.WaitGroup
		sent, lost := 0, []string(nil)
		calls.Go(func() { sent, lost = s.callBesideConfigs(&ended, seed) })
		for n := range largeConfigs {
			version := 3 + n
			s.control(fmt.Sprintf("/fault?slow=%g", slowStore.Seconds()))
			s.configure(version, longRoute+onlyRoute(version)+manyRoutes(1400+n*700), `"k1"`)
			s.control("/fault")
			for i := range s.hosts {
				Eventually(func() bool { return s.has(i, version) }).Should(BeTrue())
			}
			time.Sleep(500 * time.Millisecond)
		}
		ended.Store(true)
		calls.Wait()
		GinkgoWriter.Printf("seed %d: %d requests, %d lost\n", seed, sent, len(lost))
		Expect(lost).To(BeEmpty())
	})
})

var _ = Describe("a host whose process does not run for a while", func() {
	// Guards against a request that is sent within the announced idle time, and that the host finds together with the end of
	// its connection's idle limit when it runs again.
	It("answers the requests that have come meanwhile", func() {
		s := newSite(1)
		s.idleTimeoutMs = shortIdleMs
		s.configure(2, onlyRoute(2), `"k1"`)
		Eventually(func() bool { return s.has(0, 2) }).Should(BeTrue())
		const limit = shortIdleMs * time.Millisecond
		Expect(stall(s.hosts[0].process, rawOpen, shortIdleAnnounced-300*time.Millisecond, limit+200*time.Millisecond)).To(BeEmpty())
	})

	// Guards against the same at the other interface, whose idle limit is 500 ms here.
	It("answers the requests that have come meanwhile, on the product's own interface", func() {
		s := newSystem(1, 1)
		Expect(stall(s.entryHosts[0], rawEntries, 300*time.Millisecond, 700*time.Millisecond)).To(BeEmpty())
	})
})
