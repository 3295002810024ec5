package scene_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// disturbance is something that happens to the system for a time. begin starts it and returns the function that ends it.
type disturbance struct {
	name  string
	lasts time.Duration
	// allOut is set if all hosts are out of touch until siteContact after its end. Others put single hosts out, or none.
	allOut bool
	begin  func(p *pair) (end func())
}

// event is an ordinary thing that happens once.
type event struct {
	name string
	run  func(p *pair)
}

// storeFault returns a disturbance of the whole store.
func storeFault(name, fault string, lasts time.Duration) disturbance {
	return disturbance{name: fmt.Sprintf("store %s %v", name, lasts), lasts: lasts, allOut: true, begin: func(p *pair) func() {
		p.control("/fault?" + fault)
		return func() { p.control("/fault") }
	}}
}

// linkCut holds back all bytes on a link in both directions.
var linkCut = linkFault{stallToTarget: true, stallFromTarget: true}

// oddRowsLast is how long another writer goes on writing rows under the ids of endpoints, and oddRowInterval the time between
// two of them.
const (
	oddRowsLast    = 1500 * time.Millisecond
	oddRowInterval = 200 * time.Millisecond
)

// oddRows returns a disturbance by rows that another writer writes under the ids of all endpoints. A %q in the value stands for
// the endpoint's address.
func oddRows(name, value string) disturbance {
	return disturbance{name: "odd rows: " + name, lasts: oddRowsLast, begin: func(p *pair) func() {
		var g errgroup.Group
		until := time.Now().Add(oddRowsLast)
		g.Go(func() error {
			for ; time.Now().Before(until); time.Sleep(oddRowInterval) {
				for id, l := range p.endpointLinks {
					p.putRow("servers", id, strings.Replace(value, "%q", strconv.Quote(l.address), 1))
				}
			}
			return nil
		})
		return func() { _ = g.Wait() }
	}}
}

// restart starts a host again that was killed.
func (p *pair) restart(host int) {
	h := p.hosts[host]
	_ = h.wait()
	h.launch(h.address)
	Eventually(func() error { return ping(h.ready + "/ready") }).Should(Succeed())
	p.out[host] = time.Now()
}

// disturbances are the disturbances that are played.
var disturbances = []disturbance{
	storeFault("silent for", "silent", 700*time.Millisecond),
	storeFault("silent for", "silent", 2500*time.Millisecond),
	storeFault("silent for", "silent", 5500*time.Millisecond),
	storeFault("down for", "down", 2500*time.Millisecond),
	storeFault("loses responses for", "lost", 2500*time.Millisecond),
	{name: "store compacts its history", allOut: true, begin: func(p *pair) func() {
		p.control("/fault?compact")
		return func() {}
	}},
	{name: "all long polls for the configuration lost", allOut: true, begin: func(p *pair) func() {
		p.control("/fault?mute=op")
		return func() {}
	}},
	{name: "one host cut from the store 2.5s", lasts: 2500 * time.Millisecond, begin: func(p *pair) func() {
		p.storeLinks[0].setFault(linkCut)
		return func() {
			p.storeLinks[0].setFault(linkFault{})
			p.out[0] = time.Now()
		}
	}},
	{name: "connections of hosts to the store reset", allOut: true, begin: func(p *pair) func() {
		for _, l := range p.storeLinks {
			l.reset()
		}
		return func() {}
	}},
	{name: "endpoints silent for 1.2s", lasts: 1200 * time.Millisecond, begin: func(p *pair) func() {
		p.control("/silence?ms=1200")
		return func() {}
	}},
	{name: "endpoints silent for 1.5s", lasts: 1500 * time.Millisecond, begin: func(p *pair) func() {
		p.control("/silence?ms=1500")
		return func() {}
	}},
	{name: "one endpoint cut 2.5s", lasts: 2500 * time.Millisecond, begin: func(p *pair) func() {
		p.endpointsBroken = true
		p.endpointLinks["i-0"].setFault(linkCut)
		return func() { p.endpointLinks["i-0"].setFault(linkFault{}) }
	}},
	{name: "one endpoint killed", begin: func(p *pair) func() {
		p.endpointsBroken = true
		p.endpointLinks["i-0"].reset()
		p.control("/kill?id=i-0")
		return func() {}
	}},
	{name: "one host suspended 1.5s", lasts: 1500 * time.Millisecond, begin: func(p *pair) func() {
		suspend(p.hosts[0].process)
		p.out[0] = time.Now().Add(time.Hour)
		return func() {
			resume(p.hosts[0].process)
			p.out[0] = time.Now()
		}
	}},
	{name: "one host killed", lasts: time.Second, begin: func(p *pair) func() {
		p.out[0] = time.Now().Add(time.Hour)
		p.hosts[0].signal(os.Kill)
		return func() { p.restart(0) }
	}},
	oddRows("no JSON", "?"),
	oddRows("another type", `{"service":"plume","address":%q,"zone":"here","version":7,"slots":8,"state":"ready","coldRemainingMs":0,"sequence":1}`),
	oddRows("fields missing", `{"service":"plume","address":%q,"state":"ready"}`),
}

// events are the ordinary events that are played.
var events = []event{
	{"route added", func(p *pair) { p.putKeys(p.keys...) }},
	{"key given", func(p *pair) { p.putKeys(append(p.keys, p.added)...) }},
	{"key taken", func(p *pair) { p.putKeys("k1") }},
	{"endpoint drains", func(p *pair) {
		p.control("/drain?id=i-1")
		p.drainedAt["i-1"] = time.Now()
	}},
	{"endpoint leaves", func(p *pair) {
		p.endpointsBroken = true
		p.control("/drain?id=i-2")
		p.control("/kill?id=i-2")
	}},
	{"endpoint joins", func(p *pair) { p.addEndpoint("i-new") }},
	{"host stops", func(p *pair) {
		p.stopped[1] = time.Now()
		p.hosts[1].signal(syscall.SIGTERM)
	}},
	{"hosts get SIGHUP", func(p *pair) {
		for i, h := range p.hosts {
			if p.stopped[i].IsZero() {
				h.signal(syscall.SIGHUP)
			}
		}
	}},
	{"nothing", func(*pair) {}},
}

// pairCase is a pair with the offset of its event.
type pairCase struct {
	disturbance disturbance
	event       event
	offset      time.Duration
	seed        uint64
}

func (c pairCase) name() string {
	return fmt.Sprintf("%s x %s at %+v", c.disturbance.name, c.event.name, c.offset)
}

// pairsInCI is the number of pairs that are played without SOAK_PAIRS.
const pairsInCI = 6

// pairsToPlay returns all pairs whose names contain SOAK_PAIRS, or every n-th of them with PAIRS_OF=n and PAIRS_FIRST, and a
// few that the seed draws without it.
func pairsToPlay() (all []pairCase) {
	for _, d := range disturbances {
		for _, e := range events {
			for _, offset := range pairOffsets {
				if d.allOut && d.lasts+offset < 0 {
					continue
				}
				all = append(all, pairCase{disturbance: d, event: e, offset: offset, seed: uint64(len(all))})
			}
		}
	}
	want, byHand := os.LookupEnv("SOAK_PAIRS")
	if !byHand {
		r := rand.New(rand.NewPCG(uint64(envInt("DRAGONFLYROUTE_SEED", 1)), 3))
		r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		return all[:pairsInCI]
	}
	var chosen []pairCase
	for n, c := range all {
		if n%envInt("PAIRS_OF", 1) == envInt("PAIRS_FIRST", 0) && strings.Contains(c.name(), want) {
			chosen = append(chosen, c)
		}
	}
	return chosen
}
