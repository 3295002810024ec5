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

	"github.com/dragonflyroute/dragonflyroute/coordination/paces"
	"github.com/dragonflyroute/dragonflyroute/coordination/reader"
	"github.com/dragonflyroute/dragonflyroute/coordination/tally"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/news"
	"github.com/dragonflyroute/dragonflyroute/protocol/pulse"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/reply"
	"github.com/dragonflyroute/dragonflyroute/protocol/roles"
	"github.com/dragonflyroute/dragonflyroute/protocol/sums"
	"github.com/dragonflyroute/dragonflyroute/protocol/window"
)

const (
	// startPoll is the time between polls while the tables are not known.
	startPoll = 100 * time.Millisecond
	// blindTime is how long a host that the store does not answer is no reader.
	blindTime = 4 * time.Second
	// pollTimeout bounds one poll: another reader is asked after it.
	pollTimeout = 400 * time.Millisecond
	// sumsAge is the age from which the other hosts' figures are no longer believed, and heartbeats carry them again.
	sumsAge = 2500 * time.Millisecond
	// sumsPart is the part of the other hosts that must be in the figures.
	sumsPart = 0.5
	// askedPeers is the number of hosts of a small fleet that are asked in turn for tables that the store does not tell.
	askedPeers = 2
)

type table interface {
	// Version is the version that the view has, nought before the first read.
	Version() int64
	// Lost reports whether the table did not answer this host the last times.
	Lost() bool
	// Age returns how old the view is.
	Age() (age time.Duration, known bool)
	// Offer takes what another host tells of the table in answer to a question that was sent at a time, and reports whether
	// it was of use.
	Offer(n *news.News, asked time.Time) bool
	// News returns what changed after the version that another host has; ok is false while the table is not known.
	News(have int64) (n news.News, ok bool)
}

type site interface {
	// Paces tells how often the host reads and tells now.
	Paces() paces.Paces
	// Live returns the hosts that take requests, as far as is known.
	Live(now time.Time) []pulse.Pulse
	// Own returns the host's own figures.
	Own(now time.Time) *sums.Sums
	// Tight reports whether the accounts' figures should be young.
	Tight(now time.Time) bool
	// HearRest takes the figures of all other hosts together.
	HearRest(others *sums.Sums, now time.Time)
	// Query asks another host.
	Query(ctx context.Context, h pulse.Pulse, q query.Query) (reply.Reply, error)
	// Usage returns the newest window of which the host's counts are final, and its newest windows.
	Usage(now time.Time) (through int64, windows []window.Window)
	// TakeUsage takes another host's usage, to be written into the store.
	TakeUsage(q query.Query)
}

// Polls is one host's part in the exchange.
//
// In a large fleet a few readers in each data centre read the platform's tables, and the other hosts ask them; the figures are
// added up on the way. In a small one every host reads by itself, and asks others only when the store does not answer it.
// Turn must not be called concurrently; the other methods may.
type Polls struct {
	// Reader chooses the readers.
	Reader reader.Reader
	// Site is the host.
	Site site
	// Watched names the table that changes all the time: a host that the store does not answer is known by it.
	Watched string
	// Now returns the time, and Boot that of the tables' ages.
	Now, Boot func() time.Time
	// Log takes a line for each change of role and for readers of no use.
	Log hclog.Logger

	// tables are those that hosts tell each other.
	tables map[string]table
	tally  tally.Tally
	// role is a roles.Role: what this host does for its data centre.
	role atomic.Uint32
	// told holds the figures of all other hosts as a reader told them last.
	told atomic.Pointer[told]
	// taken is the newest window whose final counts a reader has taken.
	taken atomic.Int64
	// full is when the next whole poll is due; only Turn uses it and what follows.
	full time.Time
	// asks and heads are the readers that this host asks, in order, and the other data centres' heads, as of the last whole poll.
	asks, heads []pulse.Pulse
	// blind holds until when hosts are no readers whose view of the tables has grown old while this host's has not.
	blind map[host.ID]time.Time
}

type told struct {
	others *sums.Sums
	at     time.Time
}

