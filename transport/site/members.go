package site

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/coordination/follow"
	"github.com/dragonflyroute/dragonflyroute/coordination/nearby"
	"github.com/dragonflyroute/dragonflyroute/coordination/paces"
	"github.com/dragonflyroute/dragonflyroute/coordination/polls"
	"github.com/dragonflyroute/dragonflyroute/coordination/reader"
	"github.com/dragonflyroute/dragonflyroute/coordination/spread"
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
	"github.com/dragonflyroute/dragonflyroute/state/holder"
	"github.com/dragonflyroute/dragonflyroute/state/mirror"
	"github.com/dragonflyroute/dragonflyroute/transport/clock"
	"github.com/dragonflyroute/dragonflyroute/transport/peers"
)

const (
	// roundTimeout bounds one round of heartbeats.
	roundTimeout = 400 * time.Millisecond
	// silenceTimeout is the silence after which a host that did not answer is left out of address answers.
	silenceTimeout = 1500 * time.Millisecond
	// maxPeerConnections bounds the connections to peers that stay open.
	maxPeerConnections = 64
	// expiryInterval is the time between looks at endpoints that are missing.
	expiryInterval = 200 * time.Millisecond
	// recoveryReadInterval is the time between reads of the endpoints' rows for quickReads after the table was away: endpoints come
	// back then.
	recoveryReadInterval = 400 * time.Millisecond
	recoveryReadPeriod   = 2500 * time.Millisecond
	// downRetention is how long a host must have been gone before its row is removed.
	downRetention = 30 * time.Second
	// joinRetryInterval is the time between tries to write the own row.
	joinRetryInterval = 300 * time.Millisecond
)

func (s *Site) buildPeers() {
	s.peers = &peers.Peers{Secret: defaultPeerSecret, Service: &peerService{s}, Contacts: s.fleet.Contacts, Keep: maxPeerConnections}
	s.gossip = &spread.Spread{
		Peers:     s.peers,
		Fleet:     s.fleet,
		Holder:    &holder.Holder{},
		Score:     s.ownTrials,
		Self:      s.heartbeat,
		Heard:     s.onHeartbeat,
		Now:       time.Now,
		Rand:      rand.New(rand.NewPCG(uint64(s.incarnation), 0)),
		RoundTime: roundTimeout,
		Started:   time.Now(),
	}
}

// defaultPeerSecret stands where the settings name no secret: the platform's network is the entry hosts' own.
const defaultPeerSecret = "entry-hosts"

// The names of the tables that hosts tell each other.
const (
	operatorTable  = "operator"
	endpointsTable = "servers"
	hostsTable     = "hosts"
)

// buildPolls makes this host's part in the exchange of tables and figures; buildTables adds the tables.
func (s *Site) buildPolls() {
	s.polls = &polls.Polls{
		Reader:  reader.Reader{Self: s.Host, In: s.DataCentre},
		Site:    exchange{s},
		Watched: endpointsTable,
		Now:     time.Now,
		Boot:    clock.Boot,
		Log:     s.Log,
	}
}

// buildTables makes the readers of the tables.
func (s *Site) buildTables() {
	s.tables = map[string]*follow.Follow{
		operatorTable: {
			Name: operatorTable, Source: s.Operator, Wait: func() time.Duration { return s.Paces().OperatorWait() },
			Whole: s.applyOperator, Changed: s.applyOperator, Rest: s.readDelay(s.ConfigApply),
		},
		endpointsTable: {
			Name: endpointsTable, Source: s.Servers, Pause: s.endpointsInterval,
			Whole: s.syncer.Whole, Changed: s.syncer.Changed, Regained: s.onEndpointsRecovery, Rest: s.readDelay(s.EndpointDrain),
		},
		hostsTable: {
			Name: hostsTable, Source: s.Hosts, Wait: func() time.Duration { return s.Paces().HostsWait() },
			Pause: func() time.Duration { return s.Paces().HostsPause() },
			Whole: s.replaceHosts, Changed: s.applyHosts,
			Rest: func(age time.Duration, known bool) time.Duration { return s.Paces().HostsRest(age, known) },
		},
	}
	for name, t := range s.tables {
		t.Now, t.Log, t.Mirror = clock.Boot, s.Log, &mirror.Mirror{}
		s.polls.Add(name, t)
	}
	s.tables[endpointsTable].Mirror.Same = s.sameEndpoint
}

// Paces returns how often this host reads and tells now.
func (s *Site) Paces() paces.Paces {
	return paces.Paces{
		Hosts:  s.hosts(),
		Role:   s.polls.Role(),
		First:  s.First,
		Listed: s.tables[hostsTable].Version() > 0,
		Drain:  s.EndpointDrain,
		Apply:  s.ConfigApply,
	}
}

// readDelay returns how long a table need not be read here whose changes must be known within a time.
func (s *Site) readDelay(within time.Duration) func(age time.Duration, known bool) time.Duration {
	return func(age time.Duration, known bool) time.Duration { return s.Paces().Rest(within, age, known) }
}

// sameEndpoint reports whether two rows of an endpoint mean the same.
func (s *Site) sameEndpoint(key string, a, b []byte) bool {
	old, err := s.Endpoint(key, a)
	if err != nil {
		return false
	}
	updated, err := s.Endpoint(key, b)
	return err == nil && old == updated
}

