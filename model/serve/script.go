package serve

import (
	"fmt"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
)

// floodAccount is the large account that floods.
const (
	floodAccount acct.ID = "account-0"
	floodFactor          = 3
	burstFactor          = 2.5
)

// script is the wave of reclaims, the lost data centre, the burst and the flood.
func (s *Serve) script() {
	at := func(minute float64, do func()) { s.after(time.Duration(minute*float64(time.Minute)), do) }
	at(5, func() {
		for _, e := range s.engines {
			if e.dc == 0 {
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
	at(20, func() { s.burst = burstFactor })
	at(21, func() { s.burst = 1 })
	at(24, func() { s.flood = true })
	at(25, func() { s.flood = false })
}

// arrive draws requests, each class by itself.
func (s *Serve) arrive() {
	s.next(s.user.quick, s.user.quickRate)
	s.next(s.user.long, s.user.longRate)
}

func (s *Serve) next(e *entry.Entry, rate float64) {
	wait := time.Duration(s.rand.ExpFloat64() / (rate * s.burst) * float64(time.Second))
	s.after(wait, func() {
		s.send(e, s.account())
		for range s.floods(e) {
			s.send(e, floodAccount)
		}
		s.next(e, rate)
	})
}

func (s *Serve) floods(e *entry.Entry) int {
	if s.flood && e.Class == class.Quick {
		return floodFactor
	}
	return 0
}

// account draws the sender; the first account is the large one.
func (s *Serve) account() acct.ID {
	if s.rand.Float64() < 0.4 {
		return floodAccount
	}
	return acct.ID(fmt.Sprintf("account-%d", 1+s.rand.IntN(accounts-1)))
}