// Add adds a table that hosts tell each other; all are added before the first Turn.
func (p *Polls) Add(name string, t table) {
	if p.tables == nil {
		p.tables = map[string]table{}
	}
	p.tables[name] = t
}

// Role returns what the host does for its data centre in a large fleet.
func (p *Polls) Role() roles.Role { return roles.Role(p.role.Load()) }

// Reads reports whether the host reads the tables for others.
func (p *Polls) Reads() bool { return p.Role() != roles.Other }

// Taken returns the newest window of which a reader has taken the host's usage.
func (p *Polls) Taken() int64 { return p.taken.Load() }

// Turn polls if that is due, and returns the time until it shall be called again.
func (p *Polls) Turn(ctx context.Context) time.Duration {
	begun := p.Now()
	pace := p.Site.Paces()
	if !pace.Large() {
		return p.alone(ctx, pace)
	}
	brief := begun.Before(p.full)
	p.step(ctx, brief)
	if !brief {
		p.full = begun.Add(p.wait())
	}
	now := p.Now()
	left := p.full.Sub(now)
	if each := pace.BriefPoll(); left >= each+each/2 && p.Site.Tight(now) {
		return each
	}
	return left
}

// wait returns the time between whole polls.
func (p *Polls) wait() time.Duration {
	if p.watched().Version() == 0 {
		return startPoll
	}
	return p.Site.Paces().OwnPoll()
}

func (p *Polls) watched() table { return p.tables[p.Watched] }

// alone asks other hosts of a small fleet when the store does not answer this one.
func (p *Polls) alone(ctx context.Context, pace paces.Paces) time.Duration {
	age, known := p.watched().Age()
	if known && !pace.Overdue(age) {
		return pace.OwnPoll() / 2
	}
	now := p.Now()
	live := slices.DeleteFunc(p.Site.Live(now), func(h pulse.Pulse) bool { return h.Host == p.Reader.Self })
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	p.ask(ctx, live[:min(askedPeers, len(live))], query.Query{Have: p.have()}, nil)
	return pace.OwnPoll()
}

// step polls once; a brief poll is for accounts' figures alone.
func (p *Polls) step(ctx context.Context, brief bool) {
	now := p.Now()
	if !brief {
		p.choose(now)
	}
	own := p.Site.Own(now)
	group := own
	if p.Reads() {
		group = p.tally.Group(own, now)
	}
	if brief {
		own, group = own.Accounts(), group.Accounts()
	}
	if p.Role() == roles.Head {
		p.exchange(ctx, p.heads, group)
	} else {
		p.ask(ctx, p.asks, p.query(group, now), own)
	}
	now = p.Now()
	if others := p.enough(now); others != nil {
		p.Site.HearRest(others, now)
	}
}

// choose finds the host's role and whom it asks.
func (p *Polls) choose(now time.Time) {
	live := p.sighted(p.Site.Live(now), now)
	role := p.Reader.Role(live)
	if p.role.Swap(uint32(role)) != uint32(role) {
		p.Log.Info("role changed", "role", role.String(), "hosts", len(live))
	}
	p.asks, p.heads = nil, nil
	if role == roles.Head {
		p.heads = p.Reader.Heads(live)
	} else {
		p.asks = p.Reader.Asks(live)
	}
}

// query makes the query that tells a group's figures.
func (p *Polls) query(group *sums.Sums, now time.Time) query.Query {
	q := query.Query{Own: *group}
	if group.Brief {
		return q
	}
	q.Have = p.have()
	if through, windows := p.Site.Usage(now); p.taken.Load() < through && !p.Reads() {
		q.Through, q.Usage = through, windows
	}
	return q
}

// sighted returns the hosts that may be readers: those that the store answers, as far as this host knows.
func (p *Polls) sighted(live []pulse.Pulse, now time.Time) []pulse.Pulse {
	if p.blind == nil {
		p.blind = map[host.ID]time.Time{}
	}
	maps.DeleteFunc(p.blind, func(_ host.ID, until time.Time) bool { return now.After(until) })
	if p.watched().Lost() {
		p.blind[p.Reader.Self] = now.Add(blindTime)
	}
	return slices.DeleteFunc(live, func(h pulse.Pulse) bool {
		_, blind := p.blind[h.Host]
		return blind
	})
}

