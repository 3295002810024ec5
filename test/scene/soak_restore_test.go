package scene_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// minCopyAge and maxCopyAge bound the age of the copies that the store comes back from.
	minCopyAge = 500 * time.Millisecond
	maxCopyAge = 6 * time.Second
	// maxStoreAway is the longest time that the store is away before it comes back.
	maxStoreAway = 2 * time.Second
	// maxSeries is the most configurations in a series, and maxSeriesPause the longest time between two of them.
	maxSeries      = 4
	maxSeriesPause = 400 * time.Millisecond
)

// restoreFaults returns the faults of a run in which the store comes back from copies while hosts and endpoints come and go.
func (k *soak) restoreFaults() []func() {
	return []func(){
		k.restoreFault, k.restoreFault, k.restoreWhileAbsent, k.restoreWhileAbsent, k.restoreWhileAbsent,
		k.suspendHost, k.killHost, k.stopHost, k.stopSeveral, k.killAll, k.addHostFault, k.storeLink, k.storeDown, k.storeLosesResponses,
		k.compactStore, k.killEndpoint, k.addEndpointFault, k.hangUpHosts, k.changeConfiguration,
	}
}

// restoreFault takes the store away for a moment, then brings it back from a copy, sometimes twice in close succession.
func (k *soak) restoreFault() {
	if k.storeAway {
		return
	}
	k.putSeries(k.rand.IntN(maxSeries))
	k.takeStoreAway(1 + k.rand.IntN(2))
}

// restoreWhileAbsent restores the store around the absence of a host, and puts configurations that this host misses.
func (k *soak) restoreWhileAbsent() {
	absences := []func(){k.storeLink, k.suspendHost, k.killHost, k.stopHost}
	absences[k.rand.IntN(len(absences))]()
	k.restoreFault()
}

// takeStoreAway takes the store away for a moment and restores it, n times in close succession.
func (k *soak) takeStoreAway(n int) {
	away := time.Duration(k.rand.Int64N(int64(maxStoreAway)))
	age := minCopyAge + time.Duration(k.rand.Int64N(int64(maxCopyAge-minCopyAge)))
	k.logFault("store away for %s, then back from a copy %s old, %d to go", away, age, n-1)
	k.storeAway = true
	k.control("/fault?down")
	ended := k.storeFault(everyHost)
	k.reverts = append(k.reverts, soakRevert{due: time.Now().Add(away), revert: func() {
		k.restoreStore(age)
		k.storeAway = false
		ended()
		k.putSeries(k.rand.IntN(maxSeries))
		if n > 1 {
			k.takeStoreAway(n - 1)
		}
	}})
}

// putSeries puts n configurations, one soon after the other.
func (k *soak) putSeries(n int) {
	if n == 0 {
		return
	}
	k.changeConfiguration()
	due := time.Now().Add(time.Duration(k.rand.Int64N(int64(maxSeriesPause))))
	k.reverts = append(k.reverts, soakRevert{due: due, revert: func() { k.putSeries(n - 1) }})
}

// checkReporter checks that usage is reported once all faults have ended.
func (k *soak) checkReporter() {
	if _, ok := k.nextReporter(); !ok {
		k.checker.addViolation("no usage report was accepted for %s after the last fault", reportTime)
	}
}

// checkDuties checks that no two holders sent the same fencing number, and that the numbers grow.
func (k *soak) checkDuties(seen siteRecord) {
	for _, shared := range seen.sharedFences() {
		k.checker.addViolation("%s", shared)
	}
	used := map[dutyCall]bool{}
	newest := map[string]int64{}
	for _, c := range seen.Duties {
		id := dutyCall{Subject: c.Subject, Holder: c.Holder, Fence: c.Fence}
		if !used[id] && c.Fence < newest[c.Subject] && !k.mayBeDelayed(c) {
			k.checker.addViolation("%s: %s sent fencing number %d for the first time after %d", c.Subject, c.Holder, c.Fence, newest[c.Subject])
		}
		used[id] = true
		newest[c.Subject] = max(newest[c.Subject], c.Fence)
	}
}

// mayBeDelayed reports whether a fault of its host may have held up a call.
func (k *soak) mayBeDelayed(c dutyCall) bool {
	host := 0
	if _, err := fmt.Sscanf(c.Holder, "host-%d", &host); err != nil {
		return false
	}
	at := time.UnixMilli(c.AtMillis)
	return within(at, k.checker.hostFaults[host]) || within(at, k.prompts.storeFaults[host])
}

var _ = Describe("the soak's checker of duties", func() {
	It("finds fencing numbers of two holders, those that fall, and windows with two counts", func() {
		k := &soak{checker: newChecker()}
		calls := []dutyCall{
			{Subject: "usage", Holder: "host-0", Fence: 2}, {Subject: "usage", Holder: "host-1", Fence: 3}, {Subject: "usage", Holder: "host-0", Fence: 2},
		}
		k.checkDuties(siteRecord{Duties: calls})
		Expect(k.checker.violations).To(BeEmpty())
		calls = append(calls, dutyCall{Subject: "usage", Holder: "host-2", Fence: 2}, dutyCall{Subject: "usage", Holder: "host-1", Fence: 1})
		k.checkDuties(siteRecord{Duties: calls})
		Expect(k.checker.violations).To(ConsistOf(
			ContainSubstring("fencing number 2 from"), ContainSubstring("host-2 sent fencing number 2"), ContainSubstring("host-1 sent fencing number 1")))
	})
})
