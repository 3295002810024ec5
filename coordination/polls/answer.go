package polls

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/delta"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/reply"
	"github.com/dragonflyroute/dragonflyroute/protocol/roles"
	"github.com/dragonflyroute/dragonflyroute/protocol/stats"
)

// Answer answers another host's query, and records the figures and usage that it carries.
func (p *Polls) Answer(q query.Query) reply.Reply {
	now := p.Now()
	r := reply.Reply{IsReader: p.viewUsable(), TablesUnreachable: p.probe().Unreachable()}
	if q.FromReader {
		r.Total = p.answerGroup(q, now)
		return r
	}
	r.Deltas = p.changes(q.Versions)
	if !r.IsReader || q.Stats.Hosts == 0 {
		return r
	}
	p.tally.Update(q.Host, &q.Stats, now)
	r.Total = requested(q, p.total(now))
	if q.FinalWindow > 0 {
		r.AckedWindow = p.Site.AcceptUsage(q)
	}
	return r
}

// viewUsable reports whether the host's view of the tables is recent enough for others: that of a reader in a large
// fleet.
func (p *Polls) viewUsable() bool {
	schedule := p.Site.Schedule()
	if schedule.Large() {
		return p.IsReader()
	}
	age, known := p.probe().Age()
	return known && !schedule.Overdue(age)
}

// answerGroup records the totals of another data centre and returns those of the host's own; nil if the host is not the
// primary reader, which adds them up.
func (p *Polls) answerGroup(q query.Query, now time.Time) *stats.Stats {
	if p.Role() != roles.Primary {
		return nil
	}
	p.tally.UpdateGroup(q.Host, &q.Stats, now)
	return requested(q, p.tally.Group(p.Site.Own(now), now))
}

// total returns the figures of all hosts, nil while they are not known.
func (p *Polls) total(now time.Time) *stats.Stats {
	own := p.Site.Own(now)
	if p.Role() == roles.Primary {
		return p.tally.Total(own, now)
	}
	others := p.others(now)
	if others == nil {
		return nil
	}
	out := &stats.Stats{}
	out.Add(others)
	out.Add(own)
	return out
}

// requested returns the part of all hosts' figures that a query requests.
func requested(q query.Query, total *stats.Stats) *stats.Stats {
	if total == nil || !q.Stats.AccountsOnly {
		return total
	}
	return total.OnlyAccounts()
}

// changes returns the changes to the tables since the versions that another host has.
func (p *Polls) changes(have map[string]int64) map[string]delta.Delta {
	out := map[string]delta.Delta{}
	for name, version := range have {
		t := p.tables[name]
		if t == nil {
			continue
		}
		if d, ok := t.ChangesSince(version); ok {
			out[name] = d
		}
	}
	return out
}