// endpointsInterval returns the time until the next read of the endpoints' rows.
func (s *Site) endpointsInterval() time.Duration {
	pause := s.Paces().EndpointsPause()
	if time.Now().UnixNano()-s.endpointsRecovered.Load() < recoveryReadPeriod.Nanoseconds() {
		return min(pause, recoveryReadInterval)
	}
	return pause
}

// onEndpointsRecovery notes that the endpoints' table answers again, since a time ago.
func (s *Site) onEndpointsRecovery(outage, ago time.Duration) {
	s.endpointsRecovered.Store(time.Now().Add(-ago).UnixNano())
	s.syncer.Regained(outage, ago)
}

// applyOperator takes rows of the operator's table.
func (s *Site) applyOperator(all []record.Record) {
	for _, r := range all {
		if s.IsMove(r.Key) && !r.Dropped {
			s.requestMove(r)
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

// replaceHosts takes the whole table of entry hosts.
func (s *Site) replaceHosts(all []record.Record) {
	s.hostRows = map[string]roster.Row{}
	s.applyHosts(all)
}

// applyHosts takes changed rows of entry hosts.
func (s *Site) applyHosts(all []record.Record) {
	for _, r := range all {
		if r.Dropped {
			delete(s.hostRows, r.Key)
			continue
		}
		if isMoveRow(r.Key) {
			s.setMoveState(r)
			continue
		}
		var row roster.Row
		if err := json.Unmarshal(r.Value, &row); err != nil {
			s.Log.Warn("row names no entry host", "key", r.Key, "version", r.Version, "error", err)
			continue
		}
		s.hostRows[r.Key] = row
	}
	var list []roster.Row
	for _, row := range s.hostRows {
		list = append(list, row)
	}
	s.fleet.List(list)
	_, listed := s.hostRows[string(s.Host)]
	s.rowMissing.Store(s.wasListed && !listed)
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
		pause(ctx, joinRetryInterval)
	}
}

// removeDown removes the rows of hosts that have been gone for long, so that they count no more; one that is wrongly
// removed writes its row again.
func (s *Site) removeDown(ctx context.Context, now time.Time) {
	since := map[host.ID]time.Time{}
	for id := range s.fleet.Doubts(now).Gone {
		since[id] = now
		if at, ok := s.downSince[id]; ok {
			since[id] = at
		}
		if now.Sub(since[id]) < downRetention {
			continue
		}
		_, err := s.Hosts.Commit(ctx, table.Txn{}.Delete(string(id)))
		s.Log.Info("row of a host that is gone removed", "host", id, "since-ms", now.Sub(since[id]).Milliseconds(), "error", err)
		delete(since, id)
	}
	s.downSince = since
}

// gossipLoop joins the entry hosts and then exchanges heartbeats.
func (s *Site) gossipLoop(ctx context.Context) error {
	s.join(ctx)
	for ctx.Err() == nil {
		timer := time.NewTimer(s.Paces().Round())
		if s.rowMissing.Swap(false) {
			s.join(ctx)
		}
		s.gossip.Round(ctx)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
	return nil
}

// notifyPeers sends a heartbeat to every entry host at once.
func (s *Site) notifyPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxPeerConnections)
	for _, address := range s.fleet.Contacts() {
		g.Go(func() error {
			s.gossip.Exchange(ctx, address)
			return nil
		})
	}
	_ = g.Wait()
}

// maxAddresses is the number of addresses that callers take from one answer.
const maxAddresses = 64

// EntryAddresses returns the callers' addresses of the entry hosts for callers of a data centre, never none.
func (s *Site) EntryAddresses(from centre.ID) []string {
	live := s.liveHosts(time.Now())
	if len(live) == 0 {
		return []string{s.Callers}
	}
	return nearby.Nearby{Most: maxAddresses, Self: s.Host}.Answer(from, live)
}

// liveHosts returns the entry hosts that take requests, this one first unless it stops.
func (s *Site) liveHosts(now time.Time) []pulse.Pulse {
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

// peerService answers the other entry hosts.
type peerService struct{ s *Site }

// Pulse takes a peer's heartbeat and returns the process's own.
func (p *peerService) Pulse(got pulse.Pulse) pulse.Pulse {
	p.s.gossip.Hear(got)
	return p.s.heartbeat()
}

// Catalogue returns nil: the operator's configuration comes from the store.
func (p *peerService) Catalogue() *catlog.Catalogue { return nil }

// Offer takes nothing.
func (p *peerService) Offer(*catlog.Catalogue) {}

// Evidence returns nothing.
func (p *peerService) Evidence(string) []trial.Trial { return nil }

// Query answers what another host asks of the tables and of all hosts' figures.
func (p *peerService) Query(q query.Query) reply.Reply { return p.s.polls.Answer(q) }

// Accept takes no requests: callers come back by themselves.
func (p *peerService) Accept(ticket.Ticket) bool { return false }

// Lend grants nothing: parts of limits follow the demand in heartbeats.
func (p *peerService) Lend(ask loan.Loan) loan.Loan {
	return loan.Loan{Account: ask.Account, Entry: ask.Entry, By: p.s.Host}
}

// Return takes nothing back.
func (p *peerService) Return(loan.Loan) {}
