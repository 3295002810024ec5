// Package judge detects bad versions by sequential hypothesis tests.
package judge

import (
	"fmt"
	"math"

	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

const (
	// priorGood and priorBad are the parameters of the beta prior of the mixture; they favour small bad shares.
	priorGood = 1.0
	priorBad  = 0.5
	// bisections is the number of steps of the search for a confidence limit.
	bisections = 40
)

// Judge compares the new version with the old one on each route.
//
// Its confidence limits come from a beta-binomial mixture martingale, so they hold at all times simultaneously (Ville's
// inequality): however often it is evaluated, a version that is at most Margin worse than the old one is found bad with
// probability at most Alpha for each set of trials.
//
// The old version is taken at its share over the whole time or, if that is higher, at its share in the seconds in which the new
// one had its requests: what hits both alike in some seconds speaks against neither.
type Judge struct {
	// Alpha bounds the probability that a good version is withdrawn.
	Alpha float64
	// Margin is the tolerated increase of the bad share, absolute.
	Margin float64
}

// Bad reports whether the trials show the new version to be worse by more than Margin on a route; the reason names the
// route and its counts.
func (j *Judge) Bad(trials []trial.Trial) (reason string, bad bool) {
	alpha := j.Alpha / float64(2*max(len(trials), 1))
	for _, t := range trials {
		if float64(t.NewBad) <= j.Margin*float64(t.New) {
			continue
		}
		lowest := LowerBound(t.New, t.NewBad, alpha)
		highest := UpperBound(t.Old, t.OldBad, alpha)
		if t.Old == 0 {
			highest = j.Margin
		}
		highest = max(highest, t.NewDue/float64(t.New))
		if lowest > highest+j.Margin {
			return fmt.Sprintf("route %s: %d of %d bad on the new version, %d of %d on the old", t.Route, t.NewBad, t.New, t.OldBad, t.Old), true
		}
	}
	return "", false
}

// nearZero and nearOne replace shares of 0 and 1, whose logarithms are not finite.
const (
	nearZero = 1e-12
	nearOne  = 1 - 1e-12
)

// UpperBound returns the anytime-valid upper confidence limit of the bad share after n trials of which bad were bad.
func UpperBound(n, bad int64, alpha float64) float64 {
	if n == 0 || !excluded(n, bad, nearOne, alpha) {
		return 1
	}
	return limit(n, bad, 1, alpha)
}

// LowerBound returns the anytime-valid lower confidence limit of the bad share after n trials of which bad were bad.
func LowerBound(n, bad int64, alpha float64) float64 {
	if bad == 0 || !excluded(n, bad, nearZero, alpha) {
		return 0
	}
	return limit(n, bad, 0, alpha)
}

// limit bisects for the confidence limit between the observed share and the excluded share outside.
func limit(n, bad int64, outside, alpha float64) float64 {
	inside := float64(bad) / float64(n)
	for range bisections {
		middle := (inside + outside) / 2
		if excluded(n, bad, middle, alpha) {
			outside = middle
		} else {
			inside = middle
		}
	}
	return outside
}

// excluded reports whether the mixture martingale against a true share of p has reached 1/alpha.
func excluded(n, bad int64, p, alpha float64) bool {
	good := float64(n - bad)
	mixture := logBeta(float64(bad)+priorBad, good+priorGood) - logBeta(priorBad, priorGood)
	likelihood := float64(bad)*math.Log(p) + good*math.Log1p(-p)
	return mixture-likelihood >= -math.Log(alpha)
}

func logBeta(a, b float64) float64 {
	x, _ := math.Lgamma(a)
	y, _ := math.Lgamma(b)
	z, _ := math.Lgamma(a + b)
	return x + y - z
}
