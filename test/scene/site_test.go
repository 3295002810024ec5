package scene_test

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// site is a stand-in of the users' platform and the entry hosts on it, as processes on loopback.
type site struct {
	platform *process
	hosts    []*siteHost
	requests int
	// idleTimeoutMs is the operator's idle timeout in milliseconds; 0 means 15 000.
	idleTimeoutMs int
	// grace is the grace period of the hosts; 0 means siteGrace.
	grace time.Duration
	// cold is what a configuration says of cold endpoints: further fields of the back end, each after a comma.
	cold string
	// linkPeers puts a link before the address that other hosts connect to.
	linkPeers bool
	// limits holds the limits in the hosts' settings files; empty means siteLimits.
	limits string
	// maxBodyBytes is the operator's limit of a request body; 0 means 100 000.
	maxBodyBytes int
}

// siteLimits holds the limits in the hosts' settings files by default.
const siteLimits = `"memoryMb":200,"maxFds":1000`

// siteHost is one entry host; its process serves callers at address.
type siteHost struct {
	*process
	ready, directory, metrics string
	// settings is the path of the process's settings file.
	settings string
	// peerLink is the link from the other hosts, nil without linkPeers.
	peerLink *link
}

// siteRecord is what the platform's stand-in has recorded.
type siteRecord struct {
	Runs map[string]int `json:"runs"`
	// Versions counts runs by version, and Status holds the status rows written for the operator, by key.
	Versions map[string]int `json:"versions"`
	Arrivals map[string]int `json:"arrivals"`
	// Limits holds the changes of request limits and the requests that arrived after the first one, by endpoint.
	Limits map[string][]limitEvent `json:"limits"`
	// Reads counts the reads of the store's tables, by table.
	Reads   map[string]int                      `json:"reads"`
	Status  map[string]string                   `json:"status"`
	Reports map[string][]map[string]json.Number `json:"reports"`
	// Crashes holds the arrivals of requests with a part that crashes endpoints, and the crashes.
	Crashes []crashEvent `json:"crashes"`
	// Streams holds the runs of streams that have ended, by request.
	Streams map[string][]streamRun `json:"streams"`
	// Drained holds the requests that arrived at an endpoint since it reported that it drains, by endpoint.
	Drained map[string][]limitEvent `json:"drained"`
	// Cold holds the requests that arrived at an endpoint while it was cold, and Evacuated those that did while its data
	// centre was evacuated, by endpoint.
	Cold      map[string][]limitEvent       `json:"cold"`
	Evacuated map[string][]evacuatedArrival `json:"evacuated"`
	// Duties holds the calls of the duties, in the order of their arrival.
	Duties []dutyCall `json:"duties"`
}

const siteConfig = `{"version":%d,"routes":[
 {"name":"call","host":"plans.example","prefix":"/call/","kind":"non_idempotent","timeoutMs":8000,"targetLatencyMs":300,"service":"plume","maxAttempts":1},
 {"name":"stream","host":"plans.example","prefix":"/stream/","kind":"streaming","resumable":true,"timeoutMs":8000,"targetLatencyMs":500,"targetGapMs":500,"service":"plume","maxAttempts":3},
 {"name":"open","host":"plans.example","prefix":"/open/","kind":"idempotent","timeoutMs":8000,"targetLatencyMs":300,"service":"plume","maxAttempts":2,"public":true}%s],
 "services":[{"name":"plume","healthPath":"/health","maxConns":100%s}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":%d},
 "tenants":[{"name":"mutual","apiKeys":[%s]}]}`

// maxResolved is the largest number of addresses in an answer to a look-up.
const maxResolved = 64

// newPlatform starts the stand-in without hosts.
func newPlatform(args ...string) *site {
	address := freeAddress()
	s := &site{platform: start("standin", address, append([]string{"site", "--listen", address}, args...)...)}
	Eventually(func() error { return ping(address + "/seen") }).Should(Succeed())
	return s
}

func newSite(hosts int) *site {
	s := newPlatform()
	s.startHosts(hosts)
	return s
}

// startHosts starts hosts and waits until they serve the first configuration.
func (s *site) startHosts(hosts int) {
	for i := range hosts {
		s.startHost(i)
	}
	Expect(s.request(0, "/open/x", "").status).To(Equal(http.StatusServiceUnavailable))
	s.configure(1, "", `"k1"`)
	for i := range hosts {
		Eventually(func() int { return s.readiness(s.hosts[i].ready) }).Should(Equal(http.StatusOK))
	}
	Eventually(func() int { return len(s.resolve(0)) }).Should(Equal(min(hosts, maxResolved)))
}

func port(address string) int {
	_, text, err := net.SplitHostPort(address)
	Expect(err).NotTo(HaveOccurred())
	n, err := strconv.Atoi(text)
	Expect(err).NotTo(HaveOccurred())
	return n
}

// freePair returns the first of two consecutive free ports.
func freePair() int {
	for {
		first := port(freeAddress())
		if port(freeAddress()) == first+1 {
			return first
		}
	}
}

func (s *site) startHost(i int) { s.startHostVia(i, s.platform.address) }

