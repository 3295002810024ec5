// Package sched is a deterministic scheduler: it runs actors one at a time on a virtual clock, in an order drawn from a
// seed.
package sched

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// actor is a goroutine under the scheduler's control.
type actor struct {
	group  string
	wake   time.Time
	resume chan struct{}
	killed bool
	done   bool
}

// Sched runs one actor at a time. An actor yields only in Sleep, so every run of a seed is the same.
//
// Its methods may be called by actors, or before Run.
type Sched struct {
	// Rand is the only source of random numbers of the simulation.
	Rand *rand.Rand

	now     time.Time
	actors  []*actor
	current *actor
	yielded chan struct{}
	paused  map[string]time.Time
	g       errgroup.Group
}

// New returns a scheduler for a seed.
func New(seed uint64) *Sched {
	return &Sched{
		Rand:    rand.New(rand.NewPCG(seed, seed)),
		now:     time.Unix(1_000_000, 0),
		yielded: make(chan struct{}),
		paused:  map[string]time.Time{},
	}
}

// Now returns the virtual time.
func (s *Sched) Now() time.Time { return s.now }

// Go starts an actor in a group; a group stands for a process that can be killed or paused.
func (s *Sched) Go(group string, f func()) {
	a := &actor{group: group, wake: s.now, resume: make(chan struct{})}
	s.actors = append(s.actors, a)
	s.g.Go(func() error {
		defer func() {
			a.done = true
			s.yielded <- struct{}{}
		}()
		<-a.resume
		if !a.killed {
			f()
		}
		return nil
	})
}

// Sleep suspends the calling actor for at least d. It doesn't return in a killed actor.
func (s *Sched) Sleep(d time.Duration) {
	a := s.current
	if a.killed {
		runtime.Goexit()
	}
	a.wake = s.now.Add(d)
	s.yielded <- struct{}{}
	<-a.resume
	if a.killed {
		runtime.Goexit()
	}
}

// Jitter sleeps for a random time shorter than d.
func (s *Sched) Jitter(d time.Duration) { s.Sleep(time.Duration(s.Rand.Int64N(int64(d)))) }

// Chance returns true with probability p.
func (s *Sched) Chance(p float64) bool { return s.Rand.Float64() < p }

// Kill ends all actors of a group at their current or next Sleep.
func (s *Sched) Kill(group string) {
	for _, a := range s.actors {
		if a.group == group {
			a.killed = true
		}
	}
}

// Pause suspends all actors of a group for d, like a process that was stopped by a signal.
func (s *Sched) Pause(group string, d time.Duration) { s.paused[group] = s.now.Add(d) }

// Run runs the actors until all have ended. At the limit of virtual time it kills those that are left.
func (s *Sched) Run(limit time.Duration) {
	end := s.now.Add(limit)
	for {
		a := s.next()
		if a == nil {
			break
		}
		if a.wake.After(end) {
			s.killAll()
		}
		s.step(a)
	}
	_ = s.g.Wait()
}

func (s *Sched) killAll() {
	for _, a := range s.actors {
		a.killed = true
	}
}

func (s *Sched) step(a *actor) {
	if !a.killed {
		s.now = later(s.now, s.due(a))
	}
	s.current = a
	a.resume <- struct{}{}
	<-s.yielded
	if a.done {
		s.actors = slices.DeleteFunc(s.actors, func(b *actor) bool { return b == a })
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// due returns the earliest time at which an actor may run.
func (s *Sched) due(a *actor) time.Time { return later(a.wake, s.paused[a.group]) }

// next draws one of the actors that are due first; a killed actor comes before all others, so that it ends.
func (s *Sched) next() *actor {
	var best []*actor
	for _, a := range s.actors {
		if a.killed {
			return a
		}
		at := later(s.now, s.due(a))
		switch {
		case len(best) == 0 || at.Before(later(s.now, s.due(best[0]))):
			best = append(best[:0], a)
		case at.Equal(later(s.now, s.due(best[0]))):
			best = append(best, a)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[s.Rand.IntN(len(best))]
}
