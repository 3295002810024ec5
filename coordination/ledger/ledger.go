// Package ledger places the requests of all entry hosts at the endpoints of a shard.
package ledger

import (
	"slices"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/choose"
	"github.com/dragonflyroute/dragonflyroute/coordination/room"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/event"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/state/queue"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	// endSlack is how long after its deadline a request counts that is not known to have ended.
	endSlack = time.Second
	// overdueFactor times its expected time to the first part of its answer, and overdueSlack more, is how long a request
	// counts as not begun if nothing is heard of it.
	overdueFactor = 2
	overdueSlack  = 500 * time.Millisecond
	// sweepInterval is the time between two removals of such requests.
	sweepInterval = 200 * time.Millisecond
	// bookTime is how long the book of an endpoint without requests is kept.
	bookTime = time.Minute
	// maxEntries bounds the requests that are tracked.
	maxEntries = 1 << 15
)

type endpoints interface {
	ByBackend(backend label.Name) []*target.Target
}

type speed interface {
	// TimeToFirstToken returns the expected time to first token after a prefill of the given number of tokens.
	TimeToFirstToken(backend label.Name, tokens int64) time.Duration
}

// Ledger knows what is outstanding at the endpoints of the shards that this host keeps, and places requests there.
//
// All hosts ask the same one to place requests at the endpoints of a shard, and tell it when an answer begins and ends, so
// that it knows the load of each endpoint without the delay of load reports. What it knows is lost with its process; its
// successor starts from the load reports. All methods may be called concurrently.
type Ledger struct {
	// Endpoints lists the endpoints of a back end.
	Endpoints endpoints
	// Speed estimates the prefill time of prompts.
	Speed speed
	// Rand returns a number in [0, 1).
	Rand func() float64
	// Now returns the time.
	Now func() time.Time

	mu      sync.Mutex
	books   map[endpt.ID]*book
	entries map[int64]*entry
	rooms   map[shard]*room.Room
	sweptAt time.Time
}

// shard names one shard of a back end's endpoints.
type shard struct {
	backend label.Name
	n, of   int
}

// entry is a request that was placed.
type entry struct {
	target *target.Target
	book   *book
	tokens int64
	// expected is the expected time to the first part of the answer if the endpoint is as fast as others.
	expected time.Duration
	// overdueAt is when the request counts as begun, and endsAt when it counts as ended, if nothing is heard of it.
	overdueAt, endsAt time.Time
	begun             bool
	// parts holds the prompt parts that the endpoint had not cached at placedAt, and caches for this request.
	parts    []uint64
	placedAt time.Time
}

// Place places a request at an endpoint of a shard. The grant names no endpoint if none may get the request.
func (l *Ledger) Place(t task.Task) grant.Grant {
	l.Record(t.Events)
	now := l.Now()
	w := t.Request()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	b := l.balancer(t.DataCentre)
	var q queue.Queue
	known := func(e *target.Target) (running int, prefill int64, slowdown float64) {
		running, prefill, slowdown = l.book(e, now).load(e, now)
		if failures, _ := e.Failures(now); failures == 0 {
			q.Add(b.Waiting(e, t.Backend, running, prefill, slowdown))
		}
		return running, prefill, slowdown
	}
	all := l.Endpoints.ByBackend(t.Backend)
	donor := choose.ByID(all, t.Donor)
	to := b.PickKnown(candidates(all, &t), donor, t.DonorUncached, w, known, now)
	if to.Target == nil || len(l.entries) >= maxEntries {
		return grant.Grant{}
	}
	if d := l.room(&t).Decide(&t, to.PrefillTokens, to.TimeToFirst, q, now); !d.Admitted() {
		return grant.Grant{Wait: d.Wait, RetryAfter: d.RetryAfter}
	}
	added := to.Target.AddCached(t.Parts, now)
	g := grant.Grant{Endpoint: to.Target.Row().ID, PrefillTokens: to.PrefillTokens, AheadTokens: to.AheadTokens, TimeToFirst: to.TimeToFirst}
	if to.Donor != nil {
		g.Donor = to.Donor.Row().ID
	}
	g.ID = t.ID
	l.enter(t.ID, &entry{
		target: to.Target, tokens: to.PrefillTokens, endsAt: now.Add(t.Left + endSlack),
		expected:  l.Speed.TimeToFirstToken(t.Backend, to.AheadTokens+to.PrefillTokens),
		overdueAt: now.Add(overdueFactor*to.TimeToFirst + overdueSlack),
		placedAt:  now, parts: added,
	}, now)
	return g
}

