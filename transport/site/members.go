package site

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/coordination/member"
	"github.com/dragonflyroute/dragonflyroute/coordination/nearby"
	"github.com/dragonflyroute/dragonflyroute/coordination/polls"
	"github.com/dragonflyroute/dragonflyroute/coordination/reader"
	"github.com/dragonflyroute/dragonflyroute/coordination/sched"
	"github.com/dragonflyroute/dragonflyroute/coordination/spread"
	"github.com/dragonflyroute/dragonflyroute/coordination/swap"
	"github.com/dragonflyroute/dragonflyroute/coordination/watch"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/dryrun"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/event"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
	"github.com/dragonflyroute/dragonflyroute/protocol/permit"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/reply"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
	"github.com/dragonflyroute/dragonflyroute/state/mirror"
	"github.com/dragonflyroute/dragonflyroute/state/newest"
	"github.com/dragonflyroute/dragonflyroute/transport/clock"
	"github.com/dragonflyroute/dragonflyroute/transport/peers"
)

const (
	// roundTimeout bounds one gossip round.
	roundTimeout = 400 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat after which a host that failed to answer is left out of address
	// answers.
	heartbeatTimeout = 1500 * time.Millisecond
	// maxPeerConnections bounds the connections to peers that are kept open.
	maxPeerConnections = 64
	// expiryInterval is the interval between checks for missing endpoints to be removed.
	expiryInterval = 200 * time.Millisecond
	// expiryHeartbeats is the number of heartbeat intervals after which the platform has removed the row of an endpoint that
	// is silent.
	expiryHeartbeats = 4
	// recoveryReadInterval is the interval between reads of the endpoints' rows for recoveryReadPeriod after an outage of
	// the table, as endpoints write their rows again then.
	recoveryReadInterval = 400 * time.Millisecond
	recoveryReadPeriod   = 2500 * time.Millisecond
)

func (s *Site) buildPeers() {
	s.peers = &peers.Peers{Secret: defaultPeerSecret, Service: &peerService{s}, Contacts: s.fleet.Contacts, MaxOpen: maxPeerConnections, MaxInbound: func() int { return peerShare.of(s.maxDescriptors()) }}
	s.gossip = &spread.Gossip{
		Peers:        s.peers,
		Fleet:        s.fleet,
		Catalogue:    &newest.Catalogue{},
		Trials:       s.ownTrials,
		Self:         s.heartbeat,
		OnHeartbeat:  s.onHeartbeat,
		Now:          time.Now,
		Rand:         rand.New(rand.NewPCG(uint64(s.incarnation), 0)),
		RoundTimeout: roundTimeout,
		Started:      time.Now(),
	}
}

// defaultPeerSecret is the shared secret of the entry hosts. The settings have none, as the platform's network is private
// to the entry hosts.
const defaultPeerSecret = "entry-hosts"

// The names of the tables whose changes hosts pass on to each other.
const (
	operatorTable  = "operator"
	endpointsTable = "servers"
	hostsTable     = "hosts"
)

// buildPolls builds the polling of readers for table changes and load statistics; buildTables adds the tables.
func (s *Site) buildPolls() {
	s.polls = &polls.Polls{
		Reader:     reader.Reader{Self: s.Host, DataCentre: s.DataCentre},
		Site:       exchange{s},
		ProbeTable: endpointsTable,
		Now:        time.Now,
		BootClock:  clock.Boot,
		Log:        s.Log,
	}
}

