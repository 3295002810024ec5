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

// retryPause is the wait before another look when no endpoint can be used.
const retryPause = 100 * time.Millisecond

// job is one request on its way.
type job struct {
	serve     *Serve
	host      *entryHost
	account   acct.ID
	entry     *entry.Entry
	prompt    int
	shared    int
	prefix    uint64
	tokens    int
	done      int
	sent      time.Time
	first     time.Time
	began     time.Time
	run       int
	prefilled bool
	// computed tells that an engine computed the text so far, and keeps names the one that still keeps it.
	computed bool
	keeps    *engine
	flood    bool
	on       *engine
	known    *server.Server
	leave    func()
}

func (s *Serve) send(e *entry.Entry, id acct.ID) {
	s.Sent++
	h := s.home(id)
	leave := s.admitted(h, id, e)
	if leave == nil {
		s.Refused++
		if s.flood && id == floodAccount {
			s.RefusedFlood++
		}
		return
	}
	j := &job{serve: s, host: h, account: id, entry: e, sent: s.now, leave: leave, flood: s.flood && id != floodAccount, prefix: uint64(s.rand.IntN(s.Prefixes))}
	if e.Class == class.Quick {
		j.prompt, j.shared, j.tokens = 300+s.rand.IntN(900), 250, 20+s.rand.IntN(45)
	} else {
		j.prompt, j.shared, j.tokens = 1500+s.rand.IntN(5000), 1000, 200+s.rand.IntN(600)
	}
	j.route(true)
}

// hash spreads the prefixes as the product's own hash does.
func (j *job) hash() uint64 { return spread(j.prefix) }

func spread(prefix uint64) uint64 { return (prefix + 1) * 0x9e3779b97f4a7c15 }

func (j *job) need() *need.Requirements {
	n := &need.Requirements{
		Class:        j.entry.Class,
		PromptTokens: j.prompt + j.done,
		OutTokens:    j.tokens - j.done,
		Prefix:       j.hash(),
		Answer:       j.entry.Limits.Answer.Duration() - j.serve.now.Sub(j.sent),
		Refund:       j.entry.Refund,
		PriceCeiling: j.entry.PriceCeiling,
	}
	if j.first.IsZero() {
		n.FirstToken = max(j.entry.Limits.FirstToken.Duration()-j.serve.now.Sub(j.sent), 1)
	}
	return n
}

// route sends the job to an engine; at the door, the product refuses what can't be in time.
func (j *job) route(door bool) {
	e := j.choose(door)
	if e == nil && door && j.serve.Policy == Product {
		j.serve.Refused++
		j.serve.RefusedLate++
		j.leave()
		return
	}
	if door {
		j.accepted()
	}
	if e == nil || !e.up {
		j.serve.after(retryPause, func() { j.route(false) })
		return
	}
	j.host.sent[e]++
	if j.known = j.host.server(e); j.known != nil {
		j.known.Begin(j.entry.Class, j.serve.now)
		j.known.Cached().RecordSent(j.hash(), j.serve.now)
	}
	e.add(j)
}

func (j *job) accepted() {
	s := j.serve
	if j.entry.Class == class.Quick {
		s.QuickAccepted++
		if j.flood {
			s.SmallQuick++
		}
		return
	}
	s.LongAccepted++
}

func (j *job) choose(door bool) *engine {
	s := j.serve
	switch s.Policy {
	case LeastOutstanding:
		return j.least()
	case RoundRobin:
		s.turn++
		return s.engines[s.turn%len(s.engines)]
	}
	n := j.need()
	best, slack := j.host.picker.Pick(j.host.pool.Candidates("b", "v1"), n, nil, s.now)
	if best == nil || door && !route.InTime(n, slack) {
		return nil
	}
	for _, e := range s.engines {
		if e.id == string(best.Row().ID) {
			return e
		}
	}
	return nil
}

func (j *job) least() *engine {
	var best *engine
	for _, e := range j.serve.engines {
		if best == nil || j.host.sent[e] < j.host.sent[best] {
			best = e
		}
	}
	return best
}

// start runs the job after its prefill.
func (j *job) start(prefill time.Duration) {
	s := j.serve
	j.run++
	run := j.run
	j.began = s.now.Add(prefill)
	s.after(prefill+tokenTime, func() {
		if j.run == run && j.first.IsZero() {
			j.first = s.now
		}
	})
	s.after(prefill+time.Duration(j.tokens-j.done)*tokenTime, func() {
		if j.run == run {
			j.finish()
		}
	})
}

// pause stops the job where it is and keeps its tokens.
func (j *job) pause() {
	if made := int(j.serve.now.Sub(j.began) / tokenTime); made > 0 {
		j.done = min(j.tokens, j.done+made)
	}
	j.run++
}

// stop takes the job off an engine.
func (j *job) stop(e *engine) {
	j.host.sent[e]--
	if j.known != nil {
		j.known.End(j.entry.Class)
		j.known = nil
	}
	if !j.began.IsZero() {
		j.pause()
	}
	j.began = time.Time{}
}

// elsewhere goes on with the job on another engine: the product from its tokens, the twins from the start.
func (j *job) elsewhere() {
	s := j.serve
	if j.prefilled && s.Policy == Product {
		j.keeps = j.on
	}
	j.prefilled = false
	if s.Policy != Product {
		s.Recomputed += j.done
		j.done = 0
		j.first = time.Time{}
	}
	j.route(false)
}

// depart moves what would not be whole within the notice away from a leaving engine.
func (e *engine) depart() {
	if !e.up {
		return
	}
	notice := e.deadAt.Sub(e.serve.now)
	for _, j := range e.all() {
		made := 0
		if !j.began.IsZero() {
			made = max(0, int(e.serve.now.Sub(j.began)/tokenTime))
		}
		if j.prefilled && drain.FitsNotice(j.tokens-j.done-made, tokenTime, notice) {
			continue
		}
		e.remove(j)
		j.stop(e)
		j.elsewhere()
	}
}

func (j *job) finish() {
	s, e := j.serve, j.on
	j.stop(e)
	e.remove(j)
	j.leave()
	limits := &j.entry.Limits
	inTime := s.now.Sub(j.sent) <= limits.Answer.Duration() && j.first.Sub(j.sent) <= limits.FirstToken.Duration()
	if !inTime {
		s.Refunds += float64(j.entry.Refund)
		return
	}
	if j.entry.Class == class.Long {
		s.LongInTime++
		return
	}
	s.QuickInTime++
	if j.flood {
		s.SmallQuickInTime++
	}
}
