package daemon

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/pulse"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/reply"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

// entryBackend is the back end under which entry hosts are listed.
const entryBackend label.Name = "entry"

// heart holds the parts of the heartbeat that change.
type heart struct {
	mu      sync.Mutex
	seq     int64
	leaving bool
	weight  float64
}

// pulse returns the process's next heartbeat.
func (d *Daemon) pulse() pulse.Pulse {
	d.heart.mu.Lock()
	d.heart.seq++
	seq, leaving, weight := d.heart.seq, d.heart.leaving, d.heart.weight
	d.heart.mu.Unlock()
	state := pulse.Live
	switch {
	case leaving:
		state = pulse.Leaving
	case d.holder.Current() == nil, time.Since(d.start) < loanTerm:
		state = pulse.Starting
	}
	return pulse.Pulse{
		Host:            d.Settings.Host,
		Incarnation:     d.incarnation,
		Seq:             seq,
		Callers:         d.Settings.Listen.Callers,
		Peers:           d.Settings.Listen.Peers,
		DataCentre:      d.Settings.DataCentre,
		State:           state,
		Revision:        d.holder.Revision(),
		ConfirmedMillis: d.holder.Age(time.Now()).Milliseconds(),
		Running:         d.runs.Running(),
		Load:            d.front.InFlight(),
		Weight:          weight,
		Withdrawn:       d.score.AllWithdrawn(),
	}
}

// readHosts lists this process and takes the platform's list; a failure keeps the last one.
func (d *Daemon) readHosts(ctx context.Context) {
	d.join(ctx)
	rows, changed, err := d.platform.Hosts(ctx)
	if err != nil {
		d.Log.Debug("host list not read", "error", err)
		return
	}
	if !changed {
		return
	}
	d.rows.Store(&rows)
	d.fleet.SetListed(rows)
	d.pool.Update(rows, time.Now())
}

func (d *Daemon) join(ctx context.Context) {
	row := roster.Row{
		ID:         endpt.ID(d.Settings.Host),
		Address:    d.Settings.Listen.Callers,
		Backend:    entryBackend,
		DataCentre: d.Settings.DataCentre,
		State:      d.pulse().State,
		Peers:      d.Settings.Listen.Peers,
	}
	if err := d.platform.Join(ctx, row); err != nil {
		d.Log.Debug("not listed", "error", err)
	}
}

// loadsAtOnce bounds the endpoints whose load is read in one period.
const loadsAtOnce = 8

// readLoads reads the load of a few endpoints, in turn, so that the cost does not grow with their number.
func (d *Daemon) readLoads(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.Settings.Intervals.Load.Of())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	all, now := d.pool.All(), time.Now()
	for begun, looked := 0, 0; begun < loadsAtOnce && looked < len(all); looked++ {
		d.loadTurn++
		s := all[d.loadTurn%len(all)]
		if !s.ReportDue(now) {
			continue
		}
		begun++
		s.RecordReport(now)
		g.Go(func() error {
			if err := d.engine.Load(ctx, s); err != nil {
				d.Log.Trace("load not read", "endpoint", s.Row().ID, "error", err)
			}
			if err := d.engine.Events(ctx, s); err != nil {
				d.Log.Trace("cache events not read", "endpoint", s.Row().ID, "error", err)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// cacheEvents returns the number of cache events that the engines known here have made known.
func (d *Daemon) cacheEvents() uint64 {
	sum := uint64(0)
	for _, s := range d.pool.All() {
		sum += s.Cached().LastSeq()
	}
	return sum
}

func (d *Daemon) reconcile(ctx context.Context) {
	if err := d.ledger.Reconcile(ctx); err != nil {
		d.Log.Debug("outcomes wait for the table", "waiting", d.ledger.PendingOutcomes(), "error", err)
	}
	d.meter.Gauge("pending_records", float64(d.ledger.PendingOutcomes()))
	d.meter.Gauge("catalogue_revision", float64(d.holder.Revision()))
	d.meter.Gauge("peer_connections", float64(d.peers.Open()))
	d.meter.Gauge("peer_bytes", float64(d.peers.Bytes()))
	d.meter.Gauge("cache_events", float64(d.cacheEvents()))
	d.meter.Gauge("running_requests", float64(d.runs.Running()))
}

// readTable reads the head row at jittered intervals.
func (d *Daemon) readTable(ctx context.Context) error {
	for {
		if err := d.spread.ReadTable(ctx); err != nil {
			d.Log.Debug("catalogue not read", "error", err)
		}
		timer := time.NewTimer(d.spread.ReadDelay(d.Settings.Intervals.TableRead.Of()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// weigh decides the process's weight in address answers, once for each round.
func (d *Daemon) weigh() {
	next := d.weight.Next(d.front.InFlight(), d.fleet.Alive(time.Now()), time.Now())
	d.meter.Gauge("address_weight", next)
	d.heart.mu.Lock()
	defer d.heart.mu.Unlock()
	d.heart.weight = next
}

// rounds exchanges heartbeats.
func (d *Daemon) rounds(ctx context.Context) error {
	for {
		timer := time.NewTimer(d.spread.RoundDelay(d.Settings.Intervals.Heartbeat.Of()))
		d.weigh()
		d.spread.Round(ctx)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// tellChanges starts a round of heartbeats at each change of the catalogue.
func (d *Daemon) tellChanges(ctx context.Context) error {
	for {
		changed := d.holder.Changed()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			d.Log.Info("catalogue in force", "revision", d.holder.Revision())
			d.spread.Round(ctx)
		}
	}
}

// peerService answers the other entry hosts.
type peerService struct{ d *Daemon }

// Pulse takes a peer's heartbeat and returns the process's own.
func (p *peerService) Pulse(got pulse.Pulse) pulse.Pulse {
	p.d.spread.Receive(got)
	return p.d.pulse()
}

// Catalogue returns the newest catalogue, or nil.
func (p *peerService) Catalogue() *catlog.Catalogue { return p.d.holder.Current() }

// Offer takes a catalogue if it is newer.
func (p *peerService) Offer(c *catlog.Catalogue) { p.d.holder.Offer(c) }

// Evidence returns the process's own trials of a move.
func (p *peerService) Evidence(move string) []trial.Trial { return p.d.score.ByRoute(move) }

// Query answers nothing: each host reads the platform's tables itself.
func (p *peerService) Query(query.Query) reply.Reply { return reply.Reply{} }

// Accept takes a running request that a leaving peer hands over.
func (p *peerService) Accept(t ticket.Ticket) bool {
	return p.d.pulse().State == pulse.Live && p.d.runs.Accept(t, time.Now())
}

// handOver gives a running request to a live peer and returns the peer's address for callers.
func (d *Daemon) handOver(ctx context.Context, t ticket.Ticket) (string, error) {
	for _, p := range d.fleet.Alive(time.Now()) {
		if p.State != pulse.Live {
			continue
		}
		if err := d.peers.HandOver(ctx, p.Peers, t); err != nil {
			d.Log.Debug("peer refused a request", "peer", p.Host, "error", err)
			continue
		}
		return p.Callers, nil
	}
	return "", fault.New(kind.Unavailable, "", "no live peer takes the request")
}