// buildTables builds the watchers of the tables.
func (s *Site) buildTables() {
	s.tables = map[string]*watch.Watcher{
		operatorTable: {
			Name: operatorTable, Source: s.Operator, LongPollWait: func() time.Duration { return s.Schedule().OperatorWait() },
			OnSnapshot: s.replaceOperator, OnChanges: s.applyOperator, ReadDelay: s.readDelay(s.operatorApply()),
		},
		endpointsTable: {
			Name: endpointsTable, Source: s.Endpoints, Interval: s.endpointsInterval,
			OnSnapshot: s.syncer.Replace, OnChanges: s.syncer.Apply, OnRecovery: s.onEndpointsRecovery, ReadDelay: s.readDelay(s.EndpointDrain),
		},
		hostsTable: {
			Name: hostsTable, Source: s.Hosts, LongPollWait: func() time.Duration { return s.Schedule().HostsWait() },
			Interval:   func() time.Duration { return s.Schedule().HostsPause() },
			OnSnapshot: s.replaceHosts, OnChanges: s.applyHosts,
			ReadDelay: func(age time.Duration, known bool) time.Duration { return s.Schedule().HostsReadDelay(age, known) },
		},
	}
	for name, t := range s.tables {
		t.Now, t.Log, t.Mirror = clock.Boot, s.Log, &mirror.Mirror{}
		s.polls.Add(name, t)
	}
	s.tables[endpointsTable].Mirror.Equivalent = s.syncer.Equivalent
}

// Schedule returns how often this host reads tables, polls and sends heartbeats at the present size of the fleet.
func (s *Site) Schedule() sched.Schedule {
	return sched.Schedule{
		Hosts:     s.hosts(),
		Role:      s.polls.Role(),
		NewSystem: s.NewSystem,
		HostsRead: s.tables[hostsTable].Version() > 0,
		Drain:     s.EndpointDrain,
		Apply:     s.ConfigApply,
		Contact:   s.Contact,
	}
}

// readDelay returns the ReadDelay function of a table whose changes must be known within a time. The function returns how
// long this host may postpone its own read of the store, given the age of its copy of the table.
func (s *Site) readDelay(within time.Duration) func(age time.Duration, known bool) time.Duration {
	return func(age time.Duration, known bool) time.Duration { return s.Schedule().ReadDelay(within, age, known) }
}

// endpointsInterval returns the time until the next read of the endpoints' rows; it is shorter after an outage.
func (s *Site) endpointsInterval() time.Duration {
	pause := s.Schedule().EndpointsPause()
	if time.Now().UnixNano()-s.endpointsRecovered.Load() < recoveryReadPeriod.Nanoseconds() {
		return min(pause, recoveryReadInterval)
	}
	return pause
}

// onEndpointsRecovery records that the endpoints' table became reachable again after an outage.
func (s *Site) onEndpointsRecovery(outage, ago time.Duration) {
	s.endpointsRecovered.Store(time.Now().Add(-ago).UnixNano())
	s.syncer.Recovered(outage, ago)
}

// operatorApply returns the time within which a change of the operator's table must take effect on every host.
func (s *Site) operatorApply() time.Duration {
	if s.Evacuate > 0 {
		return min(s.ConfigApply, s.Evacuate)
	}
	return s.ConfigApply
}

// replaceOperator applies a snapshot of the operator's table: an evacuation whose row is not in it has ended.
func (s *Site) replaceOperator(all []record.Record) {
	before := s.evacuated
	s.evacuated = map[centre.ID]bool{}
	for _, r := range all {
		if in, ok := s.EvacuatedCentre(r.Key); ok && !r.Deleted {
			s.evacuated[in] = true
			s.logEvacuation(in, before[in], true, r.Version)
		}
	}
	for in := range before {
		s.logEvacuation(in, true, s.evacuated[in], 0)
	}
	s.Registry.SetEvacuated(maps.Clone(s.evacuated), time.Now())
	if len(s.evacuated) > 0 || len(before) > 0 {
		s.onReclaim()
	}
	s.applyOperator(all)
}

// setEvacuated starts or ends the evacuation of a data centre.
func (s *Site) setEvacuated(in centre.ID, evacuated bool, version int64) {
	s.logEvacuation(in, s.evacuated[in], evacuated, version)
	if s.evacuated == nil {
		s.evacuated = map[centre.ID]bool{}
	}
	s.evacuated[in] = evacuated
	s.Registry.SetEvacuated(maps.Clone(s.evacuated), time.Now())
	s.onReclaim()
}

