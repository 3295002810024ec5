// Package batch groups concurrent commits into one call to the store.
package batch

import (
	"context"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

const (
	// maxQueue bounds the queued commits.
	maxQueue = 4096
	// maxBatch bounds the commits sent in one call.
	maxBatch = 64
)

// store commits several transactions in one call. Each succeeds or fails on its own; version 0 means that a condition
// failed.
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

// Batch sends one batch of commits at a time, with all commits queued during the previous one.
type Batch struct {
	// Store receives the commits and serves the reads.
	Store store

	queue chan request
}

// New returns a batch in front of a store; Run must be called for commits to be sent.
func New(s store) *Batch {
	return &Batch{Store: s, queue: make(chan request, maxQueue)}
}

// Run sends commits until ctx ends, then returns nil.
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
// It returns an Unavailable error if the queue is full, and an OutcomeUnknown error if ctx ends first: then the
// transaction may have been committed.
func (b *Batch) Commit(ctx context.Context, t table.Txn) (int64, error) {
	r := request{txn: t, done: make(chan result, 1)}
	select {
	case b.queue <- r:
	default:
		return 0, fault.New(kind.Unavailable, "", "the commit queue is full with %d commits", maxQueue)
	}
	select {
	case res := <-r.done:
		return res.version, res.err
	case <-ctx.Done():
		return 0, fault.Wrap(kind.OutcomeUnknown, ctx.Err(), "stopped waiting for a commit's result")
	}
}

// Read returns one row from the store, without batching.
func (b *Batch) Read(ctx context.Context, key string) (record.Record, error) {
	return b.Store.Read(ctx, key)
}