// exchange trades the sums of data centres with the other heads. Of each two, one asks; the other does when it is not asked,
// as hosts may differ on who the heads are.
func (p *Polls) exchange(ctx context.Context, heads []pulse.Pulse, group *sums.Sums) {
	// The tally takes the answers in the order in which they come.
	var g sync.WaitGroup
	for _, h := range heads {
		if h.Host < p.Reader.Self && p.tally.HeardGroup(h.Host, 2*p.Site.Paces().OwnPoll(), p.Now()) {
			continue
		}
		g.Go(func() {
			r, err := p.send(ctx, h, query.Query{Own: *group, Group: true})
			if err == nil && r.Total != nil {
				p.tally.HearGroup(h.Host, r.Total, p.Now())
			}
		})
	}
	g.Wait()
}

// ask asks hosts in turn until one was of use; own are this host's figures, nil when it told none.
func (p *Polls) ask(ctx context.Context, hosts []pulse.Pulse, q query.Query, own *sums.Sums) {
	for _, h := range hosts {
		asked := p.Boot()
		r, err := p.send(ctx, h, q)
		if err != nil {
			continue
		}
		if p.take(&r, q, own, asked) {
			return
		}
		p.doubt(h.Host, &r)
	}
}

func (p *Polls) send(ctx context.Context, h pulse.Pulse, q query.Query) (reply.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return p.Site.Query(ctx, h, q)
}

// take takes an answer and reports whether it was of use.
func (p *Polls) take(r *reply.Reply, q query.Query, own *sums.Sums, asked time.Time) bool {
	useful := r.Reads
	for name := range q.Have {
		n, ok := r.News[name]
		useful = ok && p.tables[name].Offer(&n, asked) && useful
	}
	if r.Through > 0 {
		p.taken.Store(r.Through)
	}
	if r.Reads && r.Total != nil && own != nil {
		p.hearTotal(r.Total.Without(own))
	}
	return useful
}

// hearTotal takes the figures of all other hosts.
func (p *Polls) hearTotal(others *sums.Sums) {
	if before := p.told.Load(); before != nil && others.Brief {
		others = before.others.Renewed(others)
	}
	p.told.Store(&told{others: others, at: p.Now()})
}

// doubt takes a host for no reader for a while that the store does not answer: it says so, or takes itself for a reader and
// has an old view. A host that does not know yet that it shall be a reader is not doubted, and none of a small fleet is.
func (p *Polls) doubt(id host.ID, r *reply.Reply) {
	age := time.Duration(r.News[p.Watched].AgeMillis) * time.Millisecond
	if p.blind == nil || !r.Blind && (!r.Reads || !p.Site.Paces().Old(age)) {
		return
	}
	p.blind[id] = p.Now().Add(blindTime)
	p.Log.Info("reader's view is old", "reader", id, "age-ms", age.Milliseconds(), "blind", r.Blind)
}

// have returns the versions of the tables that this host has.
func (p *Polls) have() map[string]int64 {
	out := map[string]int64{}
	for name, t := range p.tables {
		out[name] = t.Version()
	}
	return out
}

// others returns the figures of all other hosts as far as they are known, nil when they are not.
func (p *Polls) others(now time.Time) *sums.Sums {
	if p.Role() == roles.Head {
		return p.tally.Others(now)
	}
	t := p.told.Load()
	if t == nil || now.Sub(t.at) >= sumsAge {
		return nil
	}
	return t.others.Older(now.Sub(t.at))
}

// Fresh reports whether the figures of enough of the other hosts are known this way.
func (p *Polls) Fresh(now time.Time) bool { return p.enough(now) != nil }

// enough returns the figures of the other hosts, nil unless those of enough of them are known this way.
func (p *Polls) enough(now time.Time) *sums.Sums {
	pace := p.Site.Paces()
	if !pace.Large() {
		return nil
	}
	others := p.others(now)
	if others == nil || float64(others.Hosts) < max(1, sumsPart*float64(pace.Hosts-1)) {
		return nil
	}
	return others
}
