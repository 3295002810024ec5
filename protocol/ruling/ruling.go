// Package ruling holds the decision to refuse requests with a prompt part, as entry hosts store it and tell it each other.
package ruling

import "time"

// Ruling is the decision to refuse requests with a prompt part that crashes endpoints. Its times are those of the clock of
// the host that decided.
type Ruling struct {
	// BlockedAt is when it was decided, and ProbeAt when one request may test the part again.
	BlockedAt time.Time `json:"blocked-at"`
	ProbeAt   time.Time `json:"probe-at"`
	// CrashedAt is when the last of the crashes that led to it was.
	CrashedAt time.Time `json:"crashed-at"`
	// Strikes is the number of decisions on the part, and of tests, without an answer in between.
	Strikes int `json:"strikes"`
}

// InForce reports whether requests with the part are refused.
func (r Ruling) InForce() bool { return !r.BlockedAt.IsZero() }

// Supersedes reports whether the decision is later than another one.
func (r Ruling) Supersedes(other Ruling) bool { return r.BlockedAt.After(other.BlockedAt) }
