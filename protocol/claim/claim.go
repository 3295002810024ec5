// Package claim holds the row that lets a non-idempotent call run at most once.
package claim

import "github.com/dragonflyroute/dragonflyroute/protocol/host"

// The states of a claim.
const (
	// Held was claimed; the call may have been sent.
	Held = "held"
	// Finished carries the answer.
	Finished = "finished"
	// Released was proved unsent by its holder and no caller was told so; the next attempt may claim it.
	Released = "released"
	// NotRun was proved unsent and a caller was told so; the call never runs under this key.
	NotRun = "not-run"
	// Unknown was sent and its answer is lost; the call is never sent again.
	Unknown = "unknown"
)

// Claim is the row of one call, keyed by account and idempotency key.
type Claim struct {
	// Holder is the entry host that claimed.
	Holder host.ID `json:"holder"`
	// Incarnation is the start of the holder that claimed.
	Incarnation int64 `json:"incarnation"`
	// WriteID is unique to the write, so that a lost answer can be read back.
	WriteID string `json:"write-id"`
	// Digest is the SHA-256 of entry, route and body, in hexadecimal.
	Digest string `json:"digest"`
	// State is held, finished, released or unknown.
	State string `json:"state"`
	// Status is the HTTP status of the answer.
	Status int `json:"status,omitempty"`
	// ContentType is the media type of the answer.
	ContentType string `json:"content-type,omitempty"`
	// Body is the answer.
	Body []byte `json:"body,omitempty"`
}
