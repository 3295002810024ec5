package serve

import (
	"fmt"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
)

const (
	// floodAccount is the large account, which sends far over its rate during the flood.
	floodAccount acct.ID = "account-0"
	// floodFactor is the number of requests that the flood adds to every quick one.
	floodFactor = 3
	// burstFactor multiplies the request rate during the burst.
	burstFactor = 2.5
)

// scheduleFaults schedules the reclaim of a whole data centre, a wave of reclaims with short notice, the burst and the
// flood.
func (s *Simulation) scheduleFaults() {
	at := func(minute float64, run func()) { s.after(time.Duration(minute*float64(time.Minute)), run) }
	at(5, func() {
		for _, e := range s.engines {
			if e.dataCentre == 0 {
				e.reclaim(30*time.Second, 5*time.Minute)
			}
		}
	})
	at(15, func() {
		for _, e := range s.engines {
			if s.rand.Float64() < 0.3 {
				e.reclaim(5*time.Second, 3*time.Minute)
			}
		}
	})
	at(20, func() { s.rateFactor = burstFactor })
	at(21, func() { s.rateFactor = 1 })
	at(24, func() { s.flooding = true })
	at(25, func() { s.flooding = false })
}

// startArrivals starts an independent Poisson process of requests for each class.
func (s *Simulation) startArrivals() {
	s.scheduleArrival(s.user.quick, s.user.quickRate)
	s.scheduleArrival(s.user.long, s.user.longRate)
}

// scheduleArrival schedules the next request of an entry, and with it the requests of a flood.
func (s *Simulation) scheduleArrival(e *entry.Entry, rate float64) {
	wait := time.Duration(s.rand.ExpFloat64() / (rate * s.rateFactor) * float64(time.Second))
	s.after(wait, func() {
		s.send(e, s.drawAccount())
		for range s.floodRequests(e) {
			s.send(e, floodAccount)
		}
		s.scheduleArrival(e, rate)
	})
}

// floodRequests returns the number of requests that the flood adds to one of an entry.
func (s *Simulation) floodRequests(e *entry.Entry) int {
	if s.flooding && e.Class == class.Quick {
		return floodFactor
	}
	return 0
}

// drawAccount draws the account of a request; the large account sends 40 % of them.
func (s *Simulation) drawAccount() acct.ID {
	if s.rand.Float64() < 0.4 {
		return floodAccount
	}
	return acct.ID(fmt.Sprintf("account-%d", 1+s.rand.IntN(accounts-1)))
}
