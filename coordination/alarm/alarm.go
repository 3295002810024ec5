// Package alarm notices when a version turns bad.
package alarm

import (
	"math"
	"sync"
)

const (
	// threshold is the inverse of the rate of false alarms, for each request.
	threshold = 1e6
	// priorBad and priorAll soften the old version's rate while it has few requests.
	priorBad = 2.0
	priorAll = 20.0
)

// alternatives are the bad shares that the alarm looks for, as odds of the way from the tolerated one to 1.
var alternatives = [...]float64{0.1, 0.3, 0.7}

// Alarm is a sequential change detector for one route: the larger of each likelihood ratio and 1, carried on.
//
// Unlike a test over all trials it forgets a good past, so a version that turns bad after thousands of good answers
// is noticed as soon as one that is bad at once. Under a bad share of at most the tolerated one it raises fewer than
// one false alarm in a million requests (the run length of a likelihood-ratio change detector is at least its
// threshold). All methods may be called concurrently.
type Alarm struct {
	// Margin is the increase of the bad share that is tolerated.
	Margin float64

	mu     sync.Mutex
	logs   [len(alternatives)]float64
	raised bool
}

// Observe takes n answers of the new version, of which bad were bad, beside the old version's counts, and reports
// whether the alarm is raised.
func (a *Alarm) Observe(n, bad, oldAll, oldBad int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	tolerated := min(0.9, (float64(oldBad)+priorBad)/(float64(oldAll)+priorAll)+a.Margin)
	for i, way := range alternatives {
		worse := tolerated + way*(1-tolerated)
		ratio := float64(bad)*math.Log(worse/tolerated) + float64(n-bad)*math.Log((1-worse)/(1-tolerated))
		a.logs[i] = max(0, a.logs[i]) + ratio
		if a.logs[i] >= math.Log(threshold) {
			a.raised = true
		}
	}
	return a.raised
}