// startHostVia starts an entry host that connects to the platform at the given address.
func (s *site) startHostVia(i int, platform string) {
	callers, ready, directory := freeAddress(), freeAddress(), freeAddress()
	internal := freePair()
	var peerLink *link
	advertise := ""
	if s.linkPeers {
		peerLink = newLink(net.JoinHostPort("127.0.0.1", strconv.Itoa(internal)))
		advertise = peerLink.address
	}
	settings := fmt.Sprintf(`{"node":"host-%d","ip":"127.0.0.1","zone":"here",
 "listen":{"front":%q,"ready":%q,"directory":%q},"internalPorts":[%d,%d],"advertise":{"peers":%q},"limits":{%s},
 "heartbeatMs":200,"bounds":{"graceS":%g,"drainMs":2000,"configApplyMs":2000,"evacuateMs":%d,"retryBudgetRatio":0.2,"budgetWindowS":10,"budgetExtraRetries":50,
 "leaseMs":1000,"reportWindowS":1,"usageLateS":10,"ttl_max_s":5},
 "platform":{"address":%q},"cloud":{"address":%q,"duties":["usage_report"]}}`,
		i, callers, ready, directory, internal, internal+1, advertise, cmp.Or(s.limits, siteLimits), cmp.Or(s.grace, siteGrace).Seconds(), evacuateTime.Milliseconds(), platform, platform)
	file := filepath.Join(GinkgoT().TempDir(), "node.json")
	Expect(os.WriteFile(file, []byte(settings), 0o600)).To(Succeed())
	h := &siteHost{ready: ready, directory: directory, metrics: net.JoinHostPort("127.0.0.1", strconv.Itoa(internal+1)), settings: file, peerLink: peerLink}
	h.launch(callers)
	s.hosts = append(s.hosts, h)
	Eventually(func() error { return ping(ready + "/ready") }).Should(Succeed())
}

// launch starts the host's process, which serves callers at address.
func (h *siteHost) launch(address string) {
	h.process = start("dragonflyroute", address, "host", "--settings", h.settings)
}

