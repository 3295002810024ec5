// Package crash holds what entry hosts tell each other of a prompt part that may crash endpoints.
package crash

import (
	"slices"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/ruling"
)

// oneCrash is the time within which reports on the same endpoint process are about the same crash. A process that starts
// again in the same place takes longer.
const oneCrash = 500 * time.Millisecond

// Report is what one or more hosts know of a prompt part.
type Report struct {
	// Depth is the position of the part in its prompts, 0 for the first part: the deeper, the fewer requests share it.
	Depth int `json:"depth,omitempty"`
	// Crashes holds the crashes of endpoints that had begun, or were about to begin, to answer a request with the part.
	Crashes []sighting `json:"crashes,omitempty"`
	// Answered is set when a request with the part was answered, and AnsweredAge is the time since the last answer.
	Answered    bool          `json:"answered,omitempty"`
	AnsweredAge time.Duration `json:"answered-age-ns,omitempty"`
	// Ruling is the decision to refuse requests with the part, nil for none.
	Ruling *ruling.Ruling `json:"ruling,omitempty"`
}

// sighting is one crash.
type sighting struct {
	// Process identifies the endpoint's process.
	Process string `json:"process"`
	// Weight is how likely the part caused it, from 0 to 1.
	Weight float64 `json:"weight"`
	// Age is the time since the crash.
	Age time.Duration `json:"age-ns"`
}

// AddCrash adds the crash of an endpoint process. Of several reports on a crash, the one of the greatest weight counts.
func (r *Report) AddCrash(process string, weight float64, age time.Duration) {
	i := slices.IndexFunc(r.Crashes, func(c sighting) bool { return c.Process == process && SameCrash(c.Age, age) })
	switch {
	case i < 0:
		r.Crashes = append(r.Crashes, sighting{Process: process, Weight: weight, Age: age})
	case weight > r.Crashes[i].Weight:
		r.Crashes[i].Weight = weight
	}
}

// SameCrash reports whether two reports on an endpoint process, of the given ages, are about the same crash.
func SameCrash(a, b time.Duration) bool { return (a - b).Abs() < oneCrash }

// Plus returns the report of both: all crashes, the latest answer and the latest decision.
func (r Report) Plus(other Report) Report {
	out := r
	out.Depth = max(r.Depth, other.Depth)
	out.Crashes = slices.Clone(r.Crashes)
	for _, c := range other.Crashes {
		out.AddCrash(c.Process, c.Weight, c.Age)
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
	out.Crashes = slices.Clone(r.Crashes)
	for i := range out.Crashes {
		out.Crashes[i].Age += d
	}
	out.AnsweredAge += d
	return out
}
