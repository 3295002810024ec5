// Package work holds one request, without its bytes.
package work

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
)

// Work is what the decisions need to know of one request.
type Work struct {
	// ID names the caller's attempt.
	ID string
	// Path is the request's route.
	Path *path.Path
	// Backend is the back end that serves it.
	Backend label.Name
	// Revision is the revision of the configuration that decided route and account.
	Revision int64
	// Account is the client account, empty on public routes.
	Account acct.ID
	// Rank is the request's priority; 0 comes first.
	Rank int
	// Came is when the request was read.
	Came time.Time
	// Until is when the caller, or the route's timeout, gives the request up.
	Until time.Time
	// PromptTokens is the length of the prompt, nought for plain requests.
	PromptTokens int64
	// OutTokens bounds the tokens to generate.
	OutTokens int64
	// Parts holds the parts of the prompt in order; requests share leading parts.
	Parts []part
}

type part struct {
	// Hash identifies the part's content.
	Hash uint64
	// Tokens is the part's length.
	Tokens int64
}

// AddPart appends a part to the prompt.
func (w *Work) AddPart(hash uint64, tokens int64) {
	w.Parts = append(w.Parts, part{Hash: hash, Tokens: tokens})
}

// Shared returns the tokens of the parts that other requests may share: all but the last.
func (w *Work) Shared() int64 {
	sum := int64(0)
	for i := 0; i < len(w.Parts)-1; i++ {
		sum += w.Parts[i].Tokens
	}
	return sum
}

// Session returns the hash of the last part that other requests share, 0 when there is none.
//
// The last part of a prompt is the request's own, or its session's.
func (w *Work) Session() uint64 {
	switch n := len(w.Parts); n {
	case 0:
		return 0
	case 1:
		return w.Parts[0].Hash
	default:
		return w.Parts[n-2].Hash
	}
}
