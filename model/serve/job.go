package serve

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/drain"
	"github.com/dragonflyroute/dragonflyroute/coordination/route"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/need"
	"github.com/dragonflyroute/dragonflyroute/state/server"
)

// retryPause is the delay before the next attempt when no endpoint is usable.
const retryPause = 100 * time.Millisecond

// job is one admitted request.
type job struct {
	sim          *Simulation
	host         *entryHost
	account      acct.ID
	entry        *entry.Entry
	promptTokens int
	sharedTokens int
	prefix       uint64
	outTokens    int
	doneTokens   int
	arrived      time.Time
	firstToken   time.Time
	decodeStart  time.Time
	// run is incremented by each start and pause, and makes events that were scheduled before void.
	run       int
	prefilled bool
	// computed reports that some engine has computed the prompt, and kvSource is the engine that still holds the KV
	// cache, or nil.
	computed bool
	kvSource *engine
	// duringFlood marks a request of a small account that arrived during the flood.
	duringFlood bool
	engine      *engine
	// known is the entry host's state of the engine, or nil.
	known   *server.Server
	release func()
}

// send simulates one request of an account: admission, then dispatch.
func (s *Simulation) send(e *entry.Entry, id acct.ID) {
	s.Sent++
	h := s.entryHostFor(id)
	release := s.admit(h, id, e)
	if release == nil {
		s.Refused++
		if s.flooding && id == floodAccount {
			s.RefusedFlood++
		}
		return
	}
	j := &job{sim: s, host: h, account: id, entry: e, arrived: s.now, release: release, duringFlood: s.flooding && id != floodAccount, prefix: uint64(s.rand.IntN(s.Prefixes))}
	if e.Class == class.Quick {
		j.promptTokens, j.sharedTokens, j.outTokens = 300+s.rand.IntN(900), 250, 20+s.rand.IntN(45)
	} else {
		j.promptTokens, j.sharedTokens, j.outTokens = 1500+s.rand.IntN(5000), 1000, 200+s.rand.IntN(600)
	}
	j.dispatch(true)
}

// prefixHash returns the hash of the prompt's prefix.
func (j *job) prefixHash() uint64 { return hashPrefix(j.prefix) }

// hashPrefix distributes the small prefix numbers over 64 bits, like the hash that entry hosts compute.
func hashPrefix(prefix uint64) uint64 { return (prefix + 1) * 0x9e3779b97f4a7c15 }

// requirements returns the inputs of the routing decision for the rest of the job.
func (j *job) requirements() *need.Requirements {
	n := &need.Requirements{
		Class:        j.entry.Class,
		PromptTokens: j.promptTokens + j.doneTokens,
		OutTokens:    j.outTokens - j.doneTokens,
		Prefix:       j.prefixHash(),
		Answer:       j.entry.Limits.Answer.Duration() - j.sim.now.Sub(j.arrived),
		Refund:       j.entry.Refund,
		PriceCeiling: j.entry.PriceCeiling,
	}
	if j.firstToken.IsZero() {
		n.FirstToken = max(j.entry.Limits.FirstToken.Duration()-j.sim.now.Sub(j.arrived), 1)
	}
	return n
}

// dispatch sends the job to an engine. At admission, policy Product refuses a job that can't meet its latency limits;
// otherwise dispatch retries until an engine is usable.
func (j *job) dispatch(atAdmission bool) {
	e := j.pickEngine(atAdmission)
	if e == nil && atAdmission && j.sim.Policy == Product {
		j.sim.Refused++
		j.sim.RefusedLate++
		j.release()
		return
	}
	if atAdmission {
		j.countAccepted()
	}
	if e == nil || !e.up {
		j.sim.after(retryPause, func() { j.dispatch(false) })
		return
	}
	j.host.outstanding[e]++
	if j.known = j.host.server(e); j.known != nil {
		j.known.Begin(j.entry.Class, j.sim.now)
		j.known.Cached().RecordSent(j.prefixHash(), j.sim.now)
	}
	e.enqueue(j)
}

