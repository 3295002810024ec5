package daemon

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/dryrun"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/event"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/permit"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/reply"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

// entryBackend is the back end under which entry hosts are listed.
const entryBackend label.Name = "entry"

// heartbeatState holds the fields of the heartbeat that change while the process runs.
type heartbeatState struct {
	mu      sync.Mutex
	seq     int64
	leaving bool
	weight  float64
}

// nextHeartbeat returns the process's next heartbeat, with a new sequence number.
func (d *Daemon) nextHeartbeat() beat.Heartbeat {
	d.heartbeat.mu.Lock()
	d.heartbeat.seq++
	seq, leaving, weight := d.heartbeat.seq, d.heartbeat.leaving, d.heartbeat.weight
	d.heartbeat.mu.Unlock()
	state := beat.Live
	switch {
	case leaving:
		state = beat.Leaving
	case d.catalogue.Current() == nil, time.Since(d.start) < loanTerm:
		state = beat.Starting
	}
	return beat.Heartbeat{
		Host:            d.Settings.Host,
		Incarnation:     d.incarnation,
		Seq:             seq,
		CallerAddress:   d.Settings.Listen.Callers,
		PeerAddress:     d.Settings.Listen.Peers,
		DataCentre:      d.Settings.DataCentre,
		State:           state,
		Revision:        d.catalogue.Revision(),
		ConfirmedMillis: d.catalogue.Age(time.Now()).Milliseconds(),
		Running:         d.runs.Running(),
		InFlight:        d.front.InFlight(),
		Weight:          weight,
		Withdrawn:       d.trials.AllWithdrawn(),
	}
}

// readHosts registers this process and reads the platform's host list; on failure the last list stays in use.
func (d *Daemon) readHosts(ctx context.Context) {
	d.register(ctx)
	rows, changed, err := d.platform.Hosts(ctx)
	if err != nil {
		d.Log.Debug("host list not read; keeping the last one", "error", err)
		return
	}
	if !changed {
		return
	}
	d.hostList.Store(&rows)
	d.fleet.SetListed(rows)
	d.pool.Update(rows, time.Now())
}

// register adds this process to the platform's host list or updates its row.
func (d *Daemon) register(ctx context.Context) {
	row := roster.Row{
		ID:          endpt.ID(d.Settings.Host),
		Address:     d.Settings.Listen.Callers,
		Backend:     entryBackend,
		DataCentre:  d.Settings.DataCentre,
		State:       d.nextHeartbeat().State,
		PeerAddress: d.Settings.Listen.Peers,
	}
	if err := d.platform.Register(ctx, row); err != nil {
		d.Log.Debug("registration in the host list failed; retrying with the next read of the list", "error", err)
	}
}

// maxLoadReads bounds the endpoints whose load is read in one interval.
const maxLoadReads = 8

