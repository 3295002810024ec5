// Package sched sets how often a host reads tables, polls and sends heartbeats, by the size of the fleet and its own
// role.
package sched

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/roles"
)

const (
	// smallFleet is the largest fleet in which each host reads the tables itself, and heartbeats carry every host's
	// figures to every other in time.
	smallFleet = 8
	// heartbeatInterval is the time between rounds of heartbeats in a small fleet, and largeHeartbeatInterval in a
	// large one.
	heartbeatInterval      = 400 * time.Millisecond
	largeHeartbeatInterval = 2 * heartbeatInterval
	// contactWaitFraction is the long-poll timeout of reads of the operator's table, as a fraction of the time in which a
	// host that reaches the store again must be up to date: a poll whose answer was lost must end, and a read follow it,
	// within that time.
	contactWaitFraction = 0.6
	// hostsWait is the long-poll timeout of reads of the hosts' table. Hosts come and go rarely, except that all hosts of a
	// large fleet may start together, hence the pause between reads.
	hostsWait       = 5 * time.Second
	hostsPause      = 300 * time.Millisecond
	largeHostsPause = time.Second
	// primaryWaitFraction is the primary reader's long-poll timeout as a fraction of the time in which a configuration must
	// be in force, and primaryHostsWait its timeout for hosts: the primary's view is passed on and must be recent.
	primaryWaitFraction = 0.25
	primaryHostsWait    = 2 * time.Second
	// drainFraction is the time between reads of the endpoints' rows, as a fraction of the time in which a leaving
	// endpoint's last work must arrive, and pollFraction the same for polls and for the primary reader's reads.
	drainFraction = 0.4
	pollFraction  = 0.2
	// minPollInterval is the lower bound of the time between polls.
	minPollInterval = 300 * time.Millisecond
	// briefPollInterval is the time between polls for accounts' figures while some account is near its limit.
	briefPollInterval = 150 * time.Millisecond
	// overdueFactor is the age of a view from which a read counts as failed, in multiples of the time between reads.
	overdueFactor = 1.4
	// secondFraction and otherFraction are the ages up to which a view received from another host replaces an own
	// read, at a secondary reader and at other hosts, as fractions of the time in which a change must be known: the rest
	// is for an own read.
	secondFraction = 0.35
	otherFraction  = 0.65
	// maxHostsAge is the age of a received table of hosts from which a host reads the table itself.
	maxHostsAge = 10 * time.Second
	// hostsReadWait is how long a process of a new system waits for the table of hosts before it reads the other
	// tables, and firstReaderWait how long it waits for a reader's answer.
	hostsReadWait   = 300 * time.Millisecond
	firstReaderWait = 1500 * time.Millisecond
	// leaseCandidates is the number of processes that try to acquire the lease of the duties, the calls that only one
	// host at a time may make. There are more in a large fleet, where the first ones may be cut off together and other
	// hosts find out late.
	leaseCandidates      = 2
	largeLeaseCandidates = 5
	// usageSlack is how long a host's usage report may take beyond one poll.
	usageSlack = 250 * time.Millisecond
)

// Schedule holds what a host's intervals depend on at one moment, and computes the intervals from it.
type Schedule struct {
	// Hosts is the number of known entry hosts, this one included.
	Hosts int
	// Role is the host's role in a large fleet.
	Role roles.Role
	// NewSystem is true if the whole system starts for the first time, and HostsRead if the table of hosts was read.
	NewSystem, HostsRead bool
	// Drain is the time in which a leaving endpoint's last work must arrive.
	Drain time.Duration
	// Apply is the time in which a configuration must be in force.
	Apply time.Duration
	// Contact is the time in which a host that reaches the store again must be up to date.
	Contact time.Duration
}

// Large reports whether only a few hosts read the tables, for the others as well.
func (s Schedule) Large() bool { return s.Hosts > smallFleet }

// readsTables reports whether the host reads the tables itself.
func (s Schedule) readsTables() bool { return !s.Large() || s.Role == roles.Primary }

