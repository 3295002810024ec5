// Package proof simulates moves on the users' platform whose evidence depends on what callers do, too: they leave, and they ask
// for what does not exist.
package proof

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/coordination/canary"
	"github.com/dragonflyroute/dragonflyroute/coordination/moves"
	"github.com/dragonflyroute/dragonflyroute/coordination/ramp"
	"github.com/dragonflyroute/dragonflyroute/protocol/ending"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/result"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
)

const (
	entry label.Name = "plume"
	// aim is the routes' latency objective, first the median time to the first part of an answer, and spread the standard
	// deviation of its logarithm.
	aim    = 500 * time.Millisecond
	first  = 350 * time.Millisecond
	spread = 0.15
	// patience is how long callers wait for an answer, and slowness how many times as long slow answers take.
	patience = 2400 * time.Millisecond
	slowness = 8
	// step is the time between two steps of the move.
	step  = time.Second
	slots = 64
	// burstShare is the share of callers who err in a burst.
	burstShare = 0.5
)

// Simulation is one move.
type Simulation struct {
	// Seed determines the whole run.
	Seed uint64
	// Rate is the number of requests per second, over a number of routes.
	Rate   float64
	Routes int
	// Lasts is the time that the operator gives the move.
	Lasts time.Duration
	// Slow, Missing, Failing and Rejecting are the shares of the requests, at the old and at the new version, whose answers take so
	// long that callers leave, have status 404, have status 500, or are rejections as not run.
	Slow, Missing, Failing, Rejecting [2]float64
	// Leaving is the share of callers who leave at a time of their own, up to patience.
	Leaving float64
	// Bursts is the share of the seconds in which half of the callers of both versions ask for what does not exist.
	Bursts float64
	// Blind leaves out the evidence of callers who leave, of rejections and of statuses below 500.
	Blind bool

	// Done and RolledBack report how the move ended, Reason why it was rolled back, and Elapsed when.
	Done, RolledBack bool
	Reason           string
	Elapsed          time.Duration
	// Requests counts the requests in the time of the move, and Exposed those at the new version.
	Requests, Exposed int

	rand      *rand.Rand
	now       time.Time
	canary    *canary.Canary
	moves     *moves.Moves
	endpoints []*target.Target
	routes    []*path.Route
	// missing is the share of the present second's requests, on either version, that ask for what does not exist.
	missing float64
}

// Run simulates the move until its time is over, and sets the results.
func (s *Simulation) Run() {
	s.prepare()
	began := s.now
	for s.now.Sub(began) < s.Lasts {
		s.now = s.now.Add(step)
		s.missing = 0
		if s.rand.Float64() < s.Bursts {
			s.missing = burstShare
		}
		for range s.poisson(s.Rate * step.Seconds()) {
			s.request()
		}
		s.moves.Step(context.Background())
		if m, _ := s.canary.State(entry, moveID); !s.Done && !s.RolledBack && m.State != "" && m.Ended() {
			s.Done, s.RolledBack, s.Reason, s.Elapsed = m.State == move.Done, m.State == move.RolledBack, m.Reason, s.now.Sub(began)
		}
	}
}

const moveID = "plume@1"

func (s *Simulation) prepare() {
	s.rand = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.now = time.Unix(1000, 0)
	for _, version := range []label.Name{"v1", "v2"} {
		s.endpoints = append(s.endpoints, target.New(roster.Row{Backend: entry, Version: version, State: roster.Live, Slots: slots}))
	}
	for i := range max(1, s.Routes) {
		s.routes = append(s.routes, &path.Route{Name: label.Name(fmt.Sprint("route-", i)), TargetLatency: aim})
	}
	now := func() time.Time { return s.now }
	own, steps := &trials.Trials{Now: now}, ramp.Default()
	s.canary = &canary.Canary{Trials: own, Judge: steps.Judge, Rand: s.rand.Float64, Now: now}
	s.moves = &moves.Moves{
		Canary: s.canary, Trials: own, Ramp: steps, Hosts: &rows{}, Status: &rows{},
		Serving: func(label.Name, []label.Name) label.Name { return "v1" },
		Held:    func() (int64, bool) { return 1, true },
		Decode: func(int64, []byte) (move.Move, time.Duration, error) {
			return move.Move{ID: moveID, Entry: entry, To: "v2"}, s.Lasts, nil
		},
		EncodeStatus: func(m move.Move) (string, []byte, error) { return "status", []byte(m.State), nil },
		Now:          now, Log: hclog.NewNullLogger(),
	}
	s.moves.Request(record.Record{Key: "rollout", Version: 1})
}

// request plays one request.
func (s *Simulation) request() {
	w := &work.Request{Backend: entry, Route: s.routes[s.rand.IntN(len(s.routes))]}
	chosen := s.canary.Choose(w)
	t := chosen.Filter(s.endpoints)[0]
	version := 0
	s.Requests++
	if t.Row().Version == "v2" {
		version = 1
		s.Exposed++
	}
	r := s.answer(version)
	if s.Blind {
		if r.Ending == ending.CallerGone || r.Ending == ending.NotRun {
			return
		}
		if r.Ending == ending.Delivered {
			r.Status = http.StatusOK
		}
	}
	s.canary.Record(chosen, t, w, r)
}

// answer draws the result of a request at the old version, 0, or the new one, 1.
func (s *Simulation) answer(version int) result.Result {
	r := result.Result{Ending: ending.Delivered, Sent: true, Status: http.StatusOK, TimeToFirst: time.Duration(float64(first) * math.Exp(spread*s.rand.NormFloat64()))}
	waits := patience
	if s.rand.Float64() < s.Leaving {
		waits = time.Duration(s.rand.Float64() * float64(patience))
	}
	x := s.rand.Float64()
	// falls reports whether the draw falls into the next share.
	falls := func(share [2]float64) bool {
		x -= share[version]
		return x < 0
	}
	switch {
	case falls(s.Slow):
		r.TimeToFirst *= slowness
	case falls(s.Missing), falls([2]float64{s.missing, s.missing}):
		r.Status = http.StatusNotFound
	case falls(s.Failing):
		r.Ending, r.Status = ending.Failed, http.StatusInternalServerError
	case falls(s.Rejecting):
		return result.Result{Ending: ending.NotRun, Sent: true, Status: http.StatusServiceUnavailable}
	}
	if r.TimeToFirst > waits {
		return result.Result{Ending: ending.CallerGone, Sent: true, Waited: waits}
	}
	return r
}

// poisson draws the number of arrivals in a step, as the sum of draws of small mean.
func (s *Simulation) poisson(mean float64) int {
	const most = 50.0
	n := 0
	for left := mean; left > 0; left -= most {
		product, bound := s.rand.Float64(), math.Exp(-min(left, most))
		for ; product > bound; n++ {
			product *= s.rand.Float64()
		}
	}
	return n
}

// rows is a table that takes every write.
type rows struct{ version int64 }

func (*rows) Observe(record.Record) {}

func (*rows) Known(key string) record.Record { return record.Record{Key: key} }

func (rs *rows) Write(context.Context, string, []byte) (int64, error) {
	rs.version++
	return rs.version, nil
}
