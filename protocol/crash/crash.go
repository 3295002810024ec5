// Package crash holds what entry hosts tell each other of a prompt part that may crash endpoints.
package crash

import (
	"maps"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/ruling"
)

// Report is what one or more hosts know of a prompt part.
type Report struct {
	// Crashes holds the endpoint processes that crashed when they had begun, or were about to begin, to answer a request
	// with the part, by process.
	Crashes map[string]sighting `json:"crashes,omitempty"`
	// Depth is the greatest known position of the part in a prompt, 0 for the first part.
	Depth int `json:"depth,omitempty"`
	// Answered is set when a request with the part was answered after such a crash, and AnsweredAge is the time since the
	// last answer.
	Answered    bool          `json:"answered,omitempty"`
	AnsweredAge time.Duration `json:"answered-age-ns,omitempty"`
	// Ruling is the decision to refuse requests with the part, nil for none.
	Ruling *ruling.Ruling `json:"ruling,omitempty"`
}

// sighting is one crash.
type sighting struct {
	// Weight is how likely the part caused it, from 0 to 1.
	Weight float64 `json:"weight"`
	// Age is the time since the crash.
	Age time.Duration `json:"age-ns"`
}

// AddCrash adds the crash of an endpoint process. Of several reports on a process, the one of the greatest weight counts.
func (r *Report) AddCrash(process string, weight float64, age time.Duration) {
	if r.Crashes == nil {
		r.Crashes = map[string]sighting{}
	}
	if old, ok := r.Crashes[process]; !ok || weight > old.Weight {
		r.Crashes[process] = sighting{Weight: weight, Age: age}
	}
}

// Plus returns the report of both: all crashes, the latest answer and the latest decision.
func (r Report) Plus(other Report) Report {
	out := r
	out.Crashes = maps.Clone(r.Crashes)
	out.Depth = max(r.Depth, other.Depth)
	for process, c := range other.Crashes {
		out.AddCrash(process, c.Weight, c.Age)
	}
	if other.Answered && (!r.Answered || other.AnsweredAge < r.AnsweredAge) {
		out.Answered, out.AnsweredAge = true, other.AnsweredAge
	}
	if other.Ruling != nil && (r.Ruling == nil || other.Ruling.Supersedes(*r.Ruling)) {
		out.Ruling = other.Ruling
	}
	return out
}

// AgedBy returns the report as it is some time later.
func (r Report) AgedBy(d time.Duration) Report {
	out := r
	out.Crashes = make(map[string]sighting, len(r.Crashes))
	for process, c := range r.Crashes {
		c.Age += d
		out.Crashes[process] = c
	}
	out.AnsweredAge += d
	return out
}
