package scene_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

const (
	soakHosts     = 3
	soakEndpoints = 4
	soakCallers   = 10
	// soakDuration is the default time with faults of one seed.
	soakDuration = 8 * time.Second
	// soakRecovery is the time limit for full recovery after the last fault.
	soakRecovery = 15 * time.Second
	// requestTimeout is the deadline of the callers' requests, and answerSlack the tolerance for the response.
	requestTimeout = 3 * time.Second
	answerSlack    = 5 * time.Second
	// minPause and maxPause bound the pause between the starts of two faults.
	minPause = 100 * time.Millisecond
	maxPause = 900 * time.Millisecond
)

// soakCase is the configuration of one soak run.
type soakCase struct {
	seed  uint64
	hosts int
	// length is the time with faults.
	length time.Duration
	// limitsOnly selects the faults of runs in which endpoints limit their requests.
	limitsOnly bool
}

// soakCases are runs that have failed before.
var soakCases = []soakCase{
	// The stored reports of usage windows were deleted too early, so that a new holder of the duties' lease counted the
	// windows again.
	{seed: 3, hosts: 4, length: 10 * time.Second},
}

// soak injects random faults into a site while callers send requests.
type soak struct {
	*site
	rand *rand.Rand
	// callerLinks are the links from callers to hosts, storeLinks those from hosts to the platform, both by host.
	callerLinks, storeLinks []*link
	// mu guards callerLinks, which callers read while hosts are added.
	mu sync.Mutex
	// endpointLinks are the links from hosts to the endpoints, by endpoint id.
	endpointLinks  map[string]*link
	endpoints      []string
	endpointsAdded int
	hostsAdded     int
	limitsOnly     bool
	// limitSummary describes the request limits that endpoints named.
	limitSummary string
	// version is the version of the latest configuration, and key the API key that it adds.
	version int
	key     string
	checker *checker
	// stopped holds the hosts that are suspended, killed or shutting down.
	stopped map[int]bool
	// stoppedAt is when each host was last suspended, killed or told to shut down.
	stoppedAt map[int]time.Time
	// processes holds all host processes, including those that have exited.
	processes []*process
	// reverts are the pending ends of faults.
	reverts  []soakRevert
	faultLog []string
}

// soakRevert ends a fault at its due time.
type soakRevert struct {
	due    time.Time
	revert func()
}

func envInt(name string, fallback int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return n
}

func newSoak(seed uint64, hosts int) *soak {
	k := &soak{site: &site{linkPeers: true}, rand: rand.New(rand.NewPCG(seed, 1)), endpointLinks: map[string]*link{}, stopped: map[int]bool{}, stoppedAt: map[int]time.Time{}}
	address := freeAddress()
	k.platform = start("standin", address, "site", "--listen", address, "--endpoints", "0")
	Eventually(func() error { return ping(address + "/seen") }).Should(Succeed())
	k.checker = newChecker()
	for range hosts {
		k.addHost()
	}
	k.putNextConfiguration()
	for range soakEndpoints {
		k.addEndpoint()
	}
	k.waitRecovered()
	return k
}

// addHost starts one more host, with links from callers and to the platform.
func (k *soak) addHost() {
	i := len(k.hosts)
	k.storeLinks = append(k.storeLinks, newLink(k.platform.address))
	k.startHostVia(i, k.storeLinks[i].address)
	k.processes = append(k.processes, k.hosts[i].process)
	k.checker.addHost()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.callerLinks = append(k.callerLinks, newLink(k.hosts[i].address))
}

// randomCallerLink returns a random host and the link of callers to it.
func (k *soak) randomCallerLink(r *rand.Rand) (host int, l *link) {
	k.mu.Lock()
	defer k.mu.Unlock()
	host = r.IntN(len(k.callerLinks))
	return host, k.callerLinks[host]
}

