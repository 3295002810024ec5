package scene_test

import (
	"fmt"
	"time"
)

const (
	// minLimitTime and maxLimitTime bound the time for which an endpoint names a limit before it changes or ends.
	minLimitTime = 4 * time.Second
	maxLimitTime = 9 * time.Second
	// maxAddedHosts bounds the hosts that a run adds.
	maxAddedHosts = 2
)

// period is a time with a fault.
type period struct{ from, to time.Time }

// excuseHost records that a host was suspended, killed or cut off since a time. It counts again once it had time to hear
// from the others.
func (c *checker) excuseHost(host int, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hostFaults[host] = append(c.hostFaults[host], period{from: since, to: time.Now().Add(limitNotice)})
}

// excuseEndpoint records that the connections to an endpoint were faulty since a time. Requests that were held up arrive
// together afterwards.
func (c *checker) excuseEndpoint(id string, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpointFaults[id] = append(c.endpointFaults[id], period{from: since, to: time.Now().Add(limitWindow)})
}

func within(at time.Time, periods []period) bool {
	for _, p := range periods {
		if !at.Before(p.from) && !at.After(p.to) {
			return true
		}
	}
	return false
}

// limitEndpoint makes an endpoint name a request limit, which changes or ends later.
func (k *soak) limitEndpoint() {
	k.setLimit(k.endpoints[k.rand.IntN(len(k.endpoints))])
}

func (k *soak) setLimit(id string) {
	limit := []string{"0", "0.4", "1", "2", "4"}[k.rand.IntN(5)]
	k.logFault("endpoint %s limits its requests to %s a second", id, limit)
	k.control("/trouble?id=" + id + "&limit=" + limit)
	due := time.Now().Add(minLimitTime + time.Duration(k.rand.Int64N(int64(maxLimitTime-minLimitTime))))
	k.reverts = append(k.reverts, soakRevert{due: due, revert: func() {
		if k.rand.IntN(2) == 0 && !k.ending {
			k.setLimit(id)
			return
		}
		k.logFault("endpoint %s no longer limits its requests", id)
		k.control("/trouble?id=" + id)
	}})
}

// peerLink cuts or delays the connections of the other hosts to one host.
func (k *soak) peerLink() {
	i := k.rand.IntN(len(k.hosts))
	f := k.randomLinkFault()
	k.logFault("other hosts to host %d: %+v", i, f)
	k.hosts[i].peerLink.setFault(f)
	if k.rand.IntN(2) == 0 {
		k.hosts[i].peerLink.reset()
	}
	started := time.Now()
	k.revertLater(func() {
		k.hosts[i].peerLink.setFault(linkFault{})
		k.checker.excuseHost(i, started)
	})
}

func (k *soak) addHostFault() {
	if k.hostsAdded >= maxAddedHosts {
		return
	}
	k.hostsAdded++
	i, added := len(k.hosts), time.Now()
	k.logFault("host %d added", i)
	k.addHost()
	k.prompts.starts[i] = period{from: added, to: time.Now().Add(contactTime)}
}

// checkLimits checks that no endpoint got more requests than its limit allows from the hosts that it had told, without
// those with a fault.
func (k *soak) checkLimits(seen siteRecord) {
	limited := 0
	for id, events := range seen.Limits {
		told := map[int]time.Time{}
		excess := maxExcess(events, func(e limitEvent) bool { return k.checker.counts(id, e, told) })
		if excess > 0 {
			k.checker.addViolation("endpoint %s got %.1f requests more than its limit allows in %s", id, excess, limitWindow)
		}
		limited += len(events)
	}
	k.limitSummary = fmt.Sprintf("%d limited endpoints with %d requests and changes", len(seen.Limits), limited)
}

// counts reports whether a request to an endpoint counts against its limit: its host has been told at least hostNotice
// ago, and no fault excuses it. told holds the first time at which each host was told.
func (c *checker) counts(id string, e limitEvent, told map[int]time.Time) bool {
	host, ok := c.hostOf[e.Request]
	if !ok || within(e.at(), c.endpointFaults[id]) {
		return false
	}
	if _, limited := e.perSecond(); !limited || within(e.at(), c.hostFaults[host]) {
		delete(told, host)
		return false
	}
	first, known := told[host]
	if !known {
		told[host] = e.at()
		return false
	}
	return e.at().Sub(first) >= hostNotice+slowAnswerTime
}

// slowAnswerTime is the time after which the slowest endpoint has answered a request.
const slowAnswerTime = 100 * time.Millisecond
