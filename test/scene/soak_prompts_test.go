package scene_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// firstPart is the first part of all prompts.
	firstPart = "5c1e07a2"
	// soundParts is the number of sound shared parts; each is half as frequent as the one before it.
	soundParts = 6
	// promptEndpoints is the number of endpoints of a run in which prompts crash them.
	promptEndpoints = 8
	// crashingCallers and soundCallers are the callers with prompts.
	crashingCallers = 2
	soundCallers    = 3
	// partInterval is the time from one part that begins to crash endpoints to the next, and maxCrashingParts their number
	// in a run with all faults.
	partInterval     = 5 * time.Second
	maxCrashingParts = 2
	// judgedTime is the time without other faults in which the requests with prompts are judged at the end.
	judgedTime = 2*contactTime + 5*time.Second
	// minJudged is the number of requests from which a fraction is judged, and minServed the least fraction of the usual one
	// that must begin to be answered.
	minJudged = 20
	minServed = 0.5
)

// everyHost stands for all hosts in soakPrompts.storeFaults.
const everyHost = -1

// promptMessages are parts of the log messages that tell what hosts know of prompt parts.
var promptMessages = []string{"rompt part", "endpoint crashed"}

// soakPrompts holds the prompt parts of a run that crash endpoints.
type soakPrompts struct {
	mu    sync.Mutex
	parts []string
	// starts holds the time until an added host is in touch, by host.
	starts map[int]period
	// storeFaults holds the times in which a host was cut off from the store, by host; everyHost if the store had a fault.
	storeFaults map[int][]period
	// alone is set in runs whose endpoints have no other faults than being killed, reset and added.
	alone   bool
	summary string
}

// promptFaults returns the faults of a run in which prompts crash endpoints. Faults that hide crashes are left out.
func (k *soak) promptFaults() []func() {
	return []func(){
		k.killHost, k.killHost, k.killAll, k.suspendHost, k.stopHost, k.stopSeveral, k.addHostFault, k.peerLink, k.peerLink,
		k.storeLink, k.storeLink, k.storeDown, k.storeLosesResponses, k.compactStore, k.changeConfiguration,
		k.killEndpoint, k.killEndpoint, k.endpointReset, k.addEndpointFault, k.addEndpointFault,
	}
}

// startPrompts starts a run in which one prompt part after the other begins to crash endpoints.
func (k *soak) startPrompts() {
	k.prompts.alone = true
	for len(k.endpoints) < promptEndpoints {
		k.addEndpoint()
	}
	k.startPromptCallers()
	k.addNextPart()
}

func (k *soak) startPromptCallers() {
	for range crashingCallers {
		k.startCaller((*soakCaller).sendCrashing)
	}
	for range soundCallers {
		k.startCaller((*soakCaller).sendSound)
	}
}

// addNextPart adds a part now and more of them later.
func (k *soak) addNextPart() {
	k.addPart()
	k.reverts = append(k.reverts, soakRevert{due: time.Now().Add(partInterval), early: func() bool { return k.ending }, revert: func() {
		if !k.ending {
			k.addNextPart()
		}
	}})
}

// addCrashingPart is the fault that a prompt part begins to crash endpoints.
func (k *soak) addCrashingPart() {
	if len(k.prompts.parts) < maxCrashingParts {
		k.addPart()
	}
}

func (k *soak) addPart() {
	part := fmt.Sprintf("bad%05x", len(k.prompts.parts)+1)
	k.logFault("prompt part %s crashes endpoints", part)
	k.control("/poison?part=" + part)
	k.prompts.mu.Lock()
	defer k.prompts.mu.Unlock()
	k.prompts.parts = append(k.prompts.parts, part)
}

// randomPart returns a part that crashes endpoints, empty if there is none.
func (p *soakPrompts) randomPart(r *rand.Rand) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.parts) == 0 {
		return ""
	}
	return p.parts[r.IntN(len(p.parts))]
}

func soundPart(n int) string { return fmt.Sprintf("50a0d%03x", n) }

// sendCrashing sends a request whose prompt crashes endpoints to a random host.
func (c *soakCaller) sendCrashing() {
	if part := c.soak.prompts.randomPart(c.rand); part != "" {
		c.sendPrompt(part, true)
	}
}

