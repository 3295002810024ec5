// Package ramp decides the next step of a version move.
package ramp

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/judge"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/trial"
)

const (
	// firstShare is the share of a move that has no evidence yet.
	firstShare = 0.015
	// growth bounds the rise of the share in one step.
	growth = 3.0
	// stageRequests is the number of requests on the new version that a step must have seen.
	stageRequests = 20
	// wideRequests replaces stageRequests from wideShare on, where load may show what a small share did not.
	wideRequests = 100
	// wideShare is the share from which steps need more evidence.
	wideShare = 0.25
	// watchRequests is the number of requests at full share before a move is done.
	watchRequests = 200
	// rareRoute is the part of the traffic below which a route need not be proved by itself.
	rareRoute = 0.02
	// routeRequests is the number of requests that each route needs before a move is done.
	routeRequests = 20
)

// Ramp raises the share of the new version as evidence allows.
//
// The share is such that share times the upper limit of the excess of bad answers stays at or below Exposure,
// so that a version that is bad from the start meets few requests whatever its badness.
type Ramp struct {
	// Judge finds bad versions.
	Judge judge.Judge
	// Exposure bounds the share of all requests that may turn bad through the move.
	Exposure float64
}

// Next returns the move after one look at the evidence at now.
//
// total holds all trials of the move and stage those since the share last changed.
func (r *Ramp) Next(m move.Move, total, stage []trial.Trial, now time.Time) move.Move {
	if m.Ended() {
		return m
	}
	if reason, bad := r.bad(total, stage); bad {
		return takenBack(m, reason)
	}
	if m.Share >= 1 && proved(total) && newRequests(stage) >= watchRequests {
		m.State = move.Done
		return m
	}
	if !now.Before(m.FinishBy) {
		return takenBack(m, "no time was left to prove the version")
	}
	if newRequests(stage) >= needed(m.Share) || m.Share == 0 {
		m.Share = r.raise(m.Share, total)
	}
	return m
}

func (r *Ramp) bad(total, stage []trial.Trial) (string, bool) {
	if reason, bad := r.Judge.Bad(total); bad {
		return reason, true
	}
	return r.Judge.Bad(stage)
}

func takenBack(m move.Move, reason string) move.Move {
	m.State = move.TakenBack
	m.Share = 0
	m.Reason = reason
	return m
}

func needed(share float64) int64 {
	if share >= wideShare {
		return wideRequests
	}
	return stageRequests
}

func (r *Ramp) raise(share float64, total []trial.Trial) float64 {
	allowed := r.Exposure / max(r.excess(total), r.Exposure)
	next := min(allowed, share*growth, 1)
	return max(next, share, firstShare)
}

// excess is the upper limit of the additional bad share, each route weighted by its traffic.
func (r *Ramp) excess(total []trial.Trial) float64 {
	requests := int64(0)
	for _, t := range total {
		requests += t.Old + t.New
	}
	if requests == 0 {
		return 1
	}
	sum := 0.0
	for _, t := range total {
		weight := float64(t.Old+t.New) / float64(requests)
		sum += weight * max(0, judge.Upper(t.New, t.NewBad, r.Judge.Alpha)-rate(t.OldBad, t.Old))
	}
	return max(0, sum-r.Judge.Margin)
}

func rate(bad, n int64) float64 {
	if n == 0 {
		return 0
	}
	return float64(bad) / float64(n)
}

func newRequests(trials []trial.Trial) int64 {
	n := int64(0)
	for _, t := range trials {
		n += t.New
	}
	return n
}

// proved reports whether each route that is not rare has met the new version often enough.
func proved(total []trial.Trial) bool {
	requests := int64(0)
	for _, t := range total {
		requests += t.Old + t.New
	}
	for _, t := range total {
		rare := float64(t.Old+t.New) < rareRoute*float64(requests)
		if !rare && t.New < routeRequests {
			return false
		}
	}
	return true
}