// logEvacuation logs a change of whether a data centre is evacuated; version is that of the row, 0 for a snapshot without it.
func (s *Site) logEvacuation(in centre.ID, before, now bool, version int64) {
	switch {
	case now && !before:
		s.Log.Info("data centre is evacuated; no new work goes to its endpoints", "data-centre", in, "endpoints", s.endpointsIn(in), "version", version)
	case before && !now:
		s.Log.Info("evacuation of a data centre has ended", "data-centre", in, "endpoints", s.endpointsIn(in), "version", version)
	}
}

// endpointsIn returns the number of endpoints in a data centre.
func (s *Site) endpointsIn(in centre.ID) int {
	n := 0
	for _, t := range s.Registry.All() {
		if t.Row().DataCentre == in {
			n++
		}
	}
	return n
}

// applyOperator applies rows of the operator's table: the configuration, evacuations and requested moves.
func (s *Site) applyOperator(all []record.Record) {
	for _, r := range all {
		if in, ok := s.EvacuatedCentre(r.Key); ok && s.evacuated[in] == r.Deleted {
			s.setEvacuated(in, !r.Deleted, r.Version)
		}
		if s.IsMoveRequest(r.Key) && !r.Deleted {
			s.moves.Request(r)
		}
		if r.Key != s.ConfigKey || r.Deleted {
			continue
		}
		next, err := s.DecodeConfig(r.Value)
		if err != nil {
			s.Log.Error("configuration rejected; the previous one stays in force", "version", r.Version, "error", err)
			continue
		}
		if s.Policy.Offer(next) {
			s.Log.Info("configuration in force", "revision", next.Revision, "version", r.Version, "routes", len(next.Routes), "accounts", len(next.Accounts))
		}
	}
}

// replaceHosts replaces the known entry hosts by a snapshot of their table.
func (s *Site) replaceHosts(all []record.Record) {
	s.hostRows = map[string]roster.Row{}
	s.applyHosts(all)
}

// applyHosts applies changed rows of the hosts' table, which also holds the state of moves and the decisions on prompt parts.
func (s *Site) applyHosts(all []record.Record) {
	for _, r := range all {
		s.applyHostsRow(r)
		// From now on the row may be written over.
		s.rows.Observe(r)
	}
	var list []roster.Row
	for _, row := range s.hostRows {
		list = append(list, row)
	}
	s.fleet.SetListed(list)
	own, listed := s.hostRows[string(s.Host)]
	listed = listed && own.StartMillis == s.incarnation
	s.member.SetListed(listed)
	s.Log.Info("entry hosts updated", "hosts", len(list), "this-one", listed)
}

// applyHostsRow applies a row of the hosts' table.
func (s *Site) applyHostsRow(r record.Record) {
	switch {
	case isPromptRow(r.Key):
		s.applyPrompt(r)
	case r.Deleted:
		delete(s.hostRows, r.Key)
	case s.moves.IsState(r.Key):
		s.moves.SetState(r)
	default:
		row, err := roster.Decode(r.Key, r.Value)
		if err != nil {
			s.Log.Warn("cannot decode the row of an entry host; it is ignored", "key", r.Key, "version", r.Version, "error", err)
			return
		}
		s.hostRows[r.Key] = row
	}
}

// buildMembers builds what writes the rows of the hosts' table.
func (s *Site) buildMembers() {
	s.rows = &swap.Rows{Store: s.Hosts}
	s.member = &member.Member{Rows: s.rows, Own: s.ownRow, Log: s.Log}
}

// ownRow returns this host's own row in the hosts' table.
func (s *Site) ownRow() roster.Row {
	row := roster.Row{ID: endpt.ID(s.Host), Address: s.CallerAddress, DataCentre: s.DataCentre, State: roster.Live, PeerAddress: s.peerAddress(), StartMillis: s.incarnation, Weight: s.Capacity}
	if leaving, _ := s.Leaving(); leaving {
		row.State = roster.Leaving
	}
	return row
}