// room returns what decides who gets room in a task's shard. The caller holds l.mu.
func (l *Ledger) room(t *task.Task) *room.Room {
	key := shard{t.Backend, t.Shard, t.Shards}
	r := l.rooms[key]
	if r == nil {
		r = &room.Room{Rand: l.Rand}
		if l.rooms == nil {
			l.rooms = map[shard]*room.Room{}
		}
		l.rooms[key] = r
	}
	return r
}

// balancer returns the balancer for requests from a data centre.
func (l *Ledger) balancer(from centre.ID) *choose.Balancer {
	return &choose.Balancer{Rand: l.Rand, Speed: l.Speed, DataCentre: from}
}

// candidates returns the endpoints of a task's shard that are not excluded.
func candidates(all []*target.Target, t *task.Task) []*target.Target {
	var out []*target.Target
	for _, e := range all {
		if Shard(e.Hash(), t.Shards) == t.Shard && !slices.Contains(t.Excluded, e.Row().ID) {
			out = append(out, e)
		}
	}
	return out
}

// Shard returns the shard, of a power of two of them, of the endpoint with a hash.
func Shard(hash uint64, shards int) int { return int((hash >> shardShift) & uint64(max(1, shards)-1)) }

// shardShift selects other bits of the hash than those that maps and rendezvous hashing depend on most.
const shardShift = 24

// enter adds an entry. The caller holds l.mu.
func (l *Ledger) enter(id int64, e *entry, now time.Time) {
	if l.entries == nil {
		l.entries = map[int64]*entry{}
	}
	l.record(event.Event{Grant: id, Ended: true}, now)
	e.book = l.book(e.target, now)
	e.book.add(e.tokens, now)
	l.entries[id] = e
}

// book returns the book of an endpoint's present process. The caller holds l.mu.
func (l *Ledger) book(t *target.Target, now time.Time) *book {
	row := t.Row()
	b := l.books[row.ID]
	if b == nil || b.startMillis != row.StartMillis {
		b = &book{startMillis: row.StartMillis, since: now, slowdown: 1}
		if l.books == nil {
			l.books = map[endpt.ID]*book{}
		}
		l.books[row.ID] = b
	}
	return b
}

// Record records what became of placed requests.
func (l *Ledger) Record(events []event.Event) {
	if len(events) == 0 {
		return
	}
	now := l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range events {
		l.record(e, now)
	}
	l.sweep(now)
}

func (l *Ledger) record(e event.Event, now time.Time) {
	p := l.entries[e.Grant]
	if p == nil {
		return
	}
	if e.Begun && !p.begun {
		p.target.RecordProgress(now)
		p.book.observe(e.First, p.expected, e.Slowness, now)
	}
	if e.Failed {
		p.target.RecordFailure(now)
	}
	if e.Ended && !e.Failed && !e.Begun && !p.begun {
		// The endpoint never got the request.
		p.target.ForgetCached(p.parts, p.placedAt)
	}
	if e.Begun || e.Ended {
		p.begin()
	}
	if e.Ended {
		p.book.running--
		delete(l.entries, e.Grant)
	}
}

// begin records that the endpoint has prefilled the request's prompt, or never will.
func (e *entry) begin() {
	if !e.begun {
		e.begun = true
		e.book.prefill -= e.tokens
	}
}

// sweep removes requests of which nothing was heard for too long. The caller holds l.mu.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	for id, e := range l.entries {
		if now.After(e.overdueAt) {
			e.begin()
		}
		if now.After(e.endsAt) {
			e.begin()
			e.book.running--
			delete(l.entries, id)
		}
	}
	for id, b := range l.books {
		if b.running == 0 && now.Sub(b.usedAt) > bookTime {
			delete(l.books, id)
		}
	}
}
