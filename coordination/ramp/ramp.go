// Package ramp decides the next step of the progressive rollout of a version move.
package ramp

import (
	"slices"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/judge"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/share"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

const (
	// initialShare is the new version's share of all requests until it has been sampled on each route.
	initialShare = 0.0125
	// maxGrowth is the largest factor by which a route's share rises in one step.
	maxGrowth = 3.0
	// minRequests is the number of requests from which the routes' shares of the traffic are estimated.
	minRequests = 50
	// stageRequests is the number of requests on the new version that a route needs at one share before the next step.
	stageRequests = 10
	// largeShareRequests replaces stageRequests from largeShare on, where load may reveal faults that a small share did
	// not.
	largeShareRequests = 30
	// largeShare is the share from which steps need more evidence.
	largeShare = 0.2
	// exposureAlpha is the error probability of the confidence limit that bounds the shares; withdrawals use judgeAlpha.
	exposureAlpha = 0.05
	// soakRequests is the number of requests on the new version at full share before a move is done.
	soakRequests = 200
	// soakTotalRequests is the number of requests on the new version from which soakTime applies instead of soakTimeLong.
	soakTotalRequests = 2500
	// soakTimeLong is the part of a move's allotted time that must pass before the move is done while the new version has
	// fewer than soakTotalRequests.
	soakTimeLong = 0.95
	// soakTime is the part that must pass from soakTotalRequests on.
	soakTime = 0.6
	// boostFrom and boostTo are the parts of the allotted time between which the exposure rises linearly; at boostTo it is
	// 1+boostFactor times as large.
	boostFrom   = 0.4
	boostTo     = 0.8
	boostFactor = 4.0
	// rareRouteShare is the share of the traffic below which a route needs no evidence of its own.
	rareRouteShare = 0.02
	// judgeAlpha bounds the probability that a good version is withdrawn, judgeMargin is the tolerated increase of the bad
	// share, and exposure the share of all requests that a move may turn bad.
	judgeAlpha  = 0.001
	judgeMargin = 0.02
	exposure    = 0.02
)

// Ramp raises the share of the new version, route by route, as evidence allows.
//
// At first the routes together send initialShare of all requests to the new version, split evenly, so that rare routes
// send a larger part of their own, until each has sampled it. From then on the shares are set so that the requests which
// the move may turn bad, by the upper confidence limit of the worst route's excess, stay at or below Exposure.
type Ramp struct {
	// Judge detects bad versions.
	Judge judge.Judge
	// Exposure bounds the share of all requests that the move may turn bad.
	Exposure float64
}

// Default returns a ramp with the default limits.
func Default() Ramp {
	return Ramp{Judge: judge.Judge{Alpha: judgeAlpha, Margin: judgeMargin}, Exposure: exposure}
}

// Next returns the move as it shall be after an evaluation of the evidence at now.
//
// total holds all trials of the move by route, and stage those since each route's share last changed.
func (r *Ramp) Next(m move.Move, total, stage []trial.Trial, now time.Time) move.Move {
	if m.Ended() {
		return m
	}
	if reason, bad := r.Judge.Bad(total); bad {
		return RolledBack(m, reason)
	}
	if m.Share >= 1 && r.soaked(m, total, stage, now) {
		m.State = move.Done
		return m
	}
	if !now.Before(m.FinishBy) {
		return RolledBack(m, "no time was left to prove the version")
	}
	if all := allRequests(total); all >= minRequests {
		m.Routes = r.raiseShares(m, total, stage, all, r.exposure(m, now))
		m.Share = overallShare(m.Routes, total, all)
	}
	return m
}

// RolledBack returns the move rolled back for the given reason, with all traffic on the old version.
func RolledBack(m move.Move, reason string) move.Move {
	m.State = move.RolledBack
	m.Share = 0
	m.Routes = nil
	m.Reason = reason
	return m
}

func (r *Ramp) soaked(m move.Move, total, stage []trial.Trial, now time.Time) bool {
	seen := newRequests(stage)
	required := soakTimeLong
	if newRequests(total) >= soakTotalRequests {
		required = soakTime
	}
	allotted := m.FinishBy.Sub(m.Started)
	return seen >= soakRequests && sampled(total) && now.Sub(m.Started) >= time.Duration(required*float64(allotted))
}

func newRequests(trials []trial.Trial) int64 {
	n := int64(0)
	for _, t := range trials {
		n += t.New
	}
	return n
}

func allRequests(total []trial.Trial) int64 {
	n := int64(0)
	for _, t := range total {
		n += t.Old + t.New
	}
	return n
}

func trafficShare(t trial.Trial, all int64) float64 { return float64(t.Old+t.New) / float64(all) }

// sampled reports whether each route that is not rare has sent at least stageRequests to the new version.
func sampled(total []trial.Trial) bool {
	all := allRequests(total)
	return !slices.ContainsFunc(total, func(t trial.Trial) bool {
		return trafficShare(t, all) >= rareRouteShare && t.New < stageRequests
	})
}

// raiseShares returns the routes' next shares; no share decreases.
//
// All routes have one common target, split evenly over them. It is bounded by the route with the worst excess, which is
// the one with the least evidence if all are good, so that the other routes' traffic is not exposed to a version that
// may be bad on one route.
func (r *Ramp) raiseShares(m move.Move, total, stage []trial.Trial, all int64, exposure float64) []share.Share {
	target, allSampled := initialShare, sampled(total)
	if allSampled {
		target = max(initialShare, exposure/max(r.worstExcess(total, all), exposure*minExcessFactor))
	}
	var out []share.Share
	for _, t := range total {
		current := m.ShareOf(t.Route)
		next := min(1, target/(trafficShare(t, all)*float64(len(total))))
		if allSampled && newRequestsOn(stage, t.Route) < requiredRequests(current) {
			next = current
		}
		if allSampled {
			next = min(next, max(current, initialShare)*maxGrowth)
		}
		out = append(out, share.Share{Name: t.Route, Fraction: max(current, next)})
	}
	return out
}

// exposure returns the exposure allowed at now; it rises as the deadline approaches, so that a version without adverse
// evidence reaches full share in time.
func (r *Ramp) exposure(m move.Move, now time.Time) float64 {
	elapsed := now.Sub(m.Started).Seconds() / m.FinishBy.Sub(m.Started).Seconds()
	boost := min(1, max(0, (elapsed-boostFrom)/(boostTo-boostFrom)))
	return r.Exposure * (1 + boostFactor*boost)
}

// minExcessFactor bounds the excess from below, as a factor of the exposure, to keep the quotient finite.
const minExcessFactor = 1e-3

// worstExcess returns the largest excess of a route that is not rare.
func (r *Ramp) worstExcess(total []trial.Trial, all int64) float64 {
	worst := 0.0
	for _, t := range total {
		if trafficShare(t, all) >= rareRouteShare {
			worst = max(worst, r.excess(t))
		}
	}
	return worst
}

func requiredRequests(current float64) int64 {
	if current >= largeShare {
		return largeShareRequests
	}
	return stageRequests
}

func newRequestsOn(stage []trial.Trial, route string) int64 {
	for _, t := range stage {
		if t.Route == route {
			return t.New
		}
	}
	return 0
}

// excess returns the upper confidence limit of the increase of the bad share on a route, beyond the margin.
func (r *Ramp) excess(t trial.Trial) float64 {
	old := 0.0
	if t.Old > 0 {
		old = float64(t.OldBad) / float64(t.Old)
	}
	if t.New > 0 {
		old = max(old, t.NewDue/float64(t.New))
	}
	return max(0, judge.UpperBound(t.New, t.NewBad, exposureAlpha)-old-r.Judge.Margin)
}

// overallShare returns the share of all requests that the routes' shares add up to; it is 1 only when all routes are at
// full share.
func overallShare(routes []share.Share, total []trial.Trial, all int64) float64 {
	sum, full := 0.0, true
	for i, t := range total {
		sum += trafficShare(t, all) * routes[i].Fraction
		full = full && routes[i].Fraction >= 1
	}
	if full {
		return 1
	}
	return min(sum, 0.999)
}
