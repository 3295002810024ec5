package cats

import (
	"context"

	"github.com/dragonflyroute/dragonflyroute/model/store"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

// reach is the store as one process reaches it.
type reach struct {
	store *store.Store
	from  *process
}

// Read returns one row.
func (r *reach) Read(ctx context.Context, key string) (record.Record, error) {
	if r.from.cut {
		return record.Record{}, fault.New(kind.Unavailable, "", "cut off")
	}
	return r.store.Read(ctx, key)
}

// Commit carries out a transaction.
func (r *reach) Commit(ctx context.Context, t table.Txn) (int64, error) {
	if r.from.cut {
		return 0, fault.New(kind.OutcomeUnknown, "", "cut off")
	}
	return r.store.Commit(ctx, t)
}

// network carries the entry hosts' protocol between processes of the history.
type network struct {
	cats *Cats
	from *process
}

func (n *network) to(address string) (*process, error) {
	n.cats.sched.Jitter(peerLatency)
	for _, p := range n.cats.processes {
		if string(p.name) == address && p.cut == n.from.cut {
			return p, nil
		}
	}
	return nil, fault.New(kind.Unavailable, "", "cut off")
}

// Heartbeat sends a heartbeat and returns the peer's own.
func (n *network) Heartbeat(_ context.Context, address string, p beat.Heartbeat) (beat.Heartbeat, error) {
	to, err := n.to(address)
	if err != nil {
		return beat.Heartbeat{}, err
	}
	to.spread.Receive(p)
	answer := n.cats.pulse(to)
	n.cats.sched.Jitter(peerLatency)
	return answer, nil
}

// Fetch returns the peer's newest catalogue.
func (n *network) Fetch(_ context.Context, address string) (*catlog.Catalogue, error) {
	to, err := n.to(address)
	if err != nil {
		return nil, err
	}
	c := to.holder.Current()
	n.cats.sched.Jitter(peerLatency)
	return c, nil
}

// Push offers the peer a catalogue.
func (n *network) Push(_ context.Context, address string, c *catlog.Catalogue) error {
	to, err := n.to(address)
	if err != nil {
		return err
	}
	to.holder.Offer(c)
	return nil
}
