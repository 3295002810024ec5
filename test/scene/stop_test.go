package scene_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// siteGrace is the grace period of the hosts of a site.
	siteGrace = 4 * time.Second
	// late is a time after the order to stop at which a host still accepts requests.
	late = time.Second
)

// keptCaller is a caller with one connection to a host, which it keeps.
type keptCaller struct {
	client *http.Client
	host   string
}

// newKeptCaller connects to a host with a first request.
func (s *site) newKeptCaller(host int) *keptCaller {
	c := newCaller(s.hosts[host].address)
	Expect(c.send("/open/x", time.Second).status).To(Equal(http.StatusOK))
	return c
}

// newCaller returns a caller of the host at an address.
func newCaller(address string) *keptCaller {
	c := &keptCaller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, host: address}
	DeferCleanup(c.client.CloseIdleConnections)
	return c
}

// keptAnswer is an answer with the time that it took.
type keptAnswer struct {
	siteAnswer
	took time.Duration
}

// send sends one request. The error is that of the connection or of the answer's body.
func (c *keptCaller) send(path string, deadline time.Duration) (a keptAnswer) {
	a.id = nextRequestID()
	r, err := http.NewRequest(http.MethodPost, "http://"+c.host+path, strings.NewReader("body"))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = "plans.example"
	r.GetBody = nil
	r.Header.Set("Dragonflyroute-Request-Id", a.id)
	r.Header.Set("Dragonflyroute-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer k1")
	started := time.Now()
	defer func() { a.took = time.Since(started) }()
	resp, err := c.client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.body, a.err = string(body), err
	return a
}

var _ = Describe("a host that is stopped while endpoints hold requests", func() {
	const patient = 8 * time.Second

	// Guards against requests that came late in the grace period being passed on and cut without an answer at its end.
	It("answers every request that it has read, and takes late what must not be cut off only if that ends in time", func() {
		s := newSite(2)
		callers := make([]*keptCaller, 7)
		for i := range callers {
			callers[i] = s.newKeptCaller(1)
		}
		var early, call, short, quick, open, stream, begun keptAnswer
		var g sync.WaitGroup
		g.Go(func() { early = callers[0].send("/call/held", patient) })
		time.Sleep(late)
		s.hosts[1].signal(syscall.SIGTERM)
		g.Go(func() { begun = callers[1].send("/stream/stuck", patient) })
		time.Sleep(late)
		g.Go(func() { call = callers[2].send("/call/held", patient) })
		g.Go(func() { short = callers[3].send("/call/held", time.Second) })
		g.Go(func() { quick = callers[4].send("/call/slow", time.Second) })
		g.Go(func() { open = callers[5].send("/open/held", patient) })
		g.Go(func() { stream = callers[6].send("/stream/held", patient) })
		g.Wait()

		Expect(early.err).NotTo(HaveOccurred())
		Expect(early.status).To(Equal(http.StatusGatewayTimeout), "a call from before the stop")
		Expect(call.err).NotTo(HaveOccurred())
		Expect(call.status).To(Equal(http.StatusServiceUnavailable), "a call that could be cut")
		Expect(call.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(call.took).To(BeNumerically("<", siteGrace/2))
		Expect(short.err).NotTo(HaveOccurred())
		Expect(short.status).To(Equal(http.StatusGatewayTimeout), "a call whose deadline comes before the stop")
		Expect(quick.err).NotTo(HaveOccurred())
		Expect(quick.status).To(Equal(http.StatusOK))
		Expect(open.err).NotTo(HaveOccurred())
		Expect(open.status).To(Equal(http.StatusGatewayTimeout), "a request that has run")
		Expect(open.took).To(BeNumerically("<", siteGrace-late))
		Expect(stream.err).NotTo(HaveOccurred())
		Expect(stream.status).To(Equal(http.StatusServiceUnavailable), "a stream that could be cut")
		Expect(stream.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(begun.err).To(MatchError(io.ErrUnexpectedEOF), "a stream that has begun looks cut")
		runs := s.record().Runs
		Expect(runs).NotTo(HaveKey(call.id))
		Expect(runs).NotTo(HaveKey(stream.id))
		Expect(runs).To(HaveKey(open.id))
		Expect(s.hosts[1].wait()).To(Succeed())
		Expect(s.hosts[1].output()).To(MatchRegexp(`"drained".*"active-requests":0,`))
	})
})
