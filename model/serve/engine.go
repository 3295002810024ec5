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
	batchSlots = 8
	// tokenTime is the time to decode one token, and prefillRate the prompt tokens per second of a prefill.
	tokenTime   = 20 * time.Millisecond
	prefillRate = 4000.0
	cacheSize   = 64
	// transferRate is the rate at which engines transfer a KV cache, in tokens per second.
	transferRate = 20_000.0
	warmUpTime   = 30 * time.Second
	// eventLoss is the probability that a cache event reaches no entry host.
	eventLoss = 0.01
)

// engine is an inference server on a host: a batch with a fixed number of slots, one queue for each class, of which
// quick has priority, and a prefix cache of cacheSize entries.
type engine struct {
	sim          *Simulation
	id           string
	dataCentre   int
	price        int64
	bootCount    int
	up           bool
	upSince      time.Time
	totalUptime  time.Duration
	leaving      bool
	terminatesAt time.Time
	active       []*job
	quickQueue   []*job
	longQueue    []*job
	cache        map[uint64]bool
	cacheOrder   []uint64
	// cacheEvents holds the cache events since the last boot that aren't lost; lastEventSeq counts lost ones too.
	cacheEvents  []kvevt.Event
	lastEventSeq uint64
}

// boot starts the engine with an empty cache.
func (e *engine) boot() {
	e.up, e.leaving = true, false
	e.upSince = e.sim.now
	e.bootCount++
	e.cache, e.cacheOrder = map[uint64]bool{}, nil
	e.cacheEvents, e.lastEventSeq = nil, 0
}

// paidTime returns the total time that the host was up and paid for.
func (e *engine) paidTime(now time.Time) time.Duration {
	if e.up {
		return e.totalUptime + now.Sub(e.upSince)
	}
	return e.totalUptime
}

// row returns the engine's row of the roster; every boot has a new address.
func (e *engine) row() roster.Row {
	r := roster.Row{ID: endpt.ID(e.id), Address: "10.0.0.1:" + e.id, Backend: "b", Version: "v1", State: roster.Live, Price: e.price}
	r.Address += "/" + time.Duration(e.bootCount).String()
	if e.leaving {
		r.State = roster.Leaving
		r.NoticeMillis = e.terminatesAt.Sub(e.sim.now).Milliseconds()
	}
	return r
}

// load returns the numbers of running and waiting jobs by class.
func (e *engine) load() (running, waiting [class.Call + 1]int) {
	for _, j := range e.active {
		running[j.entry.Class]++
	}
	waiting[class.Quick], waiting[class.Long] = len(e.quickQueue), len(e.longQueue)
	return running, waiting
}

func (e *engine) jobs() []*job { return slices.Concat(e.active, e.quickQueue, e.longQueue) }

// reclaim terminates a reclaimable host after its notice, and boots a replacement after the outage and the warm-up.
func (e *engine) reclaim(notice, outage time.Duration) {
	if e.price == onDemand || e.leaving || !e.up {
		return
	}
	e.leaving = true
	e.terminatesAt = e.sim.now.Add(notice)
	if e.sim.Policy == Product {
		e.sim.after(rosterLag, e.migrateJobs)
	}
	e.sim.after(notice, e.terminate)
	e.sim.after(notice+outage+warmUpTime, e.boot)
}

// terminate stops the engine and moves its unfinished jobs to others.
func (e *engine) terminate() {
	interrupted := e.jobs()
	e.active, e.quickQueue, e.longQueue = nil, nil, nil
	e.up = false
	e.totalUptime += e.sim.now.Sub(e.upSince)
	for _, j := range interrupted {
		j.detach(e)
		j.redispatch()
	}
}

// enqueue adds a job to the queue of its class.
func (e *engine) enqueue(j *job) {
	j.engine = e
	if j.entry.Class == class.Quick {
		e.quickQueue = append(e.quickQueue, j)
		e.preempt()
	} else {
		e.longQueue = append(e.longQueue, j)
	}
	e.fillSlots()
}

// preempt pauses a job of class long to free its slot for a waiting quick one.
func (e *engine) preempt() {
	if len(e.active) < batchSlots || len(e.quickQueue) == 0 {
		return
	}
	for i, j := range e.active {
		if j.entry.Class == class.Long {
			j.pause()
			e.active = slices.Delete(e.active, i, i+1)
			e.longQueue = append([]*job{j}, e.longQueue...)
			return
		}
	}
}

