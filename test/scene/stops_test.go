package scene_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	stopsHosts   = 3
	stopsCallers = 30
	// stopsSlots is the number of streams that an endpoint runs without becoming slower.
	stopsSlots = 6
	// maxStreamEvents bounds the events of most streams, longStreamFactor is how much longer some are, and maxPauseMillis
	// bounds the pause of an endpoint.
	maxStreamEvents  = 100
	longStreamFactor = 4
	maxPauseMillis   = 1600
	// stopsGrace is the grace period of the hosts.
	stopsGrace = 8 * time.Second
	// lastSixth is the end of the grace period in which an endpoint may still be at work on a request that was sent early in
	// it, and earlyInStop the time in which it was.
	lastSixth   = stopsGrace / 6
	earlyInStop = 3 * time.Second
	// lossSlack is the time within which a request that no endpoint had may cross the close of its connection.
	lossSlack = 200 * time.Millisecond
)

// stopsAnswer is the answer to a request at a host that may have been told to stop meanwhile.
type stopsAnswer struct {
	streamAnswer
	path string
	want int
	// tokens is the limit of generated tokens that the request names.
	tokens  int
	chunked bool
	host    int
	// start counts the starts of the host at the request.
	start int
}

// stops stops the hosts of a site in turn while callers send requests for streams.
type stops struct {
	*site
	seed  uint64
	quiet bool

	mu      sync.Mutex
	answers []stopsAnswer
	// starts counts the starts of each host, and stoppedAt is when each start was told to stop.
	starts    []int
	stoppedAt map[[2]int]time.Time
	ending    bool
	// processes holds all processes of hosts.
	processes []*process
}

// next returns a random request to a random host.
func (k *stops) next(r *rand.Rand) (a stopsAnswer, body io.Reader) {
	a.want = 1 + r.IntN(maxStreamEvents)
	if r.IntN(10) == 0 {
		a.want *= longStreamFactor
	}
	a.path = fmt.Sprintf("/stream/long/x?events=%d&gap=%d&slots=%d", a.want, 10+r.IntN(30), stopsSlots)
	if !k.quiet && r.IntN(3) == 0 {
		a.path += fmt.Sprintf("&pause=%d&after=%d", r.IntN(maxPauseMillis), r.IntN(a.want))
	}
	a.tokens = a.want + r.IntN(a.want)
	a.chunked = r.IntN(2) == 0
	body = bodyOf(0, 0)
	if a.chunked {
		body = bodyOf(1+r.IntN(6), time.Duration(r.IntN(80))*time.Millisecond)
	}
	a.host = r.IntN(len(k.hosts))
	k.mu.Lock()
	defer k.mu.Unlock()
	a.start = k.starts[a.host]
	return a, body
}

func (k *stops) hasEnded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ending
}

// call sends requests until the run ends, each host's on a kept connection.
func (k *stops) call(n int) {
	r := rand.New(rand.NewPCG(k.seed, uint64(n)))
	callers := make([]*keptCaller, len(k.hosts))
	for i, h := range k.hosts {
		callers[i] = newCaller(h.address)
	}
	for !k.hasEnded() {
		a, body := k.next(r)
		a.streamAnswer = callers[a.host].streamOf(a.path, body, a.tokens)
		k.mu.Lock()
		k.answers = append(k.answers, a)
		k.mu.Unlock()
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	}
}

// stopInTurn stops and starts each host in turn.
func (k *stops) stopInTurn() {
	for i, h := range k.hosts {
		time.Sleep(time.Second)
		k.mu.Lock()
		k.stoppedAt[[2]int{i, k.starts[i]}] = time.Now()
		k.mu.Unlock()
		h.signal(syscall.SIGTERM)
		Expect(h.wait()).To(Succeed())
		h.launch(h.address)
		k.processes = append(k.processes, h.process)
		k.mu.Lock()
		k.starts[i]++
		k.mu.Unlock()
		Eventually(func() int { return k.readiness(h.ready) }).Should(Equal(200))
	}
}