// readLoads reads load and cache events of up to maxLoadReads endpoints in round-robin order, so that the cost does not
// grow with their number.
func (d *Daemon) readLoads(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.Settings.Intervals.LoadRead.Duration())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	all, now := d.pool.All(), time.Now()
	for started, checked := 0, 0; started < maxLoadReads && checked < len(all); checked++ {
		d.loadIndex++
		s := all[d.loadIndex%len(all)]
		if !s.ReportDue(now) {
			continue
		}
		started++
		s.RecordReport(now)
		g.Go(func() error {
			if err := d.engine.ReadLoad(ctx, s); err != nil {
				d.Log.Trace("load report not read; keeping the previous one", "endpoint", s.Row().ID, "error", err)
			}
			if err := d.engine.ReadCacheEvents(ctx, s); err != nil {
				d.Log.Trace("cache events not read", "endpoint", s.Row().ID, "error", err)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// cacheEventCount returns the number of cache events that the known engines have published.
func (d *Daemon) cacheEventCount() uint64 {
	sum := uint64(0)
	for _, s := range d.pool.All() {
		sum += s.Cached().LastSeq()
	}
	return sum
}

// reconcile writes pending outcomes to the table and updates the process's gauges.
func (d *Daemon) reconcile(ctx context.Context) {
	if err := d.ledger.Reconcile(ctx); err != nil {
		d.Log.Debug("outcomes not written to the table; retrying", "waiting", d.ledger.PendingOutcomes(), "error", err)
	}
	d.meter.Gauge("pending_records", float64(d.ledger.PendingOutcomes()))
	d.meter.Gauge("catalogue_revision", float64(d.catalogue.Revision()))
	d.meter.Gauge("peer_connections", float64(d.peers.OpenConnections()))
	d.meter.Gauge("peer_bytes", float64(d.peers.Bytes()))
	d.meter.Gauge("cache_events", float64(d.cacheEventCount()))
	d.meter.Gauge("running_requests", float64(d.runs.Running()))
}

// readTable reads the catalogue's head row at jittered intervals.
func (d *Daemon) readTable(ctx context.Context) error {
	for {
		if err := d.gossip.ReadTable(ctx); err != nil {
			d.Log.Debug("catalogue not read from the table; retrying at the next interval", "error", err)
		}
		timer := time.NewTimer(d.gossip.ReadDelay(d.Settings.Intervals.TableRead.Duration()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// updateWeight recalculates the process's weight in address answers, once per gossip round.
func (d *Daemon) updateWeight() {
	next := d.weight.Next(d.front.InFlight(), d.fleet.Alive(time.Now()), time.Now())
	d.meter.Gauge("address_weight", next)
	d.heartbeat.mu.Lock()
	defer d.heartbeat.mu.Unlock()
	d.heartbeat.weight = next
}

// gossipRounds exchanges heartbeats with peers until ctx ends.
func (d *Daemon) gossipRounds(ctx context.Context) error {
	for {
		timer := time.NewTimer(d.gossip.RoundDelay(d.Settings.Intervals.Heartbeat.Duration()))
		d.updateWeight()
		d.gossip.Round(ctx)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// gossipChanges starts an additional gossip round at each change of the catalogue.
func (d *Daemon) gossipChanges(ctx context.Context) error {
	for {
		changed := d.catalogue.Changed()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			d.Log.Info("new catalogue revision in force", "revision", d.catalogue.Revision())
			d.gossip.Round(ctx)
		}
	}
}

// peerService serves the calls of the other entry hosts.
type peerService struct{ d *Daemon }

// Heartbeat processes a peer's heartbeat and returns the process's own.
func (p *peerService) Heartbeat(received beat.Heartbeat) beat.Heartbeat {
	p.d.gossip.Receive(received)
	return p.d.nextHeartbeat()
}

// Catalogue returns the newest catalogue, or nil.
func (p *peerService) Catalogue() *catlog.Catalogue { return p.d.catalogue.Current() }

// OfferCatalogue adopts a catalogue if it is newer than the current one.
func (p *peerService) OfferCatalogue(c *catlog.Catalogue) { p.d.catalogue.Offer(c) }

// Place places nothing, as endpoints tell this interface their load.
func (p *peerService) Place(task.Task) grant.Grant { return grant.Grant{} }

// Explain explains nothing, as nothing is placed.
func (p *peerService) Explain(task.Task) dryrun.Result { return dryrun.Result{} }

// Record does nothing, as nothing is placed.
func (p *peerService) Record([]event.Event) {}

// Permit grants nothing: the endpoints of the product's own interface name no request limits.
func (p *peerService) Permit(q permit.Permit) permit.Permit { return q }

// Trials returns the process's own trials of a move.
func (p *peerService) Trials(move string) []trial.Trial { return p.d.trials.ByRoute(move) }

// Query returns an empty reply: each host reads the platform's tables itself.
func (p *peerService) Query(query.Query) reply.Reply { return reply.Reply{} }

// AcceptRequest stores a running request that a leaving peer hands over. It returns false when this process is not live
// or already holds maxHandedOver requests.
func (p *peerService) AcceptRequest(t ticket.Ticket) bool {
	return p.d.nextHeartbeat().State == beat.Live && p.d.runs.Accept(t, time.Now())
}

// handOver transfers a running request to the first live peer that accepts it and returns that peer's address for
// callers.
func (d *Daemon) handOver(ctx context.Context, t ticket.Ticket) (string, error) {
	for _, p := range d.fleet.Alive(time.Now()) {
		if p.State != beat.Live {
			continue
		}
		if err := d.peers.HandOver(ctx, p.PeerAddress, t); err != nil {
			d.Log.Debug("handover of a request to a peer failed; trying the next peer", "peer", p.Host, "error", err)
			continue
		}
		return p.CallerAddress, nil
	}
	return "", fault.New(kind.Unavailable, "", "no live peer accepted the request")
}