// putNextConfiguration stores the next configuration, with a key and a route that no other one has.
func (k *soak) putNextConfiguration() {
	k.version++
	k.key = fmt.Sprintf("key-%d", k.version)
	route := fmt.Sprintf(`,{"name":"only-%d","host":"plans.example","prefix":"/only-%d/","kind":"idempotent","timeoutMs":8000,"service":"plume","maxAttempts":2,"public":true}`, k.version, k.version)
	k.configure(k.version, route, strconv.Quote(k.key)+`,"always"`)
	k.checker.configured(k.version)
}

func (k *soak) addEndpoint() {
	k.endpointsAdded++
	id := fmt.Sprintf("i-%d", k.endpointsAdded)
	listen := freeAddress()
	l := newLink(listen)
	k.endpointLinks[id] = l
	k.endpoints = append(k.endpoints, id)
	k.control(fmt.Sprintf("/add?id=%s&version=v1&listen=%s&via=%s", id, listen, l.address))
}

// waitRecovered waits until every host is ready, resolves all hosts and serves the latest configuration.
func (k *soak) waitRecovered() {
	deadline := time.Now().Add(soakRecovery)
	remaining := func() time.Duration { return max(time.Second, time.Until(deadline)) }
	for i, h := range k.hosts {
		Eventually(func() int { return k.readiness(h.ready) }).WithTimeout(remaining()).Should(Equal(http.StatusOK), "host %d", i)
		Eventually(func() []string { return k.resolve(i) }).WithTimeout(remaining()).Should(HaveLen(len(k.hosts)), "host %d", i)
		Eventually(func() int { return k.request(i, fmt.Sprintf("/only-%d/x", k.version), "").status }).WithTimeout(remaining()).Should(Equal(http.StatusOK), "host %d", i)
	}
}

// run runs faults and callers for the given time, then ends all faults.
func (k *soak) run(length time.Duration) {
	ctx, stop := context.WithCancel(context.Background())
	var callers errgroup.Group
	for n := range soakCallers {
		c := &soakCaller{soak: k, index: n, rand: rand.New(rand.NewPCG(uint64(n), k.rand.Uint64()))}
		callers.Go(func() error { return c.run(ctx) })
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		k.revertDue(time.Now())
		k.startFault()
		time.Sleep(minPause + time.Duration(k.rand.Int64N(int64(maxPause-minPause))))
	}
	for len(k.reverts) > 0 {
		k.revertDue(time.Now())
		time.Sleep(minPause)
	}
	stop()
	Expect(callers.Wait()).To(Succeed())
}

// revertDue ends the faults that are due.
func (k *soak) revertDue(now time.Time) {
	var remaining []soakRevert
	for _, r := range k.reverts {
		if now.Before(r.due) {
			remaining = append(remaining, r)
			continue
		}
		r.revert()
	}
	k.reverts = remaining
}

func (k *soak) logFault(format string, args ...any) {
	k.faultLog = append(k.faultLog, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (c soakCase) run() {
	k := newSoak(c.seed, c.hosts)
	k.limitsOnly = c.limitsOnly
	passed := false
	defer func() {
		if !passed {
			k.printFailure(c.seed)
		}
	}()
	k.run(c.length)
	k.waitRecovered()
	Expect(k.check()).To(BeEmpty(), "seed %d", c.seed)
	passed = true
}

var _ = Describe("the fault soak", func() {
	runSeeds := func(limitsOnly bool) {
		first := envInt("SOAK_FIRST", envInt("DRAGONFLYROUTE_SEED", 1))
		hosts := envInt("SOAK_HOSTS", soakHosts)
		length := time.Duration(envInt("SOAK_SECONDS", int(soakDuration.Seconds()))) * time.Second
		for n := range envInt("SOAK_SEEDS", 1) {
			By(fmt.Sprintf("seed %d", first+n))
			soakCase{seed: uint64(first + n), hosts: hosts, length: length, limitsOnly: limitsOnly}.run()
		}
	}

	It("keeps the guarantees to callers and endpoints under random faults", func() { runSeeds(false) })

	// Guards against request limits that are kept only while all hosts run and agree on who they are.
	It("keeps the request limits of endpoints while hosts are killed, suspended, cut off and added", func() { runSeeds(true) })

	It("keeps them in the cases that have failed before", func() {
		for _, c := range soakCases {
			c.run()
		}
	})
})
