// Package work holds the metadata of a request.
package work

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
)

// Request is the metadata of one request that routing and admission control decide by.
type Request struct {
	// ID identifies the caller's attempt.
	ID string
	// Route is the request's route.
	Route *path.Route
	// Backend is the back end that serves the request.
	Backend label.Name
	// Revision is the configuration revision from which route and account were resolved.
	Revision int64
	// Account is the client account, empty on public routes.
	Account acct.ID
	// Priority is the request's priority; 0 is the highest.
	Priority int
	// Received is the time at which the request was read.
	Received time.Time
	// Deadline is the deadline, set by the caller or by the route's timeout.
	Deadline time.Time
	// PromptTokens is the length of the prompt in tokens, 0 for plain requests.
	PromptTokens int64
	// OutTokens is the maximum number of tokens to generate.
	OutTokens int64
	// Parts holds the parts of the prompt in order; requests with a common prefix have the same leading parts.
	Parts []part
	// Shared holds the hashes of all parts but the last, also of those that Parts lacks since they could not be parsed
	// completely. Requests may share them.
	Shared []uint64
}

type part struct {
	// Hash identifies the part's content.
	Hash uint64
	// Tokens is the part's length in tokens.
	Tokens int64
}

// AddPart appends a part to the prompt.
func (w *Request) AddPart(hash uint64, tokens int64) {
	w.Parts = append(w.Parts, part{Hash: hash, Tokens: tokens})
}

// SharedTokens returns the number of tokens in the parts that other requests may share: all but the last.
func (w *Request) SharedTokens() int64 {
	sum := int64(0)
	for i := 0; i < len(w.Parts)-1; i++ {
		sum += w.Parts[i].Tokens
	}
	return sum
}

// SessionHash returns the hash of the last part that other requests may share, 0 for an empty prompt.
//
// The last part of a prompt is specific to the request or to its session. For a prompt with one part, the hash of that
// part is returned.
func (w *Request) SessionHash() uint64 {
	switch n := len(w.Parts); n {
	case 0:
		return 0
	case 1:
		return w.Parts[0].Hash
	default:
		return w.Parts[n-2].Hash
	}
}
