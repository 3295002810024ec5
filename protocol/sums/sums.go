// Package sums holds load statistics that add up over entry hosts.
package sums

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/linear"
)

// Sums holds the load statistics of one entry host, or the totals of several.
type Sums struct {
	// Hosts is the number of hosts that the totals cover.
	Hosts int `json:"hosts"`
	// Demand is the rate-limit units per second that each account requests, admitted or not.
	Demand map[acct.ID]float64 `json:"demand,omitempty"`
	// Used is the rate-limit units of each account that were admitted in the last rate-limit window. Coverage is the sum,
	// over the hosts, of the fraction of that window for which each has been running.
	Used     map[acct.ID]float64 `json:"used,omitempty"`
	Seasoned float64             `json:"seasoned"`
	// Aged is the sum over the hosts of the age of their account statistics, in seconds.
	Aged float64 `json:"aged,omitempty"`
	// Brief is set when only the account statistics are present.
	Brief bool `json:"brief,omitempty"`
	// Prefill is the prompt tokens per second that the hosts send to each back end.
	Prefill map[label.Name]float64 `json:"prefill,omitempty"`
	// Speed is the linear fit of the time to first token, in seconds, against the prompt tokens, by back end.
	Speed map[label.Name]linear.Fit `json:"speed,omitempty"`
	// Sent is the number of requests in flight, by endpoint.
	Sent map[string]int `json:"sent,omitempty"`
	// Unread is the number of prompt tokens in flight whose answer has not begun, by endpoint.
	Unread map[string]int64 `json:"unread,omitempty"`
}

// Add adds the statistics of other hosts to s.
func (s *Sums) Add(other *Sums) {
	s.Hosts += other.Hosts
	s.Demand = addSigned(s.Demand, other.Demand, 1)
	s.Used = addSigned(s.Used, other.Used, 1)
	s.Seasoned += other.Seasoned
	s.Aged += other.Aged
	s.Prefill = addSigned(s.Prefill, other.Prefill, 1)
	for backend, seen := range other.Speed {
		if s.Speed == nil {
			s.Speed = make(map[label.Name]linear.Fit, len(other.Speed))
		}
		s.Speed[backend] = s.Speed[backend].Plus(seen)
	}
	s.Sent = addSigned(s.Sent, other.Sent, 1)
	s.Unread = addSigned(s.Unread, other.Unread, 1)
}

// Scale returns the factor that extrapolates the totals to a number of hosts. The totals must cover at least 1 host.
// The factor is below 1 when some hosts are counted twice, which happens after they change the host that they report to.
func (s *Sums) Scale(hosts int) float64 { return float64(hosts) / float64(s.Hosts) }

// Accounts returns a copy with the account statistics only.
func (s *Sums) Accounts() *Sums {
	return &Sums{Hosts: s.Hosts, Demand: s.Demand, Used: s.Used, Seasoned: s.Seasoned, Aged: s.Aged, Brief: true}
}

// Renewed returns a copy whose account statistics are replaced by newer ones.
func (s *Sums) Renewed(accounts *Sums) *Sums {
	out := *s
	out.Hosts, out.Seasoned, out.Aged = accounts.Hosts, accounts.Seasoned, accounts.Aged
	out.Demand, out.Used = accounts.Demand, accounts.Used
	return &out
}

// Older returns a copy whose account statistics are older by age.
func (s *Sums) Older(age time.Duration) *Sums {
	out := *s
	out.Aged += float64(s.Hosts) * max(0, age.Seconds())
	return &out
}

// Without returns the totals less those of some of the hosts in them. Values do not fall below 0. The linear fits and AgeSum
// are not reduced.
func (s *Sums) Without(part *Sums) *Sums {
	out := &Sums{}
	out.Add(s)
	out.Brief = s.Brief
	out.Hosts = max(0, s.Hosts-part.Hosts)
	out.Demand = addSigned(out.Demand, part.Demand, -1)
	out.Used = addSigned(out.Used, part.Used, -1)
	out.Seasoned = max(0, out.Seasoned-part.Seasoned)
	out.Prefill = addSigned(out.Prefill, part.Prefill, -1)
	out.Sent = addSigned(out.Sent, part.Sent, -1)
	out.Unread = addSigned(out.Unread, part.Unread, -1)
	return out
}

// addSigned adds sign times the values of b to a and returns a; values that do not stay above 0 are removed.
func addSigned[K comparable, V int | int64 | float64](a, b map[K]V, sign V) map[K]V {
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
