// Package sums holds what several entry hosts have under way together.
package sums

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/linear"
)

// Sums adds up the figures of some entry hosts.
type Sums struct {
	// Hosts is the number of hosts.
	Hosts int `json:"hosts"`
	// Demand is what accounts ask of them, in units of their rates per second.
	Demand map[acct.ID]float64 `json:"demand,omitempty"`
	// Used is the units of accounts' rates that were admitted in the last window of the rates, and Seasoned the sum of the
	// parts of that window since which the hosts run.
	Used     map[acct.ID]float64 `json:"used,omitempty"`
	Seasoned float64             `json:"seasoned"`
	// Aged is the sum of the ages of these hosts' accounts' figures, in seconds.
	Aged float64 `json:"aged,omitempty"`
	// Brief tells that there are only figures of accounts.
	Brief bool `json:"brief,omitempty"`
	// Prefill is the prompt tokens per second that go from them to each back end.
	Prefill map[label.Name]float64 `json:"prefill,omitempty"`
	// Speed is what they saw of the engines' speed by back end: seconds to the first token by prompt tokens.
	Speed map[label.Name]linear.Fit `json:"speed,omitempty"`
	// Sent counts their requests in flight by endpoint.
	Sent map[string]int `json:"sent,omitempty"`
	// Unread counts the prompt tokens in flight that an endpoint has not begun to answer, by endpoint.
	Unread map[string]int64 `json:"unread,omitempty"`
}

// Add adds other hosts' figures.
func (s *Sums) Add(other *Sums) {
	s.Hosts += other.Hosts
	s.Demand = added(s.Demand, other.Demand, 1)
	s.Used = added(s.Used, other.Used, 1)
	s.Seasoned += other.Seasoned
	s.Aged += other.Aged
	s.Prefill = added(s.Prefill, other.Prefill, 1)
	for backend, seen := range other.Speed {
		if s.Speed == nil {
			s.Speed = make(map[label.Name]linear.Fit, len(other.Speed))
		}
		s.Speed[backend] = s.Speed[backend].Plus(seen)
	}
	s.Sent = added(s.Sent, other.Sent, 1)
	s.Unread = added(s.Unread, other.Unread, 1)
}

// Scale returns by how much the figures are to be multiplied to stand for a number of hosts; they must hold one at least. Below 1,
// some are in them twice, as they have changed the host that they tell theirs.
func (s *Sums) Scale(hosts int) float64 { return float64(hosts) / float64(s.Hosts) }

// Accounts returns only the figures of accounts.
func (s *Sums) Accounts() *Sums {
	return &Sums{Hosts: s.Hosts, Demand: s.Demand, Used: s.Used, Seasoned: s.Seasoned, Aged: s.Aged, Brief: true}
}

// Renewed returns the figures with newer ones of accounts.
func (s *Sums) Renewed(accounts *Sums) *Sums {
	out := *s
	out.Hosts, out.Seasoned, out.Aged = accounts.Hosts, accounts.Seasoned, accounts.Aged
	out.Demand, out.Used = accounts.Demand, accounts.Used
	return &out
}

// Older returns the figures as they are after a time.
func (s *Sums) Older(age time.Duration) *Sums {
	out := *s
	out.Aged += float64(s.Hosts) * max(0, age.Seconds())
	return &out
}

// Without returns the figures less those of hosts that are in them, but for what was seen of the engines; none
// falls below nought.
func (s *Sums) Without(part *Sums) *Sums {
	out := &Sums{}
	out.Add(s)
	out.Brief = s.Brief
	out.Hosts = max(0, s.Hosts-part.Hosts)
	out.Demand = added(out.Demand, part.Demand, -1)
	out.Used = added(out.Used, part.Used, -1)
	out.Seasoned = max(0, out.Seasoned-part.Seasoned)
	out.Prefill = added(out.Prefill, part.Prefill, -1)
	out.Sent = added(out.Sent, part.Sent, -1)
	out.Unread = added(out.Unread, part.Unread, -1)
	return out
}

// added returns a with b's values added to it, times a sign; values that are not above nought are left out.
func added[K comparable, V int | int64 | float64](a, b map[K]V, sign V) map[K]V {
	for k, v := range b {
		if a == nil {
			a = make(map[K]V, len(b))
		}
		a[k] += sign * v
		if a[k] <= 0 {
			delete(a, k)
		}
	}
	return a
}