// gossipLoop writes this host's own row and then runs gossip rounds until ctx ends; it writes the row again when it
// is missing from the table.
func (s *Site) gossipLoop(ctx context.Context) error {
	s.member.Join(ctx)
	for ctx.Err() == nil {
		timer := time.NewTimer(s.Schedule().HeartbeatInterval())
		if s.member.Missing(s.tables[hostsTable].Version()) {
			s.member.Join(ctx)
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

// notifyPeers sends a heartbeat to every other entry host without waiting for the next round.
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

// maxAddresses is the largest number of addresses that callers use from one answer.
const maxAddresses = 64

// EntryAddresses returns the addresses to which callers of a data centre send requests: those of live entry hosts, or
// this host's own if there are none.
func (s *Site) EntryAddresses(from centre.ID) []string {
	live := s.liveHosts(time.Now())
	if len(live) == 0 {
		return []string{s.CallerAddress}
	}
	return nearby.Nearby{MaxHosts: maxAddresses, Self: s.Host}.Addresses(from, live)
}

// listedHosts returns the entry hosts on the platform's list, this one included; ok is false while the list is not known.
func (s *Site) listedHosts() (hosts []beat.Heartbeat, ok bool) {
	self := beat.Heartbeat{Host: s.Host, DataCentre: s.DataCentre, Weight: s.Capacity}
	return append(s.fleet.Listed(), self), s.tables[hostsTable].Version() > 0
}

// liveHosts returns the entry hosts that accept requests, this one first unless it is draining.
func (s *Site) liveHosts(now time.Time) []beat.Heartbeat {
	var out []beat.Heartbeat
	if leaving, _ := s.Leaving(); !leaving {
		out = append(out, beat.Heartbeat{Host: s.Host, CallerAddress: s.CallerAddress, PeerAddress: s.peerAddress(), DataCentre: s.DataCentre, State: beat.Live, Weight: s.Capacity})
	}
	for _, p := range s.fleet.Alive(now) {
		if p.State == beat.Live {
			out = append(out, p)
		}
	}
	return out
}

// peerService serves calls from other entry hosts.
type peerService struct{ s *Site }

// Heartbeat receives a peer's heartbeat and returns this process's own.
func (p *peerService) Heartbeat(got beat.Heartbeat) beat.Heartbeat {
	p.s.gossip.Receive(got)
	return p.s.heartbeat()
}

// Catalogue returns nil, as the operator's configuration comes from the store.
func (p *peerService) Catalogue() *catlog.Catalogue { return nil }

// OfferCatalogue does nothing, as the operator's configuration comes from the store.
func (p *peerService) OfferCatalogue(*catlog.Catalogue) {}

// Trials returns nil, as heartbeats carry the trials.
func (p *peerService) Trials(string) []trial.Trial { return nil }

// Query answers another host's query for table changes and the sum of all hosts' load statistics.
func (p *peerService) Query(q query.Query) reply.Reply { return p.s.polls.Answer(q) }

// Permit answers another host's request for a permit.
func (p *peerService) Permit(q permit.Permit) permit.Permit { return p.s.pacer.Grant(q) }

// Place places another host's request at an endpoint of a shard that this host keeps.
func (p *peerService) Place(t task.Task) grant.Grant { return p.s.ledger.Place(t) }

// Explain returns where this host would place another host's request, and why.
func (p *peerService) Explain(t task.Task) dryrun.Result { return p.s.ledger.Explain(t) }

// Record records what became of requests that this host placed.
func (p *peerService) Record(events []event.Event) { p.s.ledger.Record(events) }

// AcceptRequest returns false: a leaving host does not hand over requests here, as callers reconnect by themselves.
func (p *peerService) AcceptRequest(ticket.Ticket) bool { return false }

// Lend grants nothing, as limits are divided by the demand that the hosts report to each other.
func (p *peerService) Lend(req loan.Loan) loan.Loan {
	return loan.Loan{Account: req.Account, Entry: req.Entry, Host: p.s.Host}
}

// Return does nothing, as nothing is lent.
func (p *peerService) Return(loan.Loan) {}
