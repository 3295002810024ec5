package rates

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/client"
)

const (
	// leastSpread and spreadLags are the time over which what a window has left is given out, the larger of the two: the
	// latter in terms of the age of the figures, as a faster answer to late figures swings.
	leastSpread = 1500 * time.Millisecond
	spreadLags  = 2.5
	// overLags is how many times the age of the figures is kept back of a window, beside once, from an account that asks for
	// twice its rate and more.
	overLags = 0.6
	// leastSlack and mostSlack bound the part of the tolerated excess that is given out: it is large beside the rate of a small
	// account, whose window a few large requests fill. It is less by all of it for each slackAge of the figures.
	leastSlack = 0.4
	mostSlack  = 0.6
	slackAge   = 2 * time.Second
	// smallPart is the size of a request that is admitted whatever fits, in terms of the account's mean one and of the part that
	// fits: to refuse it would gain next to nothing.
	smallPart = 0.25
	// fewRequests is the number of requests in the average on which nothing is built, and mostShare how many times an even
	// share of an account's demand a host may well have.
	fewRequests = 5.0
	mostShare   = 2.0
	// leastBack and mostBack bound the time after which callers are told to come back.
	leastBack = 200 * time.Millisecond
	mostBack  = 2 * time.Second
)

// thin admits a part of the requests, all of them from 1 on: no host has a part of the rate that is smaller than a request, or that
// it could leave unused.
func (r *Rates) thin(l *line, part, cost float64, now time.Time) (wait time.Duration, ok bool) {
	l.admitted.add(part, max(r.lag(now), demandTime), now)
	if part >= 1 {
		l.owed = 0
		return 0, true
	}
	if cost < smallPart*part*l.demand.mean() {
		return 0, true
	}
	if l.owed == 0 {
		// The hosts begin at different points, so that they do not all admit their first request.
		l.owed = (r.Rand() - 0.5) * cost
	}
	l.owed += part * cost
	if l.owed < cost/2 {
		return back(part), false
	}
	l.owed -= cost
	return 0, true
}

// back returns the time after which a caller that was refused shall come back.
func back(part float64) time.Duration {
	return min(mostBack, time.Duration(float64(leastBack)/max(part, 0.01)))
}

// standing is how an account stands over all hosts, as far as is known.
type standing struct {
	// used is the units that were admitted in the window, allowed those that may be.
	used, allowed float64
	// demand is the units asked for per second, and given those that are given out.
	demand, given float64
	// lag is the age of the other hosts' figures.
	lag time.Duration
}

// part returns the part of the units asked for that may be admitted now; 1 and more is all of them.
func (s standing) part() float64 { return s.given / max(s.demand, 1) }

// standing finds out how an account stands. What is left of the window of all hosts is given out over a while, beside the rate.
func (r *Rates) standing(c *client.Client, l *line, now time.Time) standing {
	lag := r.lag(now)
	own := l.demand.at(now)
	others, used := 0.0, 0.0
	if r.young(now) {
		others, used = r.scale()*r.sums.Demand[c.Name], r.scale()*r.sums.Used[c.Name]
	}
	s := standing{demand: max(own+others, r.surge(l, now)), lag: lag}
	// What the others have admitted since is not in their figures, nor what has left their windows.
	late := lag.Seconds() * max(0, (s.demand-own)*l.admitted.value-used/r.Window.Seconds())
	s.used = used + late + l.window.sum(now, r.length())
	s.allowed = r.allowed(c, s.demand, lag) * r.seasoned(now)
	spread := max(leastSpread, time.Duration(spreadLags*float64(lag)))
	s.given = max(0, c.Rate+(s.allowed-s.used)/spread.Seconds())
	return s
}

// allowed returns the units of a window that are given out. What a rise of the demand admits before the figures show it is
// kept back, more of it from an account that asks for much more than its rate.
func (r *Rates) allowed(c *client.Client, demand float64, lag time.Duration) float64 {
	over := min(1, max(0, demand/c.Rate-1))
	slack := max(leastSlack, mostSlack-lag.Seconds()/slackAge.Seconds())
	return c.Rate*(r.Window.Seconds()-(1+overLags*over)*lag.Seconds()) + c.Burst + slack*r.Slack
}

// surge returns the demand of all hosts that this one's own speaks for before the figures show it, nought when that rests on a
// few requests only.
func (r *Rates) surge(l *line, now time.Time) float64 {
	if l.demand.many(now) < fewRequests {
		return 0
	}
	return l.demand.at(now) * float64(r.Hosts()) / mostShare
}

// scale is the number of other hosts for each one in the figures.
func (r *Rates) scale() float64 { return r.sums.Scale(r.Hosts() - 1) }

// lag returns the age of the other hosts' figures, on their average.
func (r *Rates) lag(now time.Time) time.Duration {
	if !r.young(now) {
		return 0
	}
	told := time.Duration(r.sums.Aged / float64(r.sums.Hosts) * float64(time.Second))
	return told + now.Sub(r.sumsAt)
}

// seasoned returns the part of the window since which the hosts run, on their average: what they admitted before is not known.
func (r *Rates) seasoned(now time.Time) float64 {
	if !r.young(now) {
		return r.Age(now)
	}
	return min(1, (r.sums.Seasoned+r.Age(now))/float64(r.sums.Hosts+1))
}