// requestMove requests a move of the back end to a version.
func (s *site) requestMove(to string, seconds int) {
	body := fmt.Sprintf(`{"service":"plume","to":%q,"durationS":%d}`, to, seconds)
	r, err := http.NewRequest(http.MethodPut, "http://"+s.platform.address+"/op/rollout%2Fplume", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
}

// callHosts sends calls to the hosts in turn.
func (s *site) callHosts(n int) {
	for range n {
		s.request(s.requests%len(s.hosts), "/call/x", "k1")
	}
}

// moveUnderLoad requests a move of the back end to v2 and sends calls until the move has completed or was rolled back.
// It returns the final status.
func (s *site) moveUnderLoad(seconds int) string {
	s.requestMove("v2", seconds)
	status := ""
	Eventually(func() string {
		s.callHosts(40)
		status = s.record().Status["rollout/plume"]
		return status
	}).Should(Or(ContainSubstring("completed"), ContainSubstring("rolled_back")))
	return status
}

func (s *site) configure(version int, routes, keys string) {
	body := fmt.Sprintf(siteConfig, version, routes, s.cold, cmp.Or(s.maxBodyBytes, 100_000), cmp.Or(s.idleTimeoutMs, 15000), keys)
	r, err := http.NewRequest(http.MethodPut, "http://"+s.platform.address+"/op/config", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
}

func (s *site) control(call string) {
	resp, err := http.Post("http://"+s.platform.address+call, "", nil)
	Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
}

// readiness returns the status code of a host's readiness probe, 0 without a response.
func (s *site) readiness(address string) int {
	resp, err := http.Get("http://" + address + "/ready")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (s *site) resolve(host int) []string {
	resp, err := http.Get("http://" + s.hosts[host].directory + "/resolve?name=plans.example&zone=here")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var a struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&a) != nil {
		return nil
	}
	return a.Addresses
}

// siteAnswer is the response to one request, or the error of the connection.
type siteAnswer struct {
	id     string
	status int
	body   string
	err    error
	header http.Header
}

// sendRequest sends one request without reading the body of the response. It also returns the request's id.
func (s *site) sendRequest(host int, path, key string) (*http.Response, string, error) {
	s.requests++
	id := fmt.Sprintf("%016x", s.requests)
	r, err := http.NewRequest(http.MethodPost, "http://"+s.hosts[host].address+path, strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "plans.example"
	r.Header.Set("Dragonflyroute-Request-Id", id)
	r.Header.Set("Dragonflyroute-Deadline-Ms", "8000")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(r)
	return resp, id, err
}

func (s *site) request(host int, path, key string) siteAnswer {
	resp, id, err := s.sendRequest(host, path, key)
	if err != nil {
		return siteAnswer{id: id, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return siteAnswer{id: id, status: resp.StatusCode, body: string(body), err: err, header: resp.Header}
}

func (s *site) metrics(host int) string {
	resp, err := http.Get("http://" + s.hosts[host].metrics + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

func (s *site) record() siteRecord {
	resp, err := http.Get("http://" + s.platform.address + "/seen")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var seen siteRecord
	Expect(json.NewDecoder(resp.Body).Decode(&seen)).To(Succeed())
	return seen
}

var _ = Describe("the users' platform", func() {
	It("serves calls and streams on configured routes with valid keys, and runs each call once", func() {
		s := newSite(2)
		answer := s.request(0, "/call/x", "k1")
		Expect(answer.status).To(Equal(http.StatusOK))
		Expect(answer.body).To(Equal("answer of mutual"))
		Expect(answer.header.Get("Dragonflyroute-Response-Signature")).To(HavePrefix("signed-by-i-"))
		Expect(s.record().Runs[answer.id]).To(Equal(1))
		Expect(s.request(1, "/call/x", "other").status).To(Equal(http.StatusUnauthorized))
		Expect(s.request(1, "/open/x", "").status).To(Equal(http.StatusOK))
		Expect(s.request(1, "/nothing/x", "k1").status).To(Equal(http.StatusNotFound))
		Expect(strings.Count(s.request(1, "/stream/x", "k1").body, "id: ")).To(Equal(12))
		Eventually(func() string { return s.metrics(1) }).Should(And(
			ContainSubstring(`dragonflyroute_answers_total{outcome="ok"}`),
			ContainSubstring(`dragonflyroute_answer_seconds_bucket{outcome="unauthorized"`)))
		Expect(s.hosts[0].output()).To(ContainSubstring(answer.id))
	})

	It("resumes a stream whose endpoint is killed, without a missing or repeated event", func() {
		s := newSite(1)
		resp, _, err := s.sendRequest(0, "/stream/x", "k1")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		r := bufio.NewReader(resp.Body)
		ids, killed := []string{}, false
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				Expect(err).To(Equal(io.EOF))
				break
			}
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				ids = append(ids, strings.TrimSpace(id))
			}
			if endpoint, ok := strings.CutPrefix(line, "data: "); ok && !killed {
				killed = true
				s.control("/kill?id=" + strings.TrimSpace(endpoint))
			}
		}
		Expect(strings.Join(ids, " ")).To(Equal("1 2 3 4 5 6 7 8 9 10 11 12"))
	})

	It("serves through an outage of the store, then applies a configuration change made after it", func() {
		s := newSite(2)
		s.control("/fault?down")
		for range 20 {
			Expect(s.request(0, "/open/x", "").status).To(Equal(http.StatusOK))
			time.Sleep(100 * time.Millisecond)
		}
		s.control("/fault?compact")
		s.configure(9, `,{"name":"new","host":"plans.example","prefix":"/new/","kind":"idempotent","timeoutMs":8000,"service":"plume","maxAttempts":1,"public":true}`, `"k2"`)
		for i := range s.hosts {
			Eventually(func() int { return s.request(i, "/new/x", "").status }).Should(Equal(http.StatusOK))
			Expect(s.request(i, "/call/x", "k1").status).To(Equal(http.StatusUnauthorized))
			Expect(s.request(i, "/call/x", "k2").status).To(Equal(http.StatusOK))
		}
	})

	It("is removed from resolved addresses when it stops, and completes its accepted requests", func() {
		s := newSite(2)
		resp, _, err := s.sendRequest(1, "/stream/x", "k1")
		Expect(err).NotTo(HaveOccurred())
		s.hosts[1].signal(syscall.SIGTERM)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(string(body), "id: ")).To(Equal(12))
		Eventually(func() []string { return s.resolve(0) }).Should(Equal([]string{s.hosts[0].address}))
		Expect(s.readiness(s.hosts[1].ready)).NotTo(Equal(http.StatusOK))
		Expect(s.hosts[1].wait()).To(Succeed())
	})

	It("reports each request's usage once, and a repeated report has the same counts", func() {
		s := newSite(2)
		for i := range 30 {
			Expect(s.request(i%2, "/call/x", "k1").status).To(Equal(http.StatusOK))
		}
		reported := func() int64 {
			total := int64(0)
			for _, reports := range s.record().Reports {
				for _, counts := range reports {
					Expect(counts).To(Equal(reports[0]))
				}
				n, _ := reports[0]["mutual"].Int64()
				total += n
			}
			return total
		}
		Eventually(reported).Should(Equal(int64(30)))
	})

	It("moves a back end to a good version, and rolls a bad one back after few requests", func() {
		s := newSite(2)
		s.control("/add?id=n-1&version=v2")
		Expect(s.moveUnderLoad(15)).To(ContainSubstring("completed"))
		Eventually(func() string { return s.request(0, "/call/x", "k1").header.Get("Dragonflyroute-Response-Signature") }).Should(Equal("signed-by-n-1"))

		s = newSite(2)
		s.control("/add?id=n-1&version=v2&bad=60")
		Expect(s.moveUnderLoad(15)).To(ContainSubstring("rolled_back"))
		seen := s.record()
		Expect(float64(seen.Versions["v2"])).To(BeNumerically("<=", 50+0.1*float64(seen.Versions["v1"]+seen.Versions["v2"])))
	})
})
