// Package stats holds load statistics that add up over entry hosts.
package stats

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/cold"
	"github.com/dragonflyroute/dragonflyroute/protocol/crash"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/linear"
	"github.com/dragonflyroute/dragonflyroute/protocol/notice"
)

// Stats holds the load statistics of one entry host, or the totals of several.
type Stats struct {
	// Hosts is the number of hosts that the totals cover.
	Hosts int `json:"hosts"`
	// Demand is the rate-limit units per second that each account requests, admitted or not.
	Demand map[acct.ID]float64 `json:"demand,omitempty"`
	// Admitted is the rate-limit units of each account that were admitted in the last rate-limit window. Coverage is
	// the sum, over the hosts, of the fraction of that window for which each has been running.
	Admitted map[acct.ID]float64 `json:"used,omitempty"`
	Coverage float64             `json:"seasoned"`
	// AgeSum is the sum over the hosts of the age of their account statistics, in seconds.
	AgeSum float64 `json:"aged,omitempty"`
	// AccountsOnly is set when only the account statistics and the request limits are present.
	AccountsOnly bool `json:"brief,omitempty"`
	// PrefillRate is the prompt tokens per second that the hosts send to each back end.
	PrefillRate map[label.Name]float64 `json:"prefill,omitempty"`
	// FirstTokenFit is the linear fit of the time to first token, in seconds, against the prompt tokens, by back end.
	FirstTokenFit map[label.Name]linear.Fit `json:"speed,omitempty"`
	// InFlight is the number of requests in flight, by endpoint.
	InFlight map[string]int `json:"sent,omitempty"`
	// PrefillTokens is the number of prompt tokens in flight whose answer has not begun, by endpoint.
	PrefillTokens map[string]int64 `json:"unread,omitempty"`
	// RequestLimits holds what endpoints have told the hosts themselves of their request limits, by endpoint; the newest
	// counts.
	RequestLimits map[string]notice.Notice `json:"request-limits,omitempty"`
	// Cold holds what the hosts themselves found of endpoints that are cold or may be, by endpoint; the newest counts.
	Cold map[string]cold.Report `json:"cold,omitempty"`
	// Prompts holds what the hosts know of prompt parts that may crash endpoints, by the part's hash.
	Prompts map[uint64]crash.Report `json:"prompts,omitempty"`
}

// Add adds the statistics of other hosts to s.
func (s *Stats) Add(other *Stats) {
	s.Hosts += other.Hosts
	s.Demand = addSigned(s.Demand, other.Demand, 1)
	s.Admitted = addSigned(s.Admitted, other.Admitted, 1)
	s.Coverage += other.Coverage
	s.AgeSum += other.AgeSum
	s.PrefillRate = addSigned(s.PrefillRate, other.PrefillRate, 1)
	for backend, fit := range other.FirstTokenFit {
		if s.FirstTokenFit == nil {
			s.FirstTokenFit = make(map[label.Name]linear.Fit, len(other.FirstTokenFit))
		}
		s.FirstTokenFit[backend] = s.FirstTokenFit[backend].Plus(fit)
	}
	s.InFlight = addSigned(s.InFlight, other.InFlight, 1)
	s.PrefillTokens = addSigned(s.PrefillTokens, other.PrefillTokens, 1)
	s.RequestLimits = newestLimits(s.RequestLimits, other.RequestLimits)
	s.Cold = newestReports(s.Cold, other.Cold)
	s.Prompts = mergePrompts(s.Prompts, other.Prompts)
}

// ScaleFactor returns the factor that extrapolates the totals to a number of hosts. The totals must cover at least 1 host.
// The factor is below 1 when some hosts are counted twice, which happens after they change the host that they report to.
func (s *Stats) ScaleFactor(hosts int) float64 { return float64(hosts) / float64(s.Hosts) }

