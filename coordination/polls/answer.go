package polls

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/news"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/reply"
	"github.com/dragonflyroute/dragonflyroute/protocol/roles"
	"github.com/dragonflyroute/dragonflyroute/protocol/sums"
)

// Answer answers another host's query.
func (p *Polls) Answer(q query.Query) reply.Reply {
	now := p.Now()
	r := reply.Reply{Reads: p.sees(), Blind: p.watched().Lost()}
	if q.Group {
		r.Total = p.group(q, now)
		return r
	}
	r.News = p.news(q.Have)
	if !r.Reads || q.Own.Hosts == 0 {
		return r
	}
	p.tally.Hear(q.Host, &q.Own, now)
	r.Total = asked(q, p.total(now))
	if q.Through > 0 {
		p.Site.TakeUsage(q)
		r.Through = q.Through
	}
	return r
}

// sees reports whether the host's view of the tables is of use to others.
func (p *Polls) sees() bool {
	pace := p.Site.Paces()
	if pace.Large() {
		return p.Reads()
	}
	age, known := p.watched().Age()
	return known && !pace.Overdue(age)
}

// group takes the figures of another data centre and returns those of the host's own, nil if it does not add them up.
func (p *Polls) group(q query.Query, now time.Time) *sums.Sums {
	if p.Role() != roles.Head {
		return nil
	}
	p.tally.HearGroup(q.Host, &q.Own, now)
	return asked(q, p.tally.Group(p.Site.Own(now), now))
}

// total returns the figures of all hosts, nil while they are not known.
func (p *Polls) total(now time.Time) *sums.Sums {
	own := p.Site.Own(now)
	if p.Role() == roles.Head {
		return p.tally.Total(own, now)
	}
	others := p.others(now)
	if others == nil {
		return nil
	}
	out := &sums.Sums{}
	out.Add(others)
	out.Add(own)
	return out
}

// asked returns the part of all hosts' figures that a query is for.
func asked(q query.Query, total *sums.Sums) *sums.Sums {
	if total == nil || !q.Own.Brief {
		return total
	}
	return total.Accounts()
}

// news returns what changed in the tables since the versions that another host has.
func (p *Polls) news(have map[string]int64) map[string]news.News {
	out := map[string]news.News{}
	for name, version := range have {
		t := p.tables[name]
		if t == nil {
			continue
		}
		if n, ok := t.News(version); ok {
			out[name] = n
		}
	}
	return out
}