// fillSlots starts waiting jobs in free slots, quick ones first.
func (e *engine) fillSlots() {
	for len(e.active) < batchSlots && len(e.quickQueue)+len(e.longQueue) > 0 {
		from := &e.quickQueue
		if len(e.quickQueue) == 0 {
			from = &e.longQueue
		}
		j := (*from)[0]
		*from = (*from)[1:]
		e.active = append(e.active, j)
		j.start(e.prefillTime(j))
	}
}

// prefillTime returns the time to build the job's KV cache: the transfer from its last engine if that stays up long
// enough, else the prefill of the tokens so far, without the shared prefix if that is cached.
func (e *engine) prefillTime(j *job) time.Duration {
	if j.prefilled {
		return 0
	}
	j.prefilled = true
	tokens := j.promptTokens + j.doneTokens
	source := j.kvSource
	j.kvSource = nil
	if transfer := time.Duration(float64(tokens) / transferRate * float64(time.Second)); source.staysUpFor(transfer) {
		return transfer
	}
	if j.computed {
		e.sim.RecomputedTokens += tokens
	}
	j.computed = true
	e.sim.PrefixLookups++
	if e.cache[j.prefix] {
		e.sim.PrefixHits++
		tokens -= j.sharedTokens
	}
	e.cachePrefix(j.prefix)
	return time.Duration(float64(tokens) / prefillRate * float64(time.Second))
}

// staysUpFor reports whether the engine, which may be nil, is up and isn't terminated within d.
func (e *engine) staysUpFor(d time.Duration) bool {
	return e != nil && e.up && (!e.leaving || e.terminatesAt.After(e.sim.now.Add(d)))
}

// cachePrefix adds a prefix to the cache and evicts the oldest one over cacheSize.
func (e *engine) cachePrefix(prefix uint64) {
	if e.cache[prefix] {
		return
	}
	e.cache[prefix] = true
	e.recordCacheEvent(prefix, true)
	e.cacheOrder = append(e.cacheOrder, prefix)
	if len(e.cacheOrder) > cacheSize {
		e.recordCacheEvent(e.cacheOrder[0], false)
		delete(e.cache, e.cacheOrder[0])
		e.cacheOrder = e.cacheOrder[1:]
	}
}

// recordCacheEvent numbers a cache event and keeps it for delivery, unless it is lost.
func (e *engine) recordCacheEvent(prefix uint64, stored bool) {
	e.lastEventSeq++
	if e.sim.eventRand.Float64() >= eventLoss {
		e.cacheEvents = append(e.cacheEvents, kvevt.Event{Seq: e.lastEventSeq, Prefix: hashPrefix(prefix), Stored: stored})
	}
}

// deliverCacheEvents applies the events up to lastSeq that an entry host doesn't have yet.
func (e *engine) deliverCacheEvents(known *server.Server, lastSeq uint64, now time.Time) {
	after := known.Cached().LastSeq()
	from, _ := slices.BinarySearchFunc(e.cacheEvents, after+1, func(c kvevt.Event, seq uint64) int { return cmp.Compare(c.Seq, seq) })
	to, _ := slices.BinarySearchFunc(e.cacheEvents, lastSeq+1, func(c kvevt.Event, seq uint64) int { return cmp.Compare(c.Seq, seq) })
	known.Cached().Apply(lastSeq, e.cacheEvents[min(from, to):to], now)
}

// remove takes a job out of the batch and the queues.
func (e *engine) remove(j *job) {
	same := func(o *job) bool { return o == j }
	e.active = slices.DeleteFunc(e.active, same)
	e.quickQueue = slices.DeleteFunc(e.quickQueue, same)
	e.longQueue = slices.DeleteFunc(e.longQueue, same)
	e.fillSlots()
}

// server returns the entry host's state of the engine, or nil if its pool doesn't list the engine.
func (h *entryHost) server(e *engine) *server.Server {
	for _, known := range h.pool.Candidates("b", "v1") {
		if known.Row().ID == endpt.ID(e.id) {
			return known
		}
	}
	return nil
}