func (j *job) countAccepted() {
	s := j.sim
	if j.entry.Class == class.Quick {
		s.QuickAccepted++
		if j.duringFlood {
			s.SmallQuickAccepted++
		}
		return
	}
	s.LongAccepted++
}

// pickEngine returns the engine that the policy chooses, or nil.
func (j *job) pickEngine(atAdmission bool) *engine {
	s := j.sim
	switch s.Policy {
	case LeastOutstanding:
		return j.leastOutstanding()
	case RoundRobin:
		s.roundRobin++
		return s.engines[s.roundRobin%len(s.engines)]
	}
	n := j.requirements()
	best, slack := j.host.picker.Pick(j.host.pool.Candidates("b", "v1"), n, nil, s.now)
	if best == nil || atAdmission && !route.InTime(n, slack) {
		return nil
	}
	for _, e := range s.engines {
		if e.id == string(best.Row().ID) {
			return e
		}
	}
	return nil
}

// leastOutstanding returns the engine with the fewest outstanding requests of the job's entry host.
func (j *job) leastOutstanding() *engine {
	var best *engine
	for _, e := range j.sim.engines {
		if best == nil || j.host.outstanding[e] < j.host.outstanding[best] {
			best = e
		}
	}
	return best
}

// start schedules the first token and the end of the job after its prefill; a later pause makes both events void.
func (j *job) start(prefill time.Duration) {
	s := j.sim
	j.run++
	run := j.run
	j.decodeStart = s.now.Add(prefill)
	s.after(prefill+tokenTime, func() {
		if j.run == run && j.firstToken.IsZero() {
			j.firstToken = s.now
		}
	})
	s.after(prefill+time.Duration(j.outTokens-j.doneTokens)*tokenTime, func() {
		if j.run == run {
			j.finish()
		}
	})
}

// pause stops decoding and keeps the tokens generated so far.
func (j *job) pause() {
	if generated := int(j.sim.now.Sub(j.decodeStart) / tokenTime); generated > 0 {
		j.doneTokens = min(j.outTokens, j.doneTokens+generated)
	}
	j.run++
}

// detach ends the job's run on an engine.
func (j *job) detach(e *engine) {
	j.host.outstanding[e]--
	if j.known != nil {
		j.known.End(j.entry.Class)
		j.known = nil
	}
	if !j.decodeStart.IsZero() {
		j.pause()
	}
	j.decodeStart = time.Time{}
}

// redispatch continues an interrupted job on another engine: policy Product keeps the tokens generated so far, the
// baseline policies start again.
func (j *job) redispatch() {
	s := j.sim
	if j.prefilled && s.Policy == Product {
		j.kvSource = j.engine
	}
	j.prefilled = false
	if s.Policy != Product {
		s.RecomputedTokens += j.doneTokens
		j.doneTokens = 0
		j.firstToken = time.Time{}
	}
	j.dispatch(false)
}

// migrateJobs moves the jobs that won't complete within the reclaim notice to other engines.
func (e *engine) migrateJobs() {
	if !e.up {
		return
	}
	notice := e.terminatesAt.Sub(e.sim.now)
	for _, j := range e.jobs() {
		generated := 0
		if !j.decodeStart.IsZero() {
			generated = max(0, int(e.sim.now.Sub(j.decodeStart)/tokenTime))
		}
		if j.prefilled && drain.FitsNotice(j.outTokens-j.doneTokens-generated, tokenTime, notice) {
			continue
		}
		e.remove(j)
		j.detach(e)
		j.redispatch()
	}
}

// finish completes the job and counts whether it met its latency limits.
func (j *job) finish() {
	s, e := j.sim, j.engine
	j.detach(e)
	e.remove(j)
	j.release()
	limits := &j.entry.Limits
	inTime := s.now.Sub(j.arrived) <= limits.Answer.Duration() && j.firstToken.Sub(j.arrived) <= limits.FirstToken.Duration()
	if !inTime {
		s.Refunds += float64(j.entry.Refund)
		return
	}
	if j.entry.Class == class.Long {
		s.LongInTime++
		return
	}
	s.QuickInTime++
	if j.duringFlood {
		s.SmallQuickInTime++
	}
}