// OnlyAccounts returns a copy with the account statistics, and with what is known of endpoints' limits, of cold endpoints and of
// prompts, only.
func (s *Stats) OnlyAccounts() *Stats {
	return &Stats{Hosts: s.Hosts, Demand: s.Demand, Admitted: s.Admitted, Coverage: s.Coverage, AgeSum: s.AgeSum, AccountsOnly: true, RequestLimits: s.RequestLimits, Cold: s.Cold, Prompts: s.Prompts}
}

// WithAccounts returns a copy in which newer values replace those that OnlyAccounts keeps.
func (s *Stats) WithAccounts(accounts *Stats) *Stats {
	out := *s
	out.Hosts, out.Coverage, out.AgeSum = accounts.Hosts, accounts.Coverage, accounts.AgeSum
	out.Demand, out.Admitted = accounts.Demand, accounts.Admitted
	out.RequestLimits, out.Cold, out.Prompts = accounts.RequestLimits, accounts.Cold, accounts.Prompts
	return &out
}

// AgedBy returns a copy in which the values that OnlyAccounts keeps are older by age.
func (s *Stats) AgedBy(age time.Duration) *Stats {
	out := *s
	out.AgeSum += float64(s.Hosts) * max(0, age.Seconds())
	if len(s.RequestLimits) > 0 {
		out.RequestLimits = make(map[string]notice.Notice, len(s.RequestLimits))
	}
	for id, n := range s.RequestLimits {
		n.Age += max(0, age)
		out.RequestLimits[id] = n
	}
	out.Cold = nil
	for id, r := range s.Cold {
		out.Cold = put(out.Cold, id, r.AgedBy(max(0, age)))
	}
	out.Prompts = nil
	for hash, r := range s.Prompts {
		out.Prompts = put(out.Prompts, hash, r.AgedBy(max(0, age)))
	}
	return &out
}

// Without returns the totals less those of some of the hosts in them. Values do not fall below 0. The linear fits and
// AgeSum are not reduced, and the request limits, the reports of cold endpoints and the prompts stay.
func (s *Stats) Without(part *Stats) *Stats {
	out := &Stats{}
	out.Add(s)
	out.AccountsOnly = s.AccountsOnly
	out.Hosts = max(0, s.Hosts-part.Hosts)
	out.Demand = addSigned(out.Demand, part.Demand, -1)
	out.Admitted = addSigned(out.Admitted, part.Admitted, -1)
	out.Coverage = max(0, out.Coverage-part.Coverage)
	out.PrefillRate = addSigned(out.PrefillRate, part.PrefillRate, -1)
	out.InFlight = addSigned(out.InFlight, part.InFlight, -1)
	out.PrefillTokens = addSigned(out.PrefillTokens, part.PrefillTokens, -1)
	return out
}

// newestLimits adds the notices of b to a and returns a; of two notices of an endpoint, that of the later start counts, and
// otherwise the newer one.
func newestLimits(a, b map[string]notice.Notice) map[string]notice.Notice {
	for id, n := range b {
		if a == nil {
			a = make(map[string]notice.Notice, len(b))
		}
		if old, ok := a[id]; ok && (old.StartMillis > n.StartMillis || old.StartMillis == n.StartMillis && old.Age <= n.Age) {
			continue
		}
		a[id] = n
	}
	return a
}

// newestReports adds the reports of b to a and returns a; of two reports on an endpoint, the one that supersedes the other counts.
func newestReports(a, b map[string]cold.Report) map[string]cold.Report {
	for id, r := range b {
		if old, ok := a[id]; !ok || r.Supersedes(old) {
			a = put(a, id, r)
		}
	}
	return a
}

// mergePrompts adds the reports of b to a and returns a.
func mergePrompts(a, b map[uint64]crash.Report) map[uint64]crash.Report {
	for hash, r := range b {
		a = put(a, hash, a[hash].Plus(r))
	}
	return a
}

// put sets a key of a map, which it creates if it is nil, and returns the map.
func put[K comparable, V any](m map[K]V, k K, v V) map[K]V {
	if m == nil {
		m = map[K]V{}
	}
	m[k] = v
	return m
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
