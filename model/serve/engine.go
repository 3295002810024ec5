package serve

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/kvevt"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/server"
)

const (
	slots       = 8
	tokenTime   = 20 * time.Millisecond
	prefillRate = 4000.0
	cacheSize   = 64
	// transferRate is tokens per second at which engines hand their KV cache to each other.
	transferRate = 20_000.0
	warmTime     = 30 * time.Second
	// eventLoss is the part of the cache's events that nobody hears of.
	eventLoss = 0.01
)

// engine is a model server: a batch of slots, quick work before long, a small prefix cache.
type engine struct {
	serve   *Serve
	id      string
	dc      int
	price   int64
	boots   int
	up      bool
	since   time.Time
	total   time.Duration
	leaving bool
	deadAt  time.Time
	active  []*job
	quick   []*job
	long    []*job
	cache   map[uint64]bool
	recent  []uint64
	// changes are the cache's events of this boot that are not lost; seq counts all.
	changes []kvevt.Event
	seq     uint64
}

func (e *engine) boot() {
	e.up, e.leaving = true, false
	e.since = e.serve.now
	e.boots++
	e.cache, e.recent = map[uint64]bool{}, nil
	e.changes, e.seq = nil, 0
}

// held returns how long the host was paid for.
func (e *engine) held(now time.Time) time.Duration {
	if e.up {
		return e.total + now.Sub(e.since)
	}
	return e.total
}

func (e *engine) row() roster.Row {
	r := roster.Row{ID: endpt.ID(e.id), Address: "10.0.0.1:" + e.id, Backend: "b", Version: "v1", State: roster.Live, Price: e.price}
	r.Address += "/" + time.Duration(e.boots).String()
	if e.leaving {
		r.State = roster.Leaving
		r.NoticeMillis = e.deadAt.Sub(e.serve.now).Milliseconds()
	}
	return r
}

func (e *engine) load() (running, waiting [class.Call + 1]int) {
	for _, j := range e.active {
		running[j.entry.Class]++
	}
	waiting[class.Quick], waiting[class.Long] = len(e.quick), len(e.long)
	return running, waiting
}

func (e *engine) all() []*job { return slices.Concat(e.active, e.quick, e.long) }

// reclaim takes a reclaimable host back after its notice, and gives a new one after a while.
func (e *engine) reclaim(notice, gone time.Duration) {
	if e.price == onDemand || e.leaving || !e.up {
		return
	}
	e.leaving = true
	e.deadAt = e.serve.now.Add(notice)
	if e.serve.Policy == Product {
		e.serve.after(listLag, e.depart)
	}
	e.serve.after(notice, e.die)
	e.serve.after(notice+gone+warmTime, e.boot)
}

func (e *engine) die() {
	lost := e.all()
	e.active, e.quick, e.long = nil, nil, nil
	e.up = false
	e.total += e.serve.now.Sub(e.since)
	for _, j := range lost {
		j.stop(e)
		j.elsewhere()
	}
}

func (e *engine) add(j *job) {
	j.on = e
	if j.entry.Class == class.Quick {
		e.quick = append(e.quick, j)
		e.preempt()
	} else {
		e.long = append(e.long, j)
	}
	e.fill()
}

// preempt gives a long answer's slot to a waiting quick one.
func (e *engine) preempt() {
	if len(e.active) < slots || len(e.quick) == 0 {
		return
	}
	for i, j := range e.active {
		if j.entry.Class == class.Long {
			j.pause()
			e.active = slices.Delete(e.active, i, i+1)
			e.long = append([]*job{j}, e.long...)
			return
		}
	}
}

func (e *engine) fill() {
	for len(e.active) < slots && len(e.quick)+len(e.long) > 0 {
		from := &e.quick
		if len(e.quick) == 0 {
			from = &e.long
		}
		j := (*from)[0]
		*from = (*from)[1:]
		e.active = append(e.active, j)
		j.start(e.prefill(j))
	}
}

// prefill returns the time to compute the text so far; a cached prefix saves most of the prompt.
func (e *engine) prefill(j *job) time.Duration {
	if j.prefilled {
		return 0
	}
	j.prefilled = true
	tokens := j.prompt + j.done
	from := j.keeps
	j.keeps = nil
	if transfer := time.Duration(float64(tokens) / transferRate * float64(time.Second)); from.lives(transfer) {
		return transfer
	}
	if j.computed {
		e.serve.Recomputed += tokens
	}
	j.computed = true
	e.serve.PrefixSent++
	if e.cache[j.prefix] {
		e.serve.PrefixHits++
		tokens -= j.shared
	}
	e.remember(j.prefix)
	return time.Duration(float64(tokens) / prefillRate * float64(time.Second))
}

// lives reports whether the engine stays up for d more.
func (e *engine) lives(d time.Duration) bool {
	return e != nil && e.up && (!e.leaving || e.deadAt.After(e.serve.now.Add(d)))
}

func (e *engine) remember(prefix uint64) {
	if e.cache[prefix] {
		return
	}
	e.cache[prefix] = true
	e.tell(prefix, true)
	e.recent = append(e.recent, prefix)
	if len(e.recent) > cacheSize {
		e.tell(e.recent[0], false)
		delete(e.cache, e.recent[0])
		e.recent = e.recent[1:]
	}
}

// tell makes a change of the cache known, or loses it.
func (e *engine) tell(prefix uint64, stored bool) {
	e.seq++
	if e.serve.events.Float64() >= eventLoss {
		e.changes = append(e.changes, kvevt.Event{Seq: e.seq, Prefix: spread(prefix), Stored: stored})
	}
}

// hear gives an entry host the events up to a number, as they were a while ago.
func (e *engine) hear(known *server.Server, last uint64, now time.Time) {
	after := known.Cached().LastSeq()
	from, _ := slices.BinarySearchFunc(e.changes, after+1, func(c kvevt.Event, seq uint64) int { return cmp.Compare(c.Seq, seq) })
	to, _ := slices.BinarySearchFunc(e.changes, last+1, func(c kvevt.Event, seq uint64) int { return cmp.Compare(c.Seq, seq) })
	known.Cached().Apply(last, e.changes[min(from, to):to], now)
}

func (e *engine) remove(j *job) {
	same := func(o *job) bool { return o == j }
	e.active = slices.DeleteFunc(e.active, same)
	e.quick = slices.DeleteFunc(e.quick, same)
	e.long = slices.DeleteFunc(e.long, same)
	e.fill()
}

// server returns what the entry host knows of the engine, or nil.
func (h *entryHost) server(e *engine) *server.Server {
	for _, known := range h.pool.Candidates("b", "v1") {
		if known.Row().ID == endpt.ID(e.id) {
			return known
		}
	}
	return nil
}
