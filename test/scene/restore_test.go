package scene_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

const (
	// catchUpTime is the time within which a host that reaches the store again knows the rows, and oneLook the time
	// limit of one request.
	catchUpTime = 10 * time.Second
	oneLook     = 2 * time.Second
	// hostsTable is the table of the hosts' rows.
	hostsTable = "dragonflyroute-hosts"
)

// linkedSite is a site whose hosts reach the platform over links, and whose configurations have a route that no other one
// has.
type linkedSite struct {
	*site
	links []*link
	// version is the version of the latest configuration.
	version int
}

func newLinkedSite(hosts int) *linkedSite {
	s := &linkedSite{site: newPlatform()}
	s.putNext()
	for range hosts {
		s.addHost()
	}
	s.expectInForce()
	s.expectAllResolved()
	return s
}

func (s *linkedSite) addHost() {
	l := newLink(s.platform.address)
	s.links = append(s.links, l)
	s.startHostVia(len(s.hosts), l.address)
}

// onlyRoute returns a route that only the configuration of a version has.
func onlyRoute(version int) string {
	return fmt.Sprintf(`,{"name":"only-%d","host":"plans.example","prefix":"/only-%d/","kind":"idempotent","timeoutMs":8000,"service":"plume","maxAttempts":2,"public":true}`, version, version)
}

func (s *linkedSite) putNext() {
	s.version++
	s.configure(s.version, onlyRoute(s.version), `"k1"`)
}

