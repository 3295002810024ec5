// Package polls exchanges the platform's tables and the hosts' figures between entry hosts.
package polls

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/reader"
	"github.com/dragonflyroute/dragonflyroute/coordination/sched"
	"github.com/dragonflyroute/dragonflyroute/coordination/tally"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/delta"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/reply"
	"github.com/dragonflyroute/dragonflyroute/protocol/roles"
	"github.com/dragonflyroute/dragonflyroute/protocol/stats"
	"github.com/dragonflyroute/dragonflyroute/protocol/window"
)

const (
	// startInterval is the time between polls until the tables are known.
	startInterval = 100 * time.Millisecond
	// exclusionTime is how long a host is not chosen as a reader after it lost contact with the store.
	exclusionTime = 4 * time.Second
	// pollTimeout bounds one query; after it, the next reader is queried.
	pollTimeout = 400 * time.Millisecond
	// maxSumsAge is the age from which the other hosts' figures are ignored, and heartbeats carry the figures again.
	maxSumsAge = 2500 * time.Millisecond
	// minReported is the fraction of the other hosts that the figures must cover.
	minReported = 0.5
	// maxPeersAsked is the number of hosts of a small fleet that are queried in turn for the tables while the store
	// does not answer.
	maxPeersAsked = 2
)

// table is a host's view of one of the platform's tables.
type table interface {
	// Version returns the version of the view, 0 before the first read.
	Version() int64
	// Unreachable reports whether the host's last reads of the table failed.
	Unreachable() bool
	// Age returns the age of the view; known is false before the first read.
	Age() (age time.Duration, known bool)
	// Merge merges another host's changes to the table, from the answer to a query sent at the time sent, and reports
	// whether they were usable.
	Merge(d *delta.Delta, sent time.Time) bool
	// ChangesSince returns the changes after the version that another host has; ok is false while the table is not known.
	ChangesSince(have int64) (d delta.Delta, ok bool)
}

// site is the host that takes part in the exchange.
type site interface {
	// Schedule returns how often the host reads tables and sends reports at present.
	Schedule() sched.Schedule
	// Live returns the hosts that take requests, as far as known.
	Live(now time.Time) []beat.Heartbeat
	// Own returns the host's own figures.
	Own(now time.Time) *stats.Stats
	// NearLimit reports whether some account is near its limit, so that figures must be exchanged more often.
	NearLimit(now time.Time) bool
	// SetOthers sets the combined figures of all other hosts.
	SetOthers(others *stats.Stats, now time.Time)
	// Query sends a query to another host.
	Query(ctx context.Context, h beat.Heartbeat, q query.Query) (reply.Reply, error)
	// Usage returns the newest window for which the host's counts are final, and its newest windows.
	Usage(now time.Time) (through int64, windows []window.Window)
	// AcceptUsage accepts another host's usage, to be written to the store, and returns the newest window of that host that
	// the store has taken, 0 for none.
	AcceptUsage(q query.Query) (stored int64)
}

// Polls is one host's side of the exchange.
//
// In a large fleet a few readers in each data centre read the platform's tables, and the other hosts poll them; the
// figures are aggregated on the way, by data centre first. In a small fleet every host reads the tables itself and
// queries others only when the store does not answer it. Poll must not be called concurrently; the other methods may.
type Polls struct {
	// Reader chooses the readers.
	Reader reader.Reader
	// Site is the host.
	Site site
	// ProbeTable is the name of the table that changes most often: its reads show whether the store answers a host.
	ProbeTable string
	// Now returns the time, and BootClock the clock of the tables' ages.
	Now, BootClock func() time.Time
	// Log receives a line for each change of role and for each reader with a stale view.
	Log hclog.Logger

	// tables holds the exchanged tables by name.
	tables map[string]table
	tally  tally.Tally
	// role is the host's roles.Role in its data centre.
	role atomic.Uint32
	// totals holds the figures of all other hosts as last received from a reader.
	totals atomic.Pointer[receivedTotals]
	// ackedWindow is the newest window whose final counts a reader has written to the store.
	ackedWindow atomic.Int64
	// nextFull is when the next full poll is due. This field and those below are only used by Poll.
	nextFull time.Time
	// readers are the readers that this host queries, in order, and primaries the primary readers of the other data
	// centres, as of the last full poll.
	readers, primaries []beat.Heartbeat
	// excluded holds the hosts that must not be readers, as they lost contact with the store, and until when.
	excluded map[host.ID]time.Time
}

// receivedTotals is the figures of all other hosts, as received at a time.
type receivedTotals struct {
	others *stats.Stats
	at     time.Time
}

