// Package claim holds the table row that ensures that a non-idempotent call runs at most once.
package claim

import "github.com/dragonflyroute/dragonflyroute/protocol/host"

// The states of a claim.
const (
	// Held is claimed by an entry host; the call may have been sent.
	Held = "held"
	// Finished holds the answer.
	Finished = "finished"
	// Released is recorded by its holder as certainly not sent, and no caller has received that result; the next
	// attempt may claim it.
	Released = "released"
	// NotRun was certainly not sent, and a caller has received that result; the call never runs under this key.
	NotRun = "not-run"
	// Unknown may have been sent and its answer is lost; the call is never sent again.
	Unknown = "unknown"
)

// Claim is the table row of one call, keyed by account and idempotency key.
type Claim struct {
	// Holder is the entry host that made the claim.
	Holder host.ID `json:"holder"`
	// Incarnation identifies the start of the holder's process.
	Incarnation int64 `json:"incarnation"`
	// WriteID is unique to the write, so that a write whose response was lost can be recognised when the row is read.
	WriteID string `json:"write-id"`
	// Digest is the SHA-256 of entry, route and body, in hexadecimal.
	Digest string `json:"digest"`
	// State is held, finished, released, not-run or unknown.
	State string `json:"state"`
	// Status is the HTTP status of the answer.
	Status int `json:"status,omitempty"`
	// ContentType is the media type of the answer.
	ContentType string `json:"content-type,omitempty"`
	// Body is the body of the answer.
	Body []byte `json:"body,omitempty"`
}
