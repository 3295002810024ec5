package once

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
)

// doubt notes a claim whose write may or may not have been carried out; nothing was sent under it.
func (l *Ledger) doubt(key, digest string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsure[key] = digest
}

// Reconcile writes outcomes that the table did not take and releases claims that were never used.
//
// It works on one key at a time and stops at the first failure, so that a table that comes back is not flooded.
func (l *Ledger) Reconcile(ctx context.Context) error {
	for _, key := range l.outcomes() {
		if err := l.reconcileOutcome(ctx, key); err != nil {
			return err
		}
	}
	for _, key := range l.doubts() {
		if err := l.reconcileDoubt(ctx, key); err != nil {
			return err
		}
	}
	return nil
}

func (l *Ledger) outcomes() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.pending))
}

func (l *Ledger) doubts() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.unsure))
}

func (l *Ledger) reconcileOutcome(ctx context.Context, key string) error {
	l.mu.Lock()
	p, ok := l.pending[key]
	l.mu.Unlock()
	if !ok {
		return nil
	}
	if _, err := l.write(ctx, key, p.version, p.row); err != nil {
		return err
	}
	l.forget(key)
	return nil
}

// reconcileDoubt releases an unused claim; where no row stands, it writes one, so that a delayed write of the
// claim can no longer take effect.
func (l *Ledger) reconcileDoubt(ctx context.Context, key string) error {
	if !l.begin(key) {
		return nil
	}
	defer l.end(key)
	row, err := l.Store.Read(ctx, key)
	if err != nil {
		return err
	}
	old := claim.Claim{Holder: l.Self, Incarnation: l.Incarnation, Digest: l.digest(key), State: claim.Held}
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &old); err != nil {
			return err
		}
	}
	if l.unused(key, old) {
		if _, err := l.write(ctx, key, row.Version, ended(old, claim.Released, l.NewID())); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unsure, key)
	return nil
}

func (l *Ledger) digest(key string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unsure[key]
}

// unused reports whether the row is this process's claim with no outcome on the way.
func (l *Ledger) unused(key string, row claim.Claim) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ended := l.pending[key]
	return !ended && row.State == claim.Held && row.Holder == l.Self && row.Incarnation == l.Incarnation
}
