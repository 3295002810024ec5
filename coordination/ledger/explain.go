package ledger

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/choose"
	"github.com/dragonflyroute/dragonflyroute/protocol/dryrun"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

// Explain returns the endpoint at which Place would place a request, and why. It records nothing.
func (l *Ledger) Explain(t task.Task) dryrun.Result {
	now := l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	overdue := l.overdue(now)
	known := func(e *target.Target) (running int, prefill int64, slowdown float64) {
		kept := l.peek(e, now)
		b := *kept
		b.running -= overdue[kept].running
		b.prefill -= overdue[kept].prefill
		return b.load(e, now)
	}
	all := l.Endpoints.ByBackend(t.Backend)
	donor := choose.ByID(all, t.Donor)
	r := l.balancer(t.DataCentre).ExplainKnown(candidates(all, &t), donor, t.DonorUncached, t.Request(), known, now)
	r.Shard, r.Shards = t.Shard, t.Shards
	if len(l.entries) >= maxEntries {
		r.Endpoint, r.TimeToFirst, r.Reason = "", 0, "the keeper can track no more requests"
	}
	return r
}

// peek returns the book of an endpoint's present process, a new one if there is none. The caller holds l.mu.
func (l *Ledger) peek(t *target.Target, now time.Time) *book {
	row := t.Row()
	if b := l.books[row.ID]; b != nil && b.startMillis == row.StartMillis {
		return b
	}
	return &book{startMillis: row.StartMillis, since: now, slowdown: 1}
}

// outstanding counts requests at an endpoint, and the prompt tokens of those not begun.
type outstanding struct {
	running int
	prefill int64
}

// overdue returns what the next sweep will remove from each book. The caller holds l.mu.
func (l *Ledger) overdue(now time.Time) map[*book]outstanding {
	out := map[*book]outstanding{}
	for _, e := range l.entries {
		o := out[e.book]
		if now.After(e.endsAt) {
			o.running++
		}
		if !e.begun && (now.After(e.overdueAt) || now.After(e.endsAt)) {
			o.prefill += e.tokens
		}
		if o != (outstanding{}) {
			out[e.book] = o
		}
	}
	return out
}

// Work returns the requests that have not ended at the endpoints of this host's shards, the prompt tokens of those that have
// not begun, and the unevenness: the most such tokens at one endpoint as a multiple of the mean over those with requests
// within the last minute, 0 without any tokens.
func (l *Ledger) Work() (running int, prefill int64, unevenness float64) {
	now := l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	overdue := l.overdue(now)
	most := int64(0)
	for _, b := range l.books {
		unread := b.prefill - overdue[b].prefill
		running += b.running - overdue[b].running
		prefill += unread
		most = max(most, unread)
	}
	if prefill > 0 {
		unevenness = float64(most) * float64(len(l.books)) / float64(prefill)
	}
	return running, prefill, unevenness
}