// ReadDelay returns the time until this host must read a table whose changes must be known within a time; 0 or less
// means now. Until then the view received from other hosts is recent enough. Without a view, age is the time since the
// start.
//
// When the whole system starts for the first time, there are no callers yet and a host waits for a reader's answer. A
// restarted host must serve at once and does not wait.
func (s Schedule) ReadDelay(within, age time.Duration, known bool) time.Duration {
	switch {
	case !known && s.NewSystem && !s.HostsRead:
		return hostsReadWait - age
	case s.readsTables():
		return 0
	case !known && s.NewSystem:
		return firstReaderWait - age
	case !known:
		return 0
	case s.Role == roles.Secondary:
		return Fraction(secondFraction, within) - age
	default:
		return Fraction(otherFraction, within) - age
	}
}

// HostsReadDelay is ReadDelay for the table of hosts.
func (s Schedule) HostsReadDelay(age time.Duration, known bool) time.Duration {
	if !known || s.readsTables() {
		return 0
	}
	return maxHostsAge - age
}

// OperatorWait returns the long-poll timeout of a read of the operator's table.
func (s Schedule) OperatorWait() time.Duration {
	return s.longPollWait(Fraction(contactWaitFraction, s.Contact), Fraction(primaryWaitFraction, s.Apply))
}

// HostsWait returns the long-poll timeout of a read of the table of hosts.
func (s Schedule) HostsWait() time.Duration { return s.longPollWait(hostsWait, primaryHostsWait) }

// longPollWait returns the timeout for a small fleet or for a primary reader; any other host reads only what it did not
// receive, without waiting.
func (s Schedule) longPollWait(small, primary time.Duration) time.Duration {
	switch {
	case !s.Large():
		return small
	case s.Role == roles.Primary:
		return primary
	default:
		return 0
	}
}

// EndpointsPause returns the time between reads of the endpoints' rows.
func (s Schedule) EndpointsPause() time.Duration {
	if s.Large() {
		return Fraction(pollFraction, s.Drain)
	}
	return Fraction(drainFraction, s.Drain)
}

// HostsPause returns the time between reads of the table of hosts.
func (s Schedule) HostsPause() time.Duration {
	if s.Large() {
		return largeHostsPause
	}
	return hostsPause
}

// Stale reports whether a reader's view is older than it would be if the store answered the reader.
func (s Schedule) Stale(age time.Duration) bool { return age > Fraction(secondFraction, s.Drain) }

// Overdue reports whether a view of the endpoints' rows is older than it would be if the store answered this host's
// reads.
func (s Schedule) Overdue(age time.Duration) bool {
	return age > Fraction(overdueFactor, s.EndpointsPause())
}

// PollInterval returns the time between polls of a host that is not a reader.
func (s Schedule) PollInterval() time.Duration {
	return max(minPollInterval, Fraction(pollFraction, s.Drain))
}

// OwnPollInterval returns the time between the host's own polls. It is half for readers, which are few and forward the
// reports of many.
func (s Schedule) OwnPollInterval() time.Duration {
	if s.Role == roles.Other {
		return s.PollInterval()
	}
	return s.PollInterval() / 2
}

// BriefPollInterval returns the time between polls for accounts' figures only, in between the host's other polls.
func (s Schedule) BriefPollInterval() time.Duration {
	return min(briefPollInterval, s.OwnPollInterval()/3)
}

// HeartbeatInterval returns the time between rounds of heartbeats.
func (s Schedule) HeartbeatInterval() time.Duration {
	if s.Large() {
		return largeHeartbeatInterval
	}
	return heartbeatInterval
}

// LeaseCandidates returns the number of processes that try to acquire the duties' lease.
func (s Schedule) LeaseCandidates() int {
	if s.Large() {
		return largeLeaseCandidates
	}
	return leaseCandidates
}

// UsageDelay returns the time from a window's end until its usage is written in a large fleet: readers wait for one
// poll of the other hosts, and these for the poll that tells them that a reader's write succeeded.
func (s Schedule) UsageDelay() time.Duration {
	if s.Role == roles.Other {
		return 2*s.PollInterval() + 3*usageSlack
	}
	return s.PollInterval() + usageSlack
}

// Fraction returns a fraction of a time.
func Fraction(x float64, of time.Duration) time.Duration { return time.Duration(x * float64(of)) }
