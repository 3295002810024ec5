package site

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/coordination/nearby"
	"github.com/dragonflyroute/dragonflyroute/coordination/polls"
	"github.com/dragonflyroute/dragonflyroute/coordination/reader"
	"github.com/dragonflyroute/dragonflyroute/coordination/sched"
	"github.com/dragonflyroute/dragonflyroute/coordination/spread"
	"github.com/dragonflyroute/dragonflyroute/coordination/watch"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
	"github.com/dragonflyroute/dragonflyroute/protocol/pulse"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/reply"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
	"github.com/dragonflyroute/dragonflyroute/state/mirror"
	"github.com/dragonflyroute/dragonflyroute/state/newest"
	"github.com/dragonflyroute/dragonflyroute/transport/clock"
	"github.com/dragonflyroute/dragonflyroute/transport/peers"
)

const (
	// roundTime bounds one round of heartbeats.
	roundTime = 400 * time.Millisecond
	// silenceTime is the silence after which a host that did not answer is left out of address answers.
	silenceTime = 1500 * time.Millisecond
	// keptPeers bounds the connections to peers that stay open.
	keptPeers = 64
	// censusStep is the time between looks at endpoints that are missing.
	censusStep = 200 * time.Millisecond
	// quickRead is the time between reads of the endpoints' rows for quickReads after the table was away: endpoints come
	// back then.
	quickRead  = 400 * time.Millisecond
	quickReads = 2500 * time.Millisecond
	// goneTime is how long a host must have been gone before its row is removed.
	goneTime = 30 * time.Second
	// joinAgain is the time between tries to write the own row.
	joinAgain = 300 * time.Millisecond
)

func (s *Site) buildPeers() {
	s.peers = &peers.Peers{Secret: peerSecret, Service: &service{s}, Contacts: s.fleet.Contacts, Keep: keptPeers}
	s.spread = &spread.Gossip{
		Peers:        s.peers,
		Fleet:        s.fleet,
		Catalogue:    &newest.Catalogue{},
		Trials:       s.scores,
		Self:         s.pulse,
		OnHeartbeat:  s.heard,
		Now:          time.Now,
		Rand:         rand.New(rand.NewPCG(uint64(s.incarnation), 0)),
		RoundTimeout: roundTime,
		Started:      time.Now(),
	}
}

// peerSecret stands where the settings name no secret: the platform's network is the entry hosts' own.
const peerSecret = "entry-hosts"

// The names of the tables that hosts tell each other.
const (
	operatorTable = "operator"
	serversTable  = "servers"
	hostsTable    = "hosts"
)

// buildPolls makes this host's part in the exchange of tables and figures; buildTables adds the tables.
func (s *Site) buildPolls() {
	s.polls = &polls.Polls{
		Reader:     reader.Reader{Self: s.Host, DataCentre: s.DataCentre},
		Site:       exchange{s},
		ProbeTable: serversTable,
		Now:        time.Now,
		BootClock:  clock.Boot,
		Log:        s.Log,
	}
}

// buildTables makes the readers of the tables.
func (s *Site) buildTables() {
	s.tables = map[string]*watch.Watcher{
		operatorTable: {
			Name: operatorTable, Source: s.Operator, LongPollWait: func() time.Duration { return s.Schedule().OperatorWait() },
			OnSnapshot: s.operator, OnChanges: s.operator, ReadDelay: s.tableRest(s.ConfigApply),
		},
		serversTable: {
			Name: serversTable, Source: s.Servers, Interval: s.serversPause,
			OnSnapshot: s.census.Replace, OnChanges: s.census.Apply, OnRecovery: s.serversRegained, ReadDelay: s.tableRest(s.EndpointDrain),
		},
		hostsTable: {
			Name: hostsTable, Source: s.Hosts, LongPollWait: func() time.Duration { return s.Schedule().HostsWait() },
			Interval:   func() time.Duration { return s.Schedule().HostsPause() },
			OnSnapshot: s.allHosts, OnChanges: s.someHosts,
			ReadDelay: func(age time.Duration, known bool) time.Duration { return s.Schedule().HostsReadDelay(age, known) },
		},
	}
	for name, t := range s.tables {
		t.Now, t.Log, t.Mirror = clock.Boot, s.Log, &mirror.Mirror{}
		s.polls.Add(name, t)
	}
	s.tables[serversTable].Mirror.Equivalent = s.sameEndpoint
}

