// Package paces decides how often a host reads tables, polls and tells, by the size of the fleet and its own role.
package paces

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/roles"
)

const (
	// smallFleet is the number of hosts up to which each reads the tables by itself, and heartbeats carry every host's
	// figures to every other in time.
	smallFleet = 8
	// roundTime is the time between rounds of heartbeats in a small fleet, and largeRound that in a large one.
	roundTime  = 400 * time.Millisecond
	largeRound = 2 * roundTime
	// operatorWait and hostsWait are how long a read waits for changes: the operator's count at once, and hosts come and go
	// rarely, but all of a large fleet at its start, for which there is a pause between reads.
	operatorWait    = 5 * time.Second
	hostsWait       = 15 * time.Second
	hostsPause      = 300 * time.Millisecond
	largeHostsPause = time.Second
	// headWaitPart is the part of the time in which a configuration must be in force for which a head waits for changes,
	// and headHostsWait its wait for hosts: its view is passed on and must be young.
	headWaitPart  = 0.25
	headHostsWait = 2 * time.Second
	// drainPart is the part of the time in which a leaving endpoint's last work must arrive that may pass between reads
	// of the endpoints' rows, and pollPart that between polls, and between the reads of a head.
	drainPart = 0.4
	pollPart  = 0.2
	// leastPoll bounds the time between polls from below.
	leastPoll = 300 * time.Millisecond
	// briefPoll is the time between polls for accounts' figures while some account may come to its limit.
	briefPoll = 150 * time.Millisecond
	// overduePart is the age of a view, in terms of the time between reads, from which a read is taken to have failed.
	overduePart = 1.4
	// secondPart and ownPart are the parts of the time in which a change must be known that the head's word may be old at
	// another reader, and any word at another host: the rest is for an own read.
	secondPart = 0.35
	ownPart    = 0.65
	// hostsAge is the age of other hosts' word of the table of hosts from which a host reads it itself.
	hostsAge = 10 * time.Second
	// startWait is how long a process of a new system waits for the table of hosts before it reads the others, and
	// firstWait for the word of a reader.
	startWait = 300 * time.Millisecond
	firstWait = 1500 * time.Millisecond
	// leaseTries is the number of processes that try to take the duties' lease, and largeTries that in a large fleet, where
	// the first ones may be cut off together and nobody else learns of it for long.
	leaseTries = 2
	largeTries = 5
	// countSlack is what a host's word of its usage may take beyond one poll.
	countSlack = 250 * time.Millisecond
)

// Paces is what the paces of a host depend on at one moment.
type Paces struct {
	// Hosts is the number of entry hosts known, this one included.
	Hosts int
	// Role is the host's role in a large fleet.
	Role roles.Role
	// First tells that the whole system starts for the first time, and Listed that the table of hosts was read.
	First, Listed bool
	// Drain is the time in which a leaving endpoint's last work must arrive.
	Drain time.Duration
	// Apply is the time in which a configuration must be in force.
	Apply time.Duration
}

// Large reports whether a few hosts read the tables for the others.
func (p Paces) Large() bool { return p.Hosts > smallFleet }

// alone reports whether the host reads the tables by itself.
func (p Paces) alone() bool { return !p.Large() || p.Role == roles.Head }

// Rest returns how long a table need not be read here whose changes must be known within a time: other hosts' word
// stands in while the view has a young age. Without a view, age is the time since the start.
//
// When the whole system starts for the first time, and no callers are there yet, a host waits for that word; one that
// starts again must serve at once.
func (p Paces) Rest(within, age time.Duration, known bool) time.Duration {
	switch {
	case !known && p.First && !p.Listed:
		return startWait - age
	case p.alone():
		return 0
	case !known && p.First:
		return firstWait - age
	case !known:
		return 0
	case p.Role == roles.Second:
		return Part(secondPart, within) - age
	default:
		return Part(ownPart, within) - age
	}
}

// HostsRest is Rest for the table of hosts.
func (p Paces) HostsRest(age time.Duration, known bool) time.Duration {
	if !known || p.alone() {
		return 0
	}
	return hostsAge - age
}

// OperatorWait returns how long a read of the operator's table waits for changes.
func (p Paces) OperatorWait() time.Duration { return p.wait(operatorWait, Part(headWaitPart, p.Apply)) }

// HostsWait returns how long a read of the table of hosts waits for changes.
func (p Paces) HostsWait() time.Duration { return p.wait(hostsWait, headHostsWait) }

// wait returns the wait in a small fleet or that of a head; another host reads only what it was not told.
func (p Paces) wait(small, head time.Duration) time.Duration {
	switch {
	case !p.Large():
		return small
	case p.Role == roles.Head:
		return head
	default:
		return 0
	}
}

// EndpointsPause returns the time between reads of the endpoints' rows.
func (p Paces) EndpointsPause() time.Duration {
	if p.Large() {
		return Part(pollPart, p.Drain)
	}
	return Part(drainPart, p.Drain)
}

// HostsPause returns the time between reads of the table of hosts.
func (p Paces) HostsPause() time.Duration {
	if p.Large() {
		return largeHostsPause
	}
	return hostsPause
}

// Old reports whether a reader's view is older than it would be if the store answered it.
func (p Paces) Old(age time.Duration) bool { return age > Part(secondPart, p.Drain) }

// Overdue reports whether a view of the endpoints' rows is older than it would be if the store answered this host's own reads.
func (p Paces) Overdue(age time.Duration) bool { return age > Part(overduePart, p.EndpointsPause()) }

// Poll returns the time between polls of a reader by the other hosts.
func (p Paces) Poll() time.Duration { return max(leastPoll, Part(pollPart, p.Drain)) }

// OwnPoll returns the time between the host's own polls; readers are few and carry the words of many, so they take half.
func (p Paces) OwnPoll() time.Duration {
	if p.Role == roles.Other {
		return p.Poll()
	}
	return p.Poll() / 2
}

// BriefPoll returns the time between polls for accounts' figures alone, in between the host's other polls.
func (p Paces) BriefPoll() time.Duration { return min(briefPoll, p.OwnPoll()/3) }

// Round returns the time between rounds of heartbeats.
func (p Paces) Round() time.Duration {
	if p.Large() {
		return largeRound
	}
	return roundTime
}

// LeaseTries returns the number of processes that try to take the duties' lease.
func (p Paces) LeaseTries() int {
	if p.Large() {
		return largeTries
	}
	return leaseTries
}

// CountWait returns the time after a window's end until its usage is written in a large fleet: readers wait for one poll of
// the others, and these for two.
func (p Paces) CountWait() time.Duration {
	if p.Role == roles.Other {
		return 2 * (p.Poll() + countSlack)
	}
	return p.Poll() + countSlack
}

// Part returns a part of a time.
func Part(x float64, of time.Duration) time.Duration { return time.Duration(x * float64(of)) }
