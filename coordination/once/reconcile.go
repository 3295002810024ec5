package once

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
)

// markUncertain records a claim whose write may or may not have been carried out; nothing was sent under it.
func (l *Ledger) markUncertain(key, digest string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.uncertain[key] = digest
}

// Reconcile writes the outcomes whose write failed and releases claims under which nothing was sent.
//
// It handles one key at a time and stops at the first failure, so that a recovering table is not overloaded.
func (l *Ledger) Reconcile(ctx context.Context) error {
	for _, key := range l.pendingKeys() {
		if err := l.reconcileOutcome(ctx, key); err != nil {
			return err
		}
	}
	for _, key := range l.uncertainKeys() {
		if err := l.reconcileUncertain(ctx, key); err != nil {
			return err
		}
	}
	return nil
}

func (l *Ledger) pendingKeys() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.pending))
}

func (l *Ledger) uncertainKeys() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.uncertain))
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
	l.removePending(key)
	return nil
}

// reconcileUncertain releases an unused claim. When there is no row it writes a released one, so that a delayed write
// of the claim can no longer take effect.
func (l *Ledger) reconcileUncertain(ctx context.Context, key string) error {
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
		if _, err := l.write(ctx, key, row.Version, withState(old, claim.Released, l.NewID())); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.uncertain, key)
	return nil
}

func (l *Ledger) digest(key string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.uncertain[key]
}

// unused reports whether the row is this process's claim and no outcome of it is pending.
func (l *Ledger) unused(key string, row claim.Claim) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, hasOutcome := l.pending[key]
	return !hasOutcome && row.State == claim.Held && row.Holder == l.Self && row.Incarnation == l.Incarnation
}