// isLost reports whether a host that was told to stop has cut a request without an excuse, and why.
func (k *stops) isLost(a stopsAnswer, runs []streamRun, ran int) (string, bool) {
	if a.isWhole(a.want) || a.err == nil && a.status != 200 {
		return "", false
	}
	stopped, stops := k.stoppedAt[[2]int{a.host, a.start}]
	if ran == 0 && (a.bodySent.IsZero() || a.ended.Sub(a.bodySent) <= lossSlack) || a.ended.Sub(a.sent) >= longDeadline {
		return "", false
	}
	atWork := ""
	for _, run := range runs {
		atWork += fmt.Sprintf(" %s %d to %d of %d for %d ms, complete %v, ended %d ms after the order to stop, idle %v;", run.Endpoint, run.From, run.Last, a.want,
			run.EndMillis-run.StartMillis, run.Complete, run.EndMillis-stopped.UnixMilli(), run.Idle)
		if stops && run.workedAfter(stopped.Add(stopsGrace-lastSixth)) && a.bodySent.Sub(stopped) <= earlyInStop {
			return "", false
		}
	}
	order := "the host was not told to stop"
	if stops {
		order = fmt.Sprintf("sent %v and ended %v after the order to stop", a.sent.Sub(stopped), a.ended.Sub(stopped))
	}
	return fmt.Sprintf("%s %s (chunks %v) to host %d: status %d, %d events, longest gap %v, %s, error %v; at endpoints:%s",
		a.id, a.path, a.chunked, a.host, a.status, len(a.events), a.longest, order, a.err, atWork), true
}

// run runs a seed, and returns the requests that were lost.
func (k *stops) run() (lost []string) {
	k.stoppedAt, k.starts = map[[2]int]time.Time{}, make([]int, len(k.hosts))
	for _, h := range k.hosts {
		k.processes = append(k.processes, h.process)
	}
	k.configure(2, longRoute+onlyRoute(2), `"k1"`)
	for i := range k.hosts {
		Eventually(func() bool { return k.has(i, 2) }).Should(BeTrue())
	}
	var g sync.WaitGroup
	for n := range stopsCallers {
		g.Go(func() { k.call(n) })
	}
	k.stopInTurn()
	k.mu.Lock()
	k.ending = true
	k.mu.Unlock()
	g.Wait()
	seen := k.record()
	whole := 0
	for _, a := range k.answers {
		if a.isWhole(a.want) {
			whole++
		}
		if text, ok := k.isLost(a, seen.Streams[a.id], seen.Runs[a.id]); ok {
			lost = append(lost, text)
			k.printLog(a.id)
		}
	}
	GinkgoWriter.Printf("seed %d: %d requests, %d whole, %d lost\n", k.seed, len(k.answers), whole, len(lost))
	return lost
}

// printLog prints the log lines of all hosts on a request.
func (k *stops) printLog(id string) {
	for n, p := range k.processes {
		for line := range strings.Lines(p.output()) {
			if strings.Contains(line, id) {
				GinkgoWriter.Printf("  process %d: %s", n, line)
			}
		}
	}
}

var _ = Describe("hosts that are stopped in turn beside streams", func() {
	play := func(quiet bool) {
		var lost []string
		first := envInt("STOPS_FIRST", envInt("DRAGONFLYROUTE_SEED", 1))
		for n := range envInt("STOPS_SEEDS", 1) {
			k := &stops{site: newPlatform(), seed: uint64(first + n), quiet: quiet}
			k.grace = stopsGrace
			k.startHosts(stopsHosts)
			lost = append(lost, k.run()...)
		}
		Expect(lost).To(BeEmpty())
	}

	// Guards against requests that a host has passed on, or read whole, and cuts as it stops.
	It("lose none, with bodies in chunks and on kept connections", func() { play(true) })

	// Guards against the same where sound endpoints are silent for a while in between.
	It("lose none, though endpoints are silent for up to 1.6 s", func() { play(false) })
})
