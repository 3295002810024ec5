package catsim

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

// partitionedStore is the table as one process reaches it: not at all while the process is partitioned.
type partitionedStore struct {
	store *store.Store
	self  *process
}

// Read returns one row; the error is kind.Unavailable.
func (s *partitionedStore) Read(ctx context.Context, key string) (record.Record, error) {
	if s.self.partitioned {
		return record.Record{}, fault.New(kind.Unavailable, "", "table unreachable: host is partitioned")
	}
	return s.store.Read(ctx, key)
}

// Commit executes a transaction; after an error, which is kind.OutcomeUnknown, it may have taken effect.
func (s *partitionedStore) Commit(ctx context.Context, t table.Txn) (int64, error) {
	if s.self.partitioned {
		return 0, fault.New(kind.OutcomeUnknown, "", "table unreachable: host is partitioned")
	}
	return s.store.Commit(ctx, t)
}

// network delivers one entry host's messages to its peers.
type network struct {
	history *History
	self    *process
}

// reach returns the process with an address, unless a partition separates it from the sender.
func (n *network) reach(address string) (*process, error) {
	n.history.sched.Jitter(peerLatency)
	for _, p := range n.history.processes {
		if string(p.name) == address && p.partitioned == n.self.partitioned {
			return p, nil
		}
	}
	return nil, fault.New(kind.Unavailable, "", "peer unreachable: hosts are partitioned")
}

// Heartbeat sends a heartbeat and returns the peer's heartbeat.
func (n *network) Heartbeat(_ context.Context, address string, h beat.Heartbeat) (beat.Heartbeat, error) {
	to, err := n.reach(address)
	if err != nil {
		return beat.Heartbeat{}, err
	}
	to.spread.Receive(h)
	answer := n.history.heartbeat(to)
	n.history.sched.Jitter(peerLatency)
	return answer, nil
}

// Fetch returns the peer's newest catalogue.
func (n *network) Fetch(_ context.Context, address string) (*catlog.Catalogue, error) {
	to, err := n.reach(address)
	if err != nil {
		return nil, err
	}
	c := to.catalogue.Current()
	n.history.sched.Jitter(peerLatency)
	return c, nil
}

// Push offers the peer a catalogue.
func (n *network) Push(_ context.Context, address string, c *catlog.Catalogue) error {
	to, err := n.reach(address)
	if err != nil {
		return err
	}
	to.catalogue.Offer(c)
	return nil
}
