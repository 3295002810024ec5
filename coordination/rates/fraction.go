package rates

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/client"
)

const (
	// What is left of a window is admitted over minSpread or spreadPerLag times the age of the figures, whichever is
	// longer: a faster reaction to old figures oscillates.
	minSpread    = 1500 * time.Millisecond
	spreadPerLag = 2.5
	// What was admitted beyond the window is held back over minHoldBack or holdBackPerLag times the age of the figures.
	minHoldBack    = 500 * time.Millisecond
	holdBackPerLag = 1.0
	// overloadLagFactor is the additional part of the figures' age that is held back of a window, on top of the age
	// itself, from an account whose demand is at least twice its rate.
	overloadLagFactor = 0.6
	// minSlackFraction and maxSlackFraction bound the fraction of the tolerated excess that is admitted: the excess
	// is large compared with the rate of a small account, whose window a few large requests fill. The fraction falls
	// by 1 for each slackDecayAge of the figures' age.
	minSlackFraction = 0.4
	maxSlackFraction = 0.6
	slackDecayAge    = 2 * time.Second
	// smallFraction is the size up to which a request is always admitted, as a fraction of the account's mean request
	// times the admitted fraction: refusing it would save next to nothing.
	smallFraction = 0.25
	// minRequests is the number of averaged requests below which demand is not extrapolated to all hosts, and
	// maxDemandSkew how many times an even share of an account's demand one host may receive.
	minRequests   = 5.0
	maxDemandSkew = 2.0
	// minRetryDelay and maxRetryDelay bound the delay in the Retry-After of refused requests.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// admitFraction admits a fraction of the requested units, and every request from 1 on. Unlike a share of the rate per
// host, the fraction is never too small for a single request and leaves nothing unused at hosts without demand.
func (r *Rates) admitFraction(a *accountState, fraction, cost float64, now time.Time) (wait time.Duration, ok bool) {
	a.admitted.add(fraction, max(r.lag(now), demandAveragingTime), now)
	if fraction >= 1 {
		a.credit = 0
		return 0, true
	}
	if cost < smallFraction*fraction*a.demand.meanCost() {
		return 0, true
	}
	if a.credit == 0 {
		// A random start per host keeps all hosts from admitting their first request at once.
		a.credit = (r.Rand() - 0.5) * cost
	}
	a.credit += fraction * cost
	if a.credit < cost/2 {
		return retryDelay(fraction), false
	}
	a.credit -= cost
	return 0, true
}

// retryDelay returns the Retry-After of a refused request.
func retryDelay(fraction float64) time.Duration {
	return min(maxRetryDelay, time.Duration(float64(minRetryDelay)/max(fraction, 0.01)))
}

// fleetUsage is an account's usage over all hosts, as far as known.
type fleetUsage struct {
	// used is the units admitted in the window, and allowed those that may be.
	used, allowed float64
	// demand is the units requested per second, and granted the units per second to admit.
	demand, granted float64
	// lag is the age of the other hosts' figures.
	lag time.Duration
}

// fraction returns the fraction of the requested units to admit now; 1 or more admits all.
func (s fleetUsage) fraction() float64 { return s.granted / max(s.demand, 1) }

// fleetUsage estimates an account's usage. What is left of the fleet-wide window is admitted over a period, on top of
// the rate.
func (r *Rates) fleetUsage(c *client.Account, a *accountState, now time.Time) fleetUsage {
	lag := r.lag(now)
	own := a.demand.rate(now)
	others, used := 0.0, 0.0
	if r.figuresFresh(now) {
		others, used = r.scale()*r.sums.Demand[c.Name], r.scale()*r.sums.Admitted[c.Name]
	}
	s := fleetUsage{demand: max(own+others, r.extrapolatedDemand(a, now)), lag: lag}
	// What the others have admitted since their reports is not in their figures, nor what has left their windows.
	unreported := lag.Seconds() * max(0, (s.demand-own)*a.admitted.value-used/r.Window.Seconds())
	s.used = used + unreported + a.window.sum(now, r.windowLength())
	s.allowed = r.allowed(c, s.demand, lag) * r.fleetCoverage(now)
	s.granted = max(0, c.Rate+(s.allowed-s.used)/s.spread().Seconds())
	return s
}

// spread returns the time over which what is left of the window is admitted, or what was admitted too much is held back. The
// latter is shorter: in the first window of a flood nothing leaves the window yet, so that the rate itself is too much.
func (s *fleetUsage) spread() time.Duration {
	if s.used > s.allowed {
		return max(minHoldBack, time.Duration(holdBackPerLag*float64(s.lag)))
	}
	return max(minSpread, time.Duration(spreadPerLag*float64(s.lag)))
}

// allowed returns the units that may be admitted in a window. It holds back what a rise in demand gets admitted
// before the figures show it, and more of it for an account whose demand is well above its rate.
func (r *Rates) allowed(c *client.Account, demand float64, lag time.Duration) float64 {
	over := min(1, max(0, demand/c.Rate-1))
	slack := max(minSlackFraction, maxSlackFraction-lag.Seconds()/slackDecayAge.Seconds())
	return c.Rate*(r.Window.Seconds()-(1+overloadLagFactor*over)*lag.Seconds()) + c.Burst + slack*r.Slack
}

// extrapolatedDemand returns the least demand on all hosts that the demand at this one implies, before the figures
// show it; 0 if that rests on few requests only.
func (r *Rates) extrapolatedDemand(a *accountState, now time.Time) float64 {
	if a.demand.count(now) < minRequests {
		return 0
	}
	return a.demand.rate(now) * float64(r.Hosts()) / maxDemandSkew
}

// scale is the number of other hosts for each host covered by the figures.
func (r *Rates) scale() float64 { return r.sums.ScaleFactor(r.Hosts() - 1) }

// lag returns the average age of the other hosts' figures.
func (r *Rates) lag(now time.Time) time.Duration {
	if !r.figuresFresh(now) {
		return 0
	}
	reported := time.Duration(r.sums.AgeSum / float64(r.sums.Hosts) * float64(time.Second))
	return reported + now.Sub(r.sumsAt)
}

// fleetCoverage returns the fraction of the window for which the hosts have been running, on average: what they
// admitted before a restart is not known.
func (r *Rates) fleetCoverage(now time.Time) float64 {
	if !r.figuresFresh(now) {
		return r.Coverage(now)
	}
	return min(1, (r.sums.Coverage+r.Coverage(now))/float64(r.sums.Hosts+1))
}