// sendSound sends a request with a sound prompt to a random host.
func (c *soakCaller) sendSound() {
	n := 0
	for n < soundParts-1 && c.rand.IntN(2) == 0 {
		n++
	}
	c.sendPrompt(soundPart(n), false)
}

func (c *soakCaller) sendPrompt(part string, crashing bool) {
	host, to := c.soak.randomCallerLink(c.rand)
	a := c.newAnswer(host)
	a.part, a.crashing = part, crashing
	c.soak.checker.requestSent(a.id, false, host)
	c.send(a, to, "/stream/x")
}

// waitPrompts lets the requests with prompts go on without other faults, so that they can be judged.
func (k *soak) waitPrompts() {
	if len(k.prompts.parts) > 0 {
		k.pause(judgedTime)
	}
}

// checkSoundParts checks that every host serves requests with each sound part again.
func (k *soak) checkSoundParts() {
	if k.callerCount <= soakCallers {
		return
	}
	c := &soakCaller{soak: k, index: k.callerCount, rand: k.rand, client: http.DefaultClient}
	for i, to := range k.callerLinks {
		for n := range soundParts {
			Eventually(func() int {
				a := c.newAnswer(i)
				a.part = soundPart(n)
				k.checker.requestSent(a.id, false, i)
				c.send(a, to, "/stream/x")
				return a.status
			}).WithTimeout(soakRecovery).Should(Equal(http.StatusOK), "host %d, part %s", i, soundPart(n))
		}
	}
}

// crashedWithin reports whether a prompt crashed an endpoint in some time.
func (r siteRecord) crashedWithin(from, to time.Time) bool {
	for _, e := range r.Crashes {
		if e.Crashed && !e.at().Before(from.Truncate(time.Millisecond)) && !e.at().After(to) {
			return true
		}
	}
	return false
}

// partRecord is what endpoints and callers have recorded of one part that crashes endpoints.
type partRecord struct {
	part     string
	arrivals []crashEvent
	crashes  []time.Time
	// lastSent is when the last request with the part was sent.
	lastSent time.Time
}

// partRecord returns the record of a part. Crashes behind a faulty link do not count, as no host sees them.
func (k *soak) partRecord(part string, events []crashEvent) partRecord {
	p := partRecord{part: part}
	for _, e := range events {
		switch {
		case e.Part != part:
		case !e.Crashed:
			p.arrivals = append(p.arrivals, e)
		case !within(e.at(), k.checker.endpointFaults[e.Endpoint]):
			p.crashes = append(p.crashes, e.at())
		}
	}
	for _, a := range k.checker.streams {
		if a.part == part && a.sent.After(p.lastSent) {
			p.lastSent = a.sent
		}
	}
	return p
}

// inTouch reports whether a host had no fault for contactTime before a time.
func (k *soak) inTouch(host int, at time.Time) bool {
	return !within(at, k.checker.hostFaults[host]) && !within(at, []period{k.prompts.starts[host]})
}

// storeFault records that hosts are cut off from the store from now until contactTime after the call of the returned function.
func (k *soak) storeFault(host int) (ended func()) {
	from := time.Now()
	return func() {
		k.prompts.storeFaults[host] = append(k.prompts.storeFaults[host], period{from: from, to: time.Now().Add(contactTime)})
	}
}

// checkPrompts checks the guarantees for each part that crashed endpoints.
func (k *soak) checkPrompts(seen siteRecord) {
	var all []partRecord
	for _, part := range k.prompts.parts {
		all = append(all, k.partRecord(part, seen.Crashes))
	}
	for _, p := range all {
		late := k.checkLateArrivals(p)
		sound, served := k.checkSoundRequests(p, all)
		k.prompts.summary += fmt.Sprintf(", part %s: %d crashes, %d late requests, %d of %d sound ones served", p.part, len(p.crashes), late, served, sound)
	}
}

// checkLateArrivals checks that hosts in touch send hardly any request with a part from contactTime after its fifth crash
// on, and returns the number that they did.
func (k *soak) checkLateArrivals(p partRecord) int {
	if len(p.crashes) < countedCrashes {
		return 0
	}
	due := p.crashes[countedCrashes-1].Add(contactTime)
	ids := ""
	n := 0
	for _, e := range p.arrivals {
		if host, ok := k.checker.hostOf[e.Request]; ok && e.at().After(due) && k.inTouch(host, e.at()) {
			n++
			ids += " " + e.Request
		}
	}
	if n > maxCrashingRequests {
		k.checker.addViolation("%d requests with part %s, whose fifth crash was at %s, reached endpoints from %s on:%s", n, p.part, p.crashes[countedCrashes-1].Format("15:04:05.000"), due.Format("15:04:05.000"), ids)
	}
	return n
}