// Schedule returns how often this host reads and tells now.
func (s *Site) Schedule() sched.Schedule {
	return sched.Schedule{
		Hosts:     s.hosts(),
		Role:      s.polls.Role(),
		NewSystem: s.First,
		HostsRead: s.tables[hostsTable].Version() > 0,
		Drain:     s.EndpointDrain,
		Apply:     s.ConfigApply,
	}
}

// tableRest returns how long a table need not be read here whose changes must be known within a time.
func (s *Site) tableRest(within time.Duration) func(age time.Duration, known bool) time.Duration {
	return func(age time.Duration, known bool) time.Duration { return s.Schedule().ReadDelay(within, age, known) }
}

// sameEndpoint reports whether two rows of an endpoint mean the same.
func (s *Site) sameEndpoint(key string, a, b []byte) bool {
	old, err := s.Endpoint(key, a)
	if err != nil {
		return false
	}
	now, err := s.Endpoint(key, b)
	return err == nil && old == now
}

// serversPause returns the time until the next read of the endpoints' rows.
func (s *Site) serversPause() time.Duration {
	pause := s.Schedule().EndpointsPause()
	if time.Now().UnixNano()-s.serversBack.Load() < quickReads.Nanoseconds() {
		return min(pause, quickRead)
	}
	return pause
}

// serversRegained notes that the endpoints' table answers again, since a time ago.
func (s *Site) serversRegained(outage, ago time.Duration) {
	s.serversBack.Store(time.Now().Add(-ago).UnixNano())
	s.census.Recovered(outage, ago)
}

// operator takes rows of the operator's table.
func (s *Site) operator(all []record.Record) {
	for _, r := range all {
		if s.IsMove(r.Key) && !r.Dropped {
			s.askMove(r)
		}
		if r.Key != s.ConfigKey || r.Dropped {
			continue
		}
		next, err := s.Rules(r.Value)
		if err != nil {
			s.Log.Error("configuration not taken; the one before stays in force", "version", r.Version, "error", err)
			continue
		}
		if s.Policy.Offer(next) {
			s.Log.Info("configuration in force", "revision", next.Revision, "version", r.Version, "routes", len(next.Paths), "accounts", len(next.Clients))
		}
	}
}

// allHosts takes the whole table of entry hosts.
func (s *Site) allHosts(all []record.Record) {
	s.members = map[string]roster.Row{}
	s.someHosts(all)
}

// someHosts takes changed rows of entry hosts.
func (s *Site) someHosts(all []record.Record) {
	for _, r := range all {
		if r.Dropped {
			delete(s.members, r.Key)
			continue
		}
		if isMoveRow(r.Key) {
			s.takeMove(r)
			continue
		}
		var row roster.Row
		if err := json.Unmarshal(r.Value, &row); err != nil {
			s.Log.Warn("row names no entry host", "key", r.Key, "version", r.Version, "error", err)
			continue
		}
		s.members[r.Key] = row
	}
	var list []roster.Row
	for _, row := range s.members {
		list = append(list, row)
	}
	s.fleet.SetListed(list)
	_, listed := s.members[string(s.Host)]
	s.unlisted.Store(s.wasListed && !listed)
	s.wasListed = s.wasListed || listed
	s.Log.Info("entry hosts listed", "hosts", len(list), "this-one", listed)
}

// join writes the process's own row until that succeeds.
func (s *Site) join(ctx context.Context) {
	row := roster.Row{ID: endpt.ID(s.Host), Address: s.Callers, DataCentre: s.DataCentre, State: roster.Live, Peers: s.peerAddress(), Born: s.incarnation, Weight: s.Capacity}
	if leaving, _ := s.Leaving(); leaving {
		row.State = roster.Leaving
	}
	value, err := json.Marshal(row)
	if err != nil {
		s.Log.Error("own row not encoded", "error", err)
		return
	}
	for ctx.Err() == nil {
		_, err := s.Hosts.Commit(ctx, table.Txn{}.Put(string(s.Host), value))
		if err == nil {
			s.Log.Info("listed", "state", row.State)
			return
		}
		s.Log.Warn("own row not written", "state", row.State, "error", err)
		pause(ctx, joinAgain)
	}
}

