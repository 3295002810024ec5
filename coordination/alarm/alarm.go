// Package alarm detects that a version has turned bad.
package alarm

import (
	"math"
	"sync"
)

const (
	// threshold is the likelihood ratio at which the alarm is raised; the rate of false alarms per request is below its
	// inverse.
	threshold = 1e6
	// priorBad and priorAll are added to the old version's counts to smooth its bad share while it has few requests.
	priorBad = 2.0
	priorAll = 20.0
)

// alternatives are the bad shares that the alarm tests for, as fractions of the distance from the tolerated share to 1.
var alternatives = [...]float64{0.1, 0.3, 0.7}

// Alarm is a sequential change detector (CUSUM) for one route: a cumulative log-likelihood ratio for each alternative,
// reset to zero whenever it is negative.
//
// Unlike a test over all trials it discards earlier good answers, so a version that turns bad after thousands of them is
// detected as soon as one that is bad from the start. While the bad share is at most the tolerated one, it raises fewer
// than one false alarm in a million requests (the mean run length of a likelihood-ratio change detector is at least its
// threshold). All methods may be called concurrently.
type Alarm struct {
	// Margin is the tolerated increase of the bad share, absolute.
	Margin float64

	mu        sync.Mutex
	logRatios [len(alternatives)]float64
	raised    bool
}

// Observe adds n answers of the new version, of which bad were bad, and reports whether the alarm is raised; a raised
// alarm stays raised. oldAll and oldBad are the old version's counts.
func (a *Alarm) Observe(n, bad, oldAll, oldBad int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	tolerated := min(0.9, (float64(oldBad)+priorBad)/(float64(oldAll)+priorAll)+a.Margin)
	for i, alternative := range alternatives {
		worse := tolerated + alternative*(1-tolerated)
		ratio := float64(bad)*math.Log(worse/tolerated) + float64(n-bad)*math.Log((1-worse)/(1-tolerated))
		a.logRatios[i] = max(0, a.logRatios[i]) + ratio
		if a.logRatios[i] >= math.Log(threshold) {
			a.raised = true
		}
	}
	return a.raised
}
