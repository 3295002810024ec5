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
	// revertInterval is the time between checks for faults that are due to end.
	revertInterval = 20 * time.Millisecond
)

// soakCase is the configuration of one soak run.
type soakCase struct {
	seed  uint64
	hosts int
	// length is the time with faults.
	length time.Duration
	// faults returns the faults of the run.
	faults func(*soak) []func()
	// cold makes endpoints cold after their start, and puts them in two data centres.
	cold bool
	// first starts what every run of the kind must play; nil starts nothing.
	first func(*soak)
}

// soakCases are runs that have failed before.
var soakCases = []soakCase{
	// The stored reports of usage windows were deleted too early, so that a new holder of the duties' lease counted the
	// windows again.
	{seed: 3, hosts: 4, length: 10 * time.Second, faults: (*soak).oldFaults},
}

// soak injects random faults into a site while callers send requests.
type soak struct {
	*site
	rand *rand.Rand
	// callerLinks are the links from callers to hosts, storeLinks those from hosts to the platform, both by host.
	callerLinks, storeLinks []*link
	// mu guards callerLinks, which callers read while hosts are added.
	mu sync.Mutex
	// callers runs the callers until callersContext ends, and callerCount is their number.
	callers        errgroup.Group
	callersContext context.Context
	callerCount    int
	// prompts holds the prompt parts that crash endpoints.
	prompts soakPrompts
	// endpointLinks are the links from hosts to the endpoints, by endpoint id.
	endpointLinks  map[string]*link
	endpoints      []string
	endpointsAdded int
	hostsAdded     int
	// limitSummary describes the request limits that endpoints named.
	limitSummary string
	// coldSummary tells how many requests reached cold endpoints and evacuated data centres.
	coldSummary string
	// version is the version of the latest configuration, and key the API key that it adds.
	version int
	key     string
	checker *checker
	// stopped holds the hosts that are suspended, killed or shutting down.
	stopped map[int]bool
	// stoppedAt is when each host was last suspended, killed or told to shut down.
	stoppedAt map[int]time.Time
	// killed holds the hosts whose process was killed and has not been started again.
	killed map[int]bool
	// settings are the valid settings of each host that were written last.
	settings []string
	// processes holds all host processes, including those that have exited.
	processes []*process
	// reverts are the pending ends of faults.
	reverts []soakRevert
	// evacuated is the data centre that is evacuated, empty for none.
	evacuated string
	// storeAway is set while the store is away before a restore.
	storeAway bool
	// ending is set once no more faults are started.
	ending   bool
	faultLog []string
}

// soakRevert ends a fault, or goes on with it, at its due time.
type soakRevert struct {
	due time.Time
	// early reports whether the time has come before that; nil means that it has not.
	early  func() bool
	revert func()
}

func envInt(name string, fallback int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return n
}