// removeGone removes the rows of hosts that have been gone for long, so that they count no more; one that is wrongly
// removed writes its row again.
func (s *Site) removeGone(ctx context.Context, now time.Time) {
	since := map[host.ID]time.Time{}
	for id := range s.fleet.Doubts(now).Gone {
		since[id] = now
		if at, ok := s.goneSince[id]; ok {
			since[id] = at
		}
		if now.Sub(since[id]) < goneTime {
			continue
		}
		_, err := s.Hosts.Commit(ctx, table.Txn{}.Delete(string(id)))
		s.Log.Info("row of a host that is gone removed", "host", id, "since-ms", now.Sub(since[id]).Milliseconds(), "error", err)
		delete(since, id)
	}
	s.goneSince = since
}

// rounds joins the entry hosts and then exchanges heartbeats.
func (s *Site) rounds(ctx context.Context) error {
	s.join(ctx)
	for ctx.Err() == nil {
		timer := time.NewTimer(s.Schedule().HeartbeatInterval())
		if s.unlisted.Swap(false) {
			s.join(ctx)
		}
		s.spread.Round(ctx)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
	return nil
}

// tellAll sends a heartbeat to every entry host at once.
func (s *Site) tellAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTime)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(keptPeers)
	for _, address := range s.fleet.Contacts() {
		g.Go(func() error {
			s.spread.Exchange(ctx, address)
			return nil
		})
	}
	_ = g.Wait()
}

// mostAddresses is the number of addresses that callers take from one answer.
const mostAddresses = 64

// EntryAddresses returns the callers' addresses of the entry hosts for callers of a data centre, never none.
func (s *Site) EntryAddresses(from centre.ID) []string {
	live := s.live(time.Now())
	if len(live) == 0 {
		return []string{s.Callers}
	}
	return nearby.Nearby{MaxHosts: mostAddresses, Self: s.Host}.Addresses(from, live)
}

// live returns the entry hosts that take requests, this one first unless it stops.
func (s *Site) live(now time.Time) []pulse.Pulse {
	var out []pulse.Pulse
	if leaving, _ := s.Leaving(); !leaving {
		out = append(out, pulse.Pulse{Host: s.Host, Callers: s.Callers, Peers: s.peerAddress(), DataCentre: s.DataCentre, State: pulse.Live, Weight: s.Capacity})
	}
	for _, p := range s.fleet.Alive(now) {
		if p.State == pulse.Live {
			out = append(out, p)
		}
	}
	return out
}

// service answers the other entry hosts.
type service struct{ s *Site }

// Pulse takes a peer's heartbeat and returns the process's own.
func (p *service) Pulse(got pulse.Pulse) pulse.Pulse {
	p.s.spread.Receive(got)
	return p.s.pulse()
}

// Catalogue returns nil: the operator's configuration comes from the store.
func (p *service) Catalogue() *catlog.Catalogue { return nil }

// Offer takes nothing.
func (p *service) Offer(*catlog.Catalogue) {}

// Evidence returns nothing.
func (p *service) Evidence(string) []trial.Trial { return nil }

// Query answers what another host asks of the tables and of all hosts' figures.
func (p *service) Query(q query.Query) reply.Reply { return p.s.polls.Answer(q) }

// Accept takes no requests: callers come back by themselves.
func (p *service) Accept(ticket.Ticket) bool { return false }

// Lend grants nothing: parts of limits follow the demand in heartbeats.
func (p *service) Lend(ask loan.Loan) loan.Loan {
	return loan.Loan{Account: ask.Account, Entry: ask.Entry, By: p.s.Host}
}

// Return takes nothing back.
func (p *service) Return(loan.Loan) {}