// checkSoundRequests checks that sound requests begin to be answered at hosts in touch while requests with a part go on,
// from twice contactTime after the part's fifth or last crash on: compared with streams without a prompt, and, while nothing
// else is amiss, by itself. It returns the number of the latter and how many of them did.
func (k *soak) checkSoundRequests(p partRecord, all []partRecord) (sound, served int) {
	var plain, prompts, calm tally
	for _, a := range k.checker.streams {
		if a.crashing || a.disturbed || a.stopped || a.sent.Before(p.settled()) || a.sent.After(p.lastSent) || !k.inTouch(a.host, a.sent) {
			continue
		}
		if a.part == "" {
			plain.add(a)
			continue
		}
		prompts.add(a)
		if k.calm(a.host, a.sent, all) {
			calm.add(a)
		}
	}
	if prompts.below(plain.fraction()) {
		k.checker.addViolation("%d of %d sound requests were served while those with part %s went on, of others %.2f", prompts.served, prompts.sent, p.part, plain.fraction())
	}
	if k.prompts.alone && calm.below(1) {
		k.checker.addViolation("%d of %d sound requests were served in calm times while those with part %s went on", calm.served, calm.sent, p.part)
	}
	return calm.sent, calm.served
}

// calm reports whether the store has no fault for a host, and no part has just begun to crash endpoints.
func (k *soak) calm(host int, at time.Time, all []partRecord) bool {
	for _, p := range all {
		if len(p.crashes) > 0 && !at.Before(p.crashes[0]) && at.Before(p.settled()) {
			return false
		}
	}
	return !within(at, k.prompts.storeFaults[host]) && !within(at, k.prompts.storeFaults[everyHost])
}

// settled returns the time from which sound requests must be served although those with the part go on.
func (p partRecord) settled() time.Time {
	if len(p.crashes) == 0 {
		return p.lastSent
	}
	return p.crashes[min(len(p.crashes), countedCrashes)-1].Add(2 * contactTime)
}

// tally counts requests and those that began to be answered.
type tally struct{ sent, served int }

func (t *tally) add(a *soakAnswer) {
	t.sent++
	if len(a.events) > 0 {
		t.served++
	}
}

// fraction returns the fraction that began to be answered, 1 if there were too few requests.
func (t *tally) fraction() float64 {
	if t.sent < minJudged {
		return 1
	}
	return float64(t.served) / float64(t.sent)
}

// below reports whether less than minServed of the usual fraction began to be answered.
func (t *tally) below(usual float64) bool { return t.fraction() < minServed*usual }

var _ = Describe("the soak's checker of prompts that crash endpoints", func() {
	It("finds requests that reach endpoints late, and sound ones that are refused", func() {
		k := &soak{checker: newChecker()}
		k.checker.addHost()
		k.prompts.parts, k.prompts.alone = []string{"bad"}, true
		start := time.Now()
		seen := siteRecord{}
		for n := range 12 {
			id := fmt.Sprint(n)
			k.checker.hostOf[id] = 0
			at := start.Add(time.Duration(n) * time.Second)
			seen.Crashes = append(seen.Crashes,
				crashEvent{AtMillis: at.UnixMilli(), Part: "bad", Request: id}, crashEvent{AtMillis: at.UnixMilli(), Part: "bad", Request: id, Crashed: true})
			k.checker.streams = append(k.checker.streams, &soakAnswer{part: "bad", crashing: true, sent: at})
		}
		for range minJudged {
			k.checker.streams = append(k.checker.streams, &soakAnswer{part: soundPart(0), status: http.StatusServiceUnavailable, sent: start.Add(11 * time.Second)})
		}
		k.checkPrompts(seen)
		Expect(k.checker.violations).To(ConsistOf(ContainSubstring("4 requests with part bad"), ContainSubstring("of others 1.00"), ContainSubstring("in calm times")))
		k.checker.violations = nil
		k.checker.hostFaults[0] = []period{{from: start, to: start.Add(time.Minute)}}
		k.checkPrompts(seen)
		Expect(k.checker.violations).To(BeEmpty())
	})
})
