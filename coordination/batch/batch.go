// Package batch joins concurrent commits into one.
package batch

import (
	"context"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

const (
	// maxQueue bounds the commits that wait.
	maxQueue = 4096
	// maxBatch bounds the commits sent at once.
	maxBatch = 64
)

// store commits many transactions at once; each holds or fails on its own, with version 0 for a failed condition.
type store interface {
	CommitAll(ctx context.Context, txns []table.Txn) ([]int64, error)
	Read(ctx context.Context, key string) (record.Record, error)
}

type result struct {
	version int64
	err     error
}

type request struct {
	txn  table.Txn
	done chan result
}

// Batch sends one commit at a time, carrying all that waited meanwhile.
type Batch struct {
	// Store takes the commits.
	Store store

	queue chan request
}

// New returns a batch before store.
func New(s store) *Batch {
	return &Batch{Store: s, queue: make(chan request, maxQueue)}
}

// Run sends commits until ctx ends.
func (b *Batch) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-b.queue:
			b.send(ctx, b.gather(r))
		}
	}
}

func (b *Batch) gather(first request) []request {
	batch := []request{first}
	for len(batch) < maxBatch {
		select {
		case r := <-b.queue:
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}

func (b *Batch) send(ctx context.Context, batch []request) {
	txns := make([]table.Txn, len(batch))
	for i, r := range batch {
		txns[i] = r.txn
	}
	versions, err := b.Store.CommitAll(ctx, txns)
	for i, r := range batch {
		res := result{err: err}
		if err == nil {
			res.version = versions[i]
		}
		r.done <- res
	}
}

// Commit queues one transaction and waits for its result; version 0 means that a condition failed.
//
// An error of kind OutcomeUnknown means that the transaction may have been carried out.
func (b *Batch) Commit(ctx context.Context, t table.Txn) (int64, error) {
	r := request{txn: t, done: make(chan result, 1)}
	select {
	case b.queue <- r:
	default:
		return 0, fault.New(kind.Unavailable, "", "%d commits wait already", maxQueue)
	}
	select {
	case res := <-r.done:
		return res.version, res.err
	case <-ctx.Done():
		return 0, fault.Wrap(kind.OutcomeUnknown, ctx.Err(), "gave up on a commit")
	}
}

// Read returns one row.
func (b *Batch) Read(ctx context.Context, key string) (record.Record, error) {
	return b.Store.Read(ctx, key)
}
