package scene_test

import (
	"fmt"
	"os"
	"syscall"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// maxDelay is the longest delay that a link adds.
	maxDelay = 250 * time.Millisecond
	// maxLateSeconds is the longest time after which the store carries out a write that it does not answer.
	maxLateSeconds = 6
	// minEndpoints is the number of endpoints at which none is killed any more.
	minEndpoints = 3
	// gracePeriod is graceS of the hosts' settings, and exitSlack the tolerance for an exit.
	gracePeriod = 4 * time.Second
	exitSlack   = 3 * time.Second
)

// allFaults returns the faults of a run, those that are more likely several times.
func (k *soak) allFaults() []func() {
	return append(append(k.oldFaults(), k.reloadFaults()...), k.addCrashingPart, k.restoreFault, k.restoreWhileAbsent, k.storeIsLate)
}

// oldFaults returns the faults that there were when seeds of soakCases failed; a seed names the same faults for as long as
// the list stays.
func (k *soak) oldFaults() []func() {
	return []func(){
		k.storeDown, k.storeLosesResponses, k.compactStore, k.storeLink, k.storeLink,
		k.callerLink, k.callerLink, k.endpointLink, k.endpointLink, k.endpointReset,
		k.limitEndpoint, k.peerLink, k.addHostFault,
		k.killEndpoint, k.addEndpointFault, k.suspendHost, k.killHost, k.stopHost, k.changeConfiguration,
	}
}

// limitFaults returns the faults of a run in which endpoints limit their requests while hosts come and go. Faults between
// hosts and endpoints are left out, as they excuse the endpoint.
func (k *soak) limitFaults() []func() {
	return []func(){
		k.limitEndpoint, k.limitEndpoint, k.limitEndpoint, k.peerLink, k.addHostFault, k.suspendHost, k.killHost, k.stopHost,
		k.storeDown, k.storeLink, k.changeConfiguration,
	}
}

// revertLater schedules the end of a fault after a random duration.
func (k *soak) revertLater(revert func()) {
	duration := minFaultDuration + time.Duration(k.rand.Int64N(int64(maxFaultDuration-minFaultDuration)))
	k.reverts = append(k.reverts, soakRevert{due: time.Now().Add(duration), revert: revert})
}

func (k *soak) storeDown() {
	k.logFault("store down")
	k.control("/fault?down")
	ended := k.storeFault(everyHost)
	k.revertLater(func() {
		k.control("/fault")
		ended()
	})
}

func (k *soak) storeLosesResponses() {
	k.logFault("store loses responses")
	k.control("/fault?lost")
	ended := k.storeFault(everyHost)
	k.revertLater(func() {
		k.control("/fault")
		ended()
	})
}

// storeIsLate lets the store answer no writes, and carry each one out seconds later if its condition holds then.
func (k *soak) storeIsLate() {
	after := 1 + k.rand.IntN(maxLateSeconds)
	k.logFault("store carries writes out %d s late", after)
	k.control(fmt.Sprint("/fault?late=", after))
	ended := k.storeFault(everyHost)
	k.revertLater(func() {
		k.control("/fault")
		ended()
	})
}

func (k *soak) compactStore() {
	k.logFault("store compacts its history")
	k.control("/fault?compact")
}

func (k *soak) storeLink() {
	i := k.rand.IntN(len(k.hosts))
	f := k.randomLinkFault()
	k.logFault("host %d to the store: %+v", i, f)
	k.storeLinks[i].setFault(f)
	if k.rand.IntN(2) == 0 {
		k.storeLinks[i].reset()
	}
	ended := k.storeFault(i)
	k.revertLater(func() {
		k.storeLinks[i].setFault(linkFault{})
		ended()
	})
}

func (k *soak) randomLinkFault() linkFault {
	switch k.rand.IntN(4) {
	case 0:
		return linkFault{delay: time.Duration(k.rand.Int64N(int64(maxDelay)))}
	case 1:
		return linkFault{stallToTarget: true}
	case 2:
		return linkFault{stallFromTarget: true}
	default:
		return linkFault{stallToTarget: true, stallFromTarget: true}
	}
}

func (k *soak) callerLink() {
	i := k.rand.IntN(len(k.hosts))
	f := k.randomLinkFault()
	k.logFault("callers to host %d: %+v", i, f)
	k.checker.faultStarted(i)
	k.callerLinks[i].setFault(f)
	if k.rand.IntN(2) == 0 {
		k.callerLinks[i].reset()
	}
	k.revertLater(func() {
		k.callerLinks[i].setFault(linkFault{})
		k.checker.faultEnded(i)
	})
}