// Add adds an exchanged table; all tables are added before the first Poll.
func (p *Polls) Add(name string, t table) {
	if p.tables == nil {
		p.tables = map[string]table{}
	}
	p.tables[name] = t
}

// Role returns the host's role in its data centre; it only has a meaning in a large fleet.
func (p *Polls) Role() roles.Role { return roles.Role(p.role.Load()) }

// IsReader reports whether the host reads the tables for others.
func (p *Polls) IsReader() bool { return p.Role() != roles.Other }

// UsageAcked returns the newest window for which a reader has written the host's usage to the store.
func (p *Polls) UsageAcked() int64 { return p.ackedWindow.Load() }

// Poll polls once and returns the time until the next call is due. In a small fleet it polls only while the store
// does not answer this host; in a large one, a poll before the next full one is due is brief.
func (p *Polls) Poll(ctx context.Context) time.Duration {
	started := p.Now()
	schedule := p.Site.Schedule()
	if !schedule.Large() {
		return p.pollSmallFleet(ctx, schedule)
	}
	brief := started.Before(p.nextFull)
	p.pollOnce(ctx, brief)
	if !brief {
		p.nextFull = started.Add(p.fullInterval())
	}
	now := p.Now()
	left := p.nextFull.Sub(now)
	if interval := schedule.BriefPollInterval(); left >= interval+interval/2 && p.Site.NearLimit(now) {
		return interval
	}
	return left
}

// fullInterval returns the time between full polls.
func (p *Polls) fullInterval() time.Duration {
	if p.probe().Version() == 0 {
		return startInterval
	}
	return p.Site.Schedule().OwnPollInterval()
}

func (p *Polls) probe() table { return p.tables[p.ProbeTable] }

// pollSmallFleet queries other hosts of a small fleet for the tables if the store does not answer this one.
func (p *Polls) pollSmallFleet(ctx context.Context, schedule sched.Schedule) time.Duration {
	age, known := p.probe().Age()
	if known && !schedule.Overdue(age) {
		return schedule.OwnPollInterval() / 2
	}
	now := p.Now()
	live := slices.DeleteFunc(p.Site.Live(now), func(h beat.Heartbeat) bool { return h.Host == p.Reader.Self })
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	p.askInTurn(ctx, live[:min(maxPeersAsked, len(live))], query.Query{Versions: p.versions()}, nil)
	return schedule.OwnPollInterval()
}

// pollOnce polls once; a brief poll carries accounts' figures only.
func (p *Polls) pollOnce(ctx context.Context, brief bool) {
	now := p.Now()
	if !brief {
		p.updateRole(now)
	}
	own := p.Site.Own(now)
	group := own
	if p.IsReader() {
		group = p.tally.Group(own, now)
	}
	if brief {
		own, group = own.OnlyAccounts(), group.OnlyAccounts()
	}
	if p.Role() == roles.Primary {
		p.exchange(ctx, p.primaries, group)
	} else {
		p.askInTurn(ctx, p.readers, p.query(group, now), own)
	}
	now = p.Now()
	if others := p.sufficient(now); others != nil {
		p.Site.SetOthers(others, now)
	}
}

// updateRole determines the host's role and the hosts that it polls.
func (p *Polls) updateRole(now time.Time) {
	live := p.eligible(p.Site.Live(now), now)
	role := p.Reader.Role(live)
	if p.role.Swap(uint32(role)) != uint32(role) {
		p.Log.Info("role changed", "role", role.String(), "hosts", len(live))
	}
	p.readers, p.primaries = nil, nil
	if role == roles.Primary {
		p.primaries = p.Reader.Primaries(live)
	} else {
		p.readers = p.Reader.Upstreams(live)
	}
}

// query returns the query that reports a group's figures.
func (p *Polls) query(group *stats.Stats, now time.Time) query.Query {
	q := query.Query{Stats: *group}
	if group.AccountsOnly {
		return q
	}
	q.Versions = p.versions()
	if through, windows := p.Site.Usage(now); p.ackedWindow.Load() < through && !p.IsReader() {
		q.FinalWindow, q.Usage = through, windows
	}
	return q
}

// eligible returns the hosts that may be readers: all but those known to have lost contact with the store.
func (p *Polls) eligible(live []beat.Heartbeat, now time.Time) []beat.Heartbeat {
	if p.excluded == nil {
		p.excluded = map[host.ID]time.Time{}
	}
	maps.DeleteFunc(p.excluded, func(_ host.ID, until time.Time) bool { return now.After(until) })
	if p.probe().Unreachable() {
		p.excluded[p.Reader.Self] = now.Add(exclusionTime)
	}
	return slices.DeleteFunc(live, func(h beat.Heartbeat) bool {
		_, excluded := p.excluded[h.Host]
		return excluded
	})
}