// has reports whether a host serves the route that only the configuration of a version has. It may be called concurrently.
func (s *site) has(host, version int) bool {
	client := &http.Client{Timeout: oneLook, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/only-%d/x", s.hosts[host].address, version), strings.NewReader("body"))
	if err != nil {
		return false
	}
	r.Host = "plans.example"
	r.Header.Set("Dragonflyroute-Request-Id", nextRequestID())
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// expectInForce waits until every host serves the latest configuration.
func (s *linkedSite) expectInForce() {
	GinkgoHelper()
	for i := range s.hosts {
		Eventually(func() bool { return s.has(i, s.version) }, catchUpTime).Should(BeTrue(), "host %d, configuration %d", i, s.version)
	}
}

func (s *linkedSite) expectAllResolved() {
	GinkgoHelper()
	for i := range s.hosts {
		Eventually(func() []string { return s.resolve(i) }, catchUpTime).Should(HaveLen(len(s.hosts)), "host %d", i)
	}
}

// expectPassed waits until the store's newest version is above one of an earlier era.
func (s *site) expectPassed(version int64) {
	GinkgoHelper()
	Eventually(func() int64 { return s.readStore("/rows-get?table=t").Ver }).Should(BeNumerically(">", version+1))
}

// watchConfigurations asks all hosts for configurations until the function that it returns is called, which then returns
// the configurations that hosts went back to.
func (s *linkedSite) watchConfigurations() (stop func() []string) {
	var ending atomic.Bool
	var g errgroup.Group
	back := make([][]string, len(s.hosts))
	latest := s.version + 2*maxPuts
	for i := range s.hosts {
		newest := s.version
		g.Go(func() error {
			for !ending.Load() {
				for newest < latest && s.has(i, newest+1) {
					newest++
				}
				if s.has(i, newest-1) {
					back[i] = append(back[i], fmt.Sprintf("host %d: configuration %d after %d", i, newest-1, newest))
				}
			}
			return nil
		})
	}
	return func() (all []string) {
		ending.Store(true)
		_ = g.Wait()
		for _, b := range back {
			all = append(all, b...)
		}
		return all
	}
}

// maxPuts bounds the configurations that a test puts while it watches.
const maxPuts = 10

var _ = Describe("a store that comes back from a copy", func() {
	// copyAge is the age of the copies.
	const copyAge = 2 * time.Second

	// Guards against a host that follows the versions of an earlier era and so misses changes of the next one.
	Describe("leaves no host with an older configuration than the one acknowledged after it", func() {
		cut := func(s *linkedSite, host int) (heal func()) {
			s.links[host].setFault(linkFault{stallToTarget: true, stallFromTarget: true})
			s.links[host].reset()
			return func() {
				s.links[host].setFault(linkFault{})
				s.links[host].reset()
			}
		}
		pause := func(s *linkedSite, host int) (heal func()) {
			suspend(s.hosts[host].process)
			return func() { resume(s.hosts[host].process) }
		}
		// checkAbsent plays a restore and a configuration after it while a host is absent, until the versions have passed
		// the ones that it knows.
		checkAbsent := func(s *linkedSite, host int, leave func(*linkedSite, int) func()) {
			time.Sleep(copyAge)
			s.putNext()
			s.expectInForce()
			known := s.readStore("/rows-get?table=t").Ver
			heal := leave(s, host)
			s.restoreStore(copyAge)
			s.putNext()
			s.expectPassed(known)
			heal()
			s.expectInForce()
		}
		checkReader := func(leave func(*linkedSite, int) func()) {
			s := newLinkedSite(largeHosts)
			Eventually(s.primaries).Should(HaveLen(1))
			checkAbsent(s, s.primaries()[0], leave)
		}

		It("when it was cut off meanwhile", func() { checkAbsent(newLinkedSite(3), 2, cut) })
		It("when it was cut off meanwhile and there is no other", func() { checkAbsent(newLinkedSite(1), 0, cut) })
		It("when it was cut off meanwhile and reads for others", func() { checkReader(cut) })
		It("when it was suspended meanwhile", func() { checkAbsent(newLinkedSite(3), 2, pause) })
		It("when it was suspended meanwhile and there is no other", func() { checkAbsent(newLinkedSite(1), 0, pause) })
		It("when it was suspended meanwhile and reads for others", func() { checkReader(pause) })

		It("when configurations follow one another and the store comes back twice", func() {
			s := newLinkedSite(3)
			time.Sleep(copyAge)
			for _, away := range []time.Duration{0, 50 * time.Millisecond, time.Second} {
				s.putNext()
				s.control("/fault?down")
				time.Sleep(away)
				s.restoreStore(copyAge)
				s.putNext()
				s.expectInForce()
			}
		})
	})

	// Guards against an older configuration from the copy that takes the place of a newer one.
	It("takes no host back to an older configuration", func() {
		s := newLinkedSite(3)
		s.putNext()
		s.expectInForce()
		stop := s.watchConfigurations()
		for range 3 {
			s.putNext()
			s.expectInForce()
			s.restoreStore(copyAge)
			time.Sleep(copyAge)
		}
		s.expectInForce()
		Expect(stop()).To(BeEmpty())
	})

	// Guards against requests to the address of an endpoint that has left, which another process may have by then.
	It("brings no request to an endpoint that had left since, and uses one that was added since", func() {
		s := newLinkedSite(2)
		address := freeAddress()
		s.control("/add?id=left&version=v1&listen=" + address)
		Eventually(func() int { s.askAll(); return s.record().Arrivals["left"] }).Should(BeNumerically(">", 0))
		copied := time.Now()
		s.control("/kill?id=left")
		s.control("/add?id=added&version=v1")
		next := listenAsAnother(address)
		Eventually(func() int { s.askAll(); return s.record().Arrivals["added"] }).Should(BeNumerically(">", 0))
		// The hosts have read the endpoints without it by now.
		time.Sleep(3 * time.Second)
		next.Store(0)
		s.restoreStore(time.Since(copied))
		Expect(s.storeRows("servers")).To(And(HaveKey("left"), Not(HaveKey("added"))))
		before := s.record().Arrivals["added"]
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
			s.askAll()
		}
		Expect(next.Load()).To(BeZero(), "requests to an endpoint that had left")
		Eventually(func() int { s.askAll(); return s.record().Arrivals["added"] }, catchUpTime).Should(BeNumerically(">", before))
	})

	// Guards against hosts that nobody finds any more because their rows were written after the copy.
	It("leaves every host known to all, also one that joined since and one that joins later", func() {
		s := newLinkedSite(2)
		copied := time.Now()
		time.Sleep(time.Second)
		s.addHost()
		s.expectAllResolved()
		s.restoreStore(time.Since(copied))
		Expect(s.storeRows(hostsTable)).To(And(HaveKey("host-0"), Not(HaveKey("host-2"))))
		for i := range s.hosts {
			Consistently(func() []string { return s.resolve(i) }, "2s", "100ms").Should(HaveLen(3), "host %d", i)
		}
		Eventually(func() map[string]string { return s.storeRows(hostsTable) }, catchUpTime).Should(HaveKey("host-2"))
		s.addHost()
		s.expectAllResolved()
	})
})

// askAll sends a request to each host, which must serve it.
func (s *linkedSite) askAll() {
	GinkgoHelper()
	for i := range s.hosts {
		Expect(s.request(i, "/open/x", "").status).To(Equal(http.StatusOK), "host %d", i)
	}
}

// listenAsAnother serves an address that an endpoint had as another endpoint would, and counts the requests.
func listenAsAnother(address string) *atomic.Int64 {
	var requests atomic.Int64
	l, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{ReadHeaderTimeout: oneLook, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.WriteHeader(http.StatusMisdirectedRequest)
	})}
	var g errgroup.Group
	g.Go(func() error { return server.Serve(l) })
	DeferCleanup(func() {
		_ = server.Close()
		_ = g.Wait()
	})
	return &requests
}