func newSoak(c soakCase) *soak {
	k := &soak{site: newPlatform("--endpoints", "0"), rand: rand.New(rand.NewPCG(c.seed, 1)), endpointLinks: map[string]*link{}, stopped: map[int]bool{}, stoppedAt: map[int]time.Time{}, killed: map[int]bool{}, prompts: soakPrompts{starts: map[int]period{}, storeFaults: map[int][]period{}}}
	k.linkPeers = true
	k.checker = newChecker()
	if c.cold {
		k.haveCold()
	}
	for range c.hosts {
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
	k.readSettings(i)
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
	k.configure(k.version, onlyRoute(k.version), strconv.Quote(k.key)+`,"always"`)
	k.checker.configured(k.version)
}

func (k *soak) addEndpoint() {
	k.endpointsAdded++
	id := fmt.Sprintf("i-%d", k.endpointsAdded)
	listen := freeAddress()
	l := newRefusingLink(listen)
	k.endpointLinks[id] = l
	k.endpoints = append(k.endpoints, id)
	k.control(fmt.Sprintf("/add?id=%s&version=v1&listen=%s&via=%s&zone=%s", id, listen, l.address, k.nextZone()))
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

// run runs the faults of a case while callers send requests, then ends all faults.
func (k *soak) run(c soakCase) {
	ctx, stop := context.WithCancel(context.Background())
	k.callersContext = ctx
	for range soakCallers {
		k.startCaller((*soakCaller).sendOne)
	}
	if c.first != nil {
		c.first(k)
	}
	faults := c.faults(k)
	for end := time.Now().Add(c.length); time.Now().Before(end); {
		faults[k.rand.IntN(len(faults))]()
		k.pause(minPause + time.Duration(k.rand.Int64N(int64(maxPause-minPause))))
	}
	for k.ending = true; len(k.reverts) > 0; {
		k.pause(revertInterval)
	}
	k.waitPrompts()
	stop()
	Expect(k.callers.Wait()).To(Succeed())
}

// startCaller starts one more caller, which sends requests with next.
func (k *soak) startCaller(next func(*soakCaller)) {
	caller := &soakCaller{soak: k, index: k.callerCount, rand: rand.New(rand.NewPCG(uint64(k.callerCount), k.rand.Uint64()))}
	caller.next = func() { next(caller) }
	k.callerCount++
	k.callers.Go(func() error { return caller.run(k.callersContext) })
}

// pause ends the faults that become due in some time, and checks that no process has ended by itself.
func (k *soak) pause(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(revertInterval) {
		k.revertDue(time.Now())
		k.checkProcesses()
	}
}

// revertDue ends the faults that are due. What they schedule is kept for later.
func (k *soak) revertDue(now time.Time) {
	all := k.reverts
	k.reverts = nil
	for _, r := range all {
		if now.Before(r.due) && (r.early == nil || !r.early()) {
			k.reverts = append(k.reverts, r)
			continue
		}
		r.revert()
	}
}

func (k *soak) logFault(format string, args ...any) {
	k.faultLog = append(k.faultLog, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (c soakCase) run() {
	k := newSoak(c)
	passed := false
	defer func() {
		if !passed {
			k.printFailure(c.seed)
		}
	}()
	k.run(c)
	k.waitRecovered()
	k.checkReporter()
	k.checkSettings()
	k.checkSoundParts()
	Expect(k.check()).To(BeEmpty(), "seed %d", c.seed)
	passed = true
}

var _ = Describe("the fault soak", func() {
	runSeeds := func(c soakCase) {
		first := envInt("SOAK_FIRST", envInt("DRAGONFLYROUTE_SEED", 1))
		c.hosts = envInt("SOAK_HOSTS", soakHosts)
		c.length = time.Duration(envInt("SOAK_SECONDS", int(soakDuration.Seconds()))) * time.Second
		for n := range envInt("SOAK_SEEDS", 1) {
			By(fmt.Sprintf("seed %d", first+n))
			c.seed = uint64(first + n)
			c.run()
		}
	}

	// Guards against signals, stops, restarts and other faults that each are handled, and together are not.
	It("keeps the guarantees to callers and endpoints under random faults", func() {
		runSeeds(soakCase{faults: (*soak).allFaults, first: (*soak).startAll})
	})

	// Guards against request limits that are kept only while all hosts run and agree on who they are.
	It("keeps the request limits of endpoints while hosts are killed, suspended, cut off and added", func() { runSeeds(soakCase{faults: (*soak).limitFaults}) })

	// Guards against prompts that crash one endpoint after the other, and against sound ones that are refused with them,
	// while hosts come and go.
	It("keeps prompts that crash endpoints from them, and serves the others, while hosts and endpoints come and go", func() {
		runSeeds(soakCase{faults: (*soak).promptFaults, first: (*soak).startPrompts})
	})

	// Guards against versions, leases and counts of an earlier era that hosts go by after a restore.
	It("keeps its promises while the store comes back from copies", func() {
		runSeeds(soakCase{faults: (*soak).restoreFaults, first: (*soak).restoreWhileAbsent})
	})

	// Guards against views of endpoints and of the operator's table that go back or stay behind on some hosts.
	It("keeps cold endpoints from too many requests, and evacuated data centres from all, while hosts and endpoints come and go", func() {
		runSeeds(soakCase{cold: true, faults: (*soak).coldFaults, first: (*soak).evacuateFault})
	})

	It("keeps them in the cases that have failed before", func() {
		for _, c := range soakCases {
			c.run()
		}
	})
})