// exchange exchanges data centres' totals with the other primary readers. Of each pair, the one with the lower ID sends
// the query. The other sends one too if it got none recently, because hosts may disagree on which the primaries are.
func (p *Polls) exchange(ctx context.Context, primaries []beat.Heartbeat, group *stats.Stats) {
	// The tally accepts the answers in any order.
	var g sync.WaitGroup
	for _, h := range primaries {
		if h.Host < p.Reader.Self && p.tally.GroupReported(h.Host, 2*p.Site.Schedule().OwnPollInterval(), p.Now()) {
			continue
		}
		g.Go(func() {
			r, err := p.send(ctx, h, query.Query{Stats: *group, FromReader: true})
			if err == nil && r.Total != nil {
				p.tally.UpdateGroup(h.Host, r.Total, p.Now())
			}
		})
	}
	g.Wait()
}

// askInTurn queries hosts in turn until an answer is usable; own is the figures that the query reports, nil if none.
func (p *Polls) askInTurn(ctx context.Context, hosts []beat.Heartbeat, q query.Query, own *stats.Stats) {
	for _, h := range hosts {
		sent := p.BootClock()
		r, err := p.send(ctx, h, q)
		if err != nil {
			continue
		}
		if p.accept(&r, q, own, sent) {
			return
		}
		p.excludeStale(h.Host, &r)
	}
}

func (p *Polls) send(ctx context.Context, h beat.Heartbeat, q query.Query) (reply.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return p.Site.Query(ctx, h, q)
}

// accept applies an answer and reports whether it was usable.
func (p *Polls) accept(r *reply.Reply, q query.Query, own *stats.Stats, sent time.Time) bool {
	useful := r.IsReader
	for name := range q.Versions {
		d, ok := r.Deltas[name]
		useful = ok && p.tables[name].Merge(&d, sent) && useful
	}
	if r.AckedWindow > p.ackedWindow.Load() {
		p.ackedWindow.Store(r.AckedWindow)
	}
	if r.IsReader && r.Total != nil && own != nil {
		p.setTotals(r.Total.Without(own))
	}
	return useful
}

// setTotals stores the figures of all other hosts; brief ones replace the accounts' figures only.
func (p *Polls) setTotals(others *stats.Stats) {
	if previous := p.totals.Load(); previous != nil && others.AccountsOnly {
		others = previous.others.WithAccounts(others)
	}
	p.totals.Store(&receivedTotals{others: others, at: p.Now()})
}

// excludeStale excludes a host from the readers for a while if it has lost contact with the store: its answer
// says so, or it regards itself as a reader but its view is stale. A host that does not know yet that it is a reader is
// not excluded, nor is any host of a small fleet.
func (p *Polls) excludeStale(id host.ID, r *reply.Reply) {
	age := time.Duration(r.Deltas[p.ProbeTable].AgeMillis) * time.Millisecond
	if p.excluded == nil || !r.TablesUnreachable && (!r.IsReader || !p.Site.Schedule().Stale(age)) {
		return
	}
	p.excluded[id] = p.Now().Add(exclusionTime)
	p.Log.Info("reader's view is stale; excluding it for a while", "reader", id, "age-ms", age.Milliseconds(), "blind", r.TablesUnreachable)
}

// versions returns the versions of this host's views of the tables.
func (p *Polls) versions() map[string]int64 {
	out := map[string]int64{}
	for name, t := range p.tables {
		out[name] = t.Version()
	}
	return out
}

// others returns the figures of all other hosts, as far as known; nil if there are none or they have expired.
func (p *Polls) others(now time.Time) *stats.Stats {
	if p.Role() == roles.Primary {
		return p.tally.Others(now)
	}
	t := p.totals.Load()
	if t == nil || now.Sub(t.at) >= maxSumsAge {
		return nil
	}
	return t.others.AgedBy(now.Sub(t.at))
}

// HasFigures reports whether the polls provide figures of enough of the other hosts.
func (p *Polls) HasFigures(now time.Time) bool { return p.sufficient(now) != nil }

// sufficient returns the other hosts' figures from the polls; nil if they cover too few hosts, or the fleet is small.
func (p *Polls) sufficient(now time.Time) *stats.Stats {
	schedule := p.Site.Schedule()
	if !schedule.Large() {
		return nil
	}
	others := p.others(now)
	if others == nil || float64(others.Hosts) < max(1, minReported*float64(schedule.Hosts-1)) {
		return nil
	}
	return others
}