func (k *soak) endpointLink() {
	id := k.endpoints[k.rand.IntN(len(k.endpoints))]
	f := k.randomLinkFault()
	k.logFault("hosts to endpoint %s: %+v", id, f)
	k.endpointLinks[id].setFault(f)
	k.checker.endpointFaultStarted()
	started := time.Now()
	k.revertLater(func() {
		k.endpointLinks[id].setFault(linkFault{})
		k.checker.endpointFaultEnded()
		k.checker.excuseEndpoint(id, started)
	})
}

func (k *soak) endpointReset() {
	id := k.endpoints[k.rand.IntN(len(k.endpoints))]
	k.logFault("hosts to endpoint %s: reset", id)
	k.checker.endpointFault()
	k.endpointLinks[id].reset()
}

func (k *soak) killEndpoint() {
	if len(k.endpoints) <= minEndpoints {
		return
	}
	n := k.rand.IntN(len(k.endpoints))
	id := k.endpoints[n]
	k.endpoints = append(k.endpoints[:n:n], k.endpoints[n+1:]...)
	k.logFault("endpoint %s killed", id)
	k.checker.endpointFault()
	k.endpointLinks[id].reset()
	k.control("/kill?id=" + id)
	// Streams that began between the reset and the kill are cut too.
	k.checker.endpointFault()
}

func (k *soak) addEndpointFault() {
	k.logFault("endpoint added")
	k.addEndpoint()
}

func (k *soak) changeConfiguration() {
	k.putNextConfiguration()
	k.logFault("configuration %d", k.version)
}

// pickHost marks a random host as stopped and returns it; ok is false if a fault already stops it.
func (k *soak) pickHost() (host int, ok bool) {
	host = k.rand.IntN(len(k.hosts))
	return host, k.markStopped(host)
}

// markStopped marks a host as stopped, and reports whether none of the faults has stopped it already.
func (k *soak) markStopped(host int) bool {
	if k.stopped[host] {
		return false
	}
	k.stopped[host] = true
	k.stoppedAt[host] = time.Now()
	return true
}

// releaseHost ends the faults of a host that runs again.
func (k *soak) releaseHost(host int) {
	delete(k.stopped, host)
	k.checker.excuseHost(host, k.stoppedAt[host])
	k.checker.hostRuns(host)
}

func (k *soak) suspendHost() {
	i, ok := k.pickHost()
	if !ok {
		return
	}
	k.logFault("host %d suspended", i)
	k.checker.hostLost(i)
	suspend(k.hosts[i].process)
	k.revertLater(func() {
		if k.hosts[i].hasEnded() {
			k.restartHost(i)
			return
		}
		resume(k.hosts[i].process)
		k.releaseHost(i)
	})
}

func (k *soak) killHost() {
	i, ok := k.pickHost()
	if !ok {
		return
	}
	k.kill(i)
	k.revertLater(func() { k.restartHost(i) })
}

// kill kills a host, whatever other fault it has.
func (k *soak) kill(i int) {
	k.logFault("host %d killed", i)
	k.checker.hostLost(i)
	k.killed[i] = true
	k.hosts[i].signal(os.Kill)
	_ = k.hosts[i].wait()
}

// stopHost sends SIGTERM to a host, sometimes twice; the process must exit within its grace period.
func (k *soak) stopHost() {
	i, ok := k.pickHost()
	if !ok {
		return
	}
	k.terminate(i)
	if k.rand.IntN(3) == 0 {
		k.hosts[i].signal(syscall.SIGTERM)
	}
}

// terminate sends SIGTERM to a host that is marked as stopped, and starts it again once it has exited.
func (k *soak) terminate(i int) {
	k.logFault("host %d terminated", i)
	k.checker.hostStops(i)
	h := k.hosts[i]
	h.signal(syscall.SIGTERM)
	k.reverts = append(k.reverts, soakRevert{due: time.Now().Add(gracePeriod + exitSlack), early: h.hasEnded, revert: func() {
		timer := time.AfterFunc(time.Millisecond, func() { _ = h.cmd.Process.Kill() })
		err := h.wait()
		timer.Stop()
		if err != nil && !k.killed[i] {
			k.checker.addViolation("host %d did not exit cleanly after SIGTERM: %v", i, err)
		}
		k.restartHost(i)
	}})
}

func (k *soak) restartHost(i int) {
	k.logFault("host %d restarted", i)
	h := k.hosts[i]
	k.writeSettings(i)
	h.launch(h.address)
	delete(k.killed, i)
	k.processes = append(k.processes, h.process)
	k.checker.hostRestarted(i)
	Eventually(func() error { return ping(h.ready + "/ready") }).Should(Succeed())
	k.releaseHost(i)
}

// checkProcesses finds the hosts whose process has ended without a fault that ends it.
func (k *soak) checkProcesses() {
	for i, h := range k.hosts {
		if h.hasEnded() && k.markStopped(i) {
			k.checker.addViolation("the process of host %d ended by itself: %v", i, h.wait())
			k.restartHost(i)
		}
	}
}
