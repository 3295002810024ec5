package relay

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/need"
	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
)

// job is the state of one request in progress.
type job struct {
	mu     sync.Mutex
	ticket ticket.Ticket

	entry        *entry.Entry
	started      time.Time
	firstTokenAt time.Time
	// kvSource is the address of the leaving endpoint that holds the KV cache of the tokens so far; empty for none.
	kvSource string
	// brokenStarts counts the attempts in a row that an endpoint broke off after it had begun its answer and before a token.
	brokenStarts int
	emit         func(offset int, version label.Name, token string) error
}

func (j *job) snapshot() ticket.Ticket {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.ticket
	t.Tokens = append([]string(nil), t.Tokens...)
	return t
}

func (j *job) addToken(token string) (offset int, version label.Name) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ticket.Tokens = append(j.ticket.Tokens, token)
	return len(j.ticket.Tokens) - 1, j.ticket.Version
}

func (j *job) nextAttempt() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ticket.Attempt++
	return j.ticket.Attempt
}

func (j *job) remainingTokens() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ticket.MaxTokens - len(j.ticket.Tokens)
}

func (j *job) text() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := len(j.ticket.Prompt)
	for _, t := range j.ticket.Tokens {
		n += len(t)
	}
	text := make([]byte, 0, n)
	text = append(text, j.ticket.Prompt...)
	for _, t := range j.ticket.Tokens {
		text = append(text, t...)
	}
	return string(text)
}

func (j *job) need(now time.Time) *need.Requirements {
	text := j.text()
	n := &need.Requirements{
		Class:        j.entry.Class,
		PromptTokens: len(text) / bytesPerToken,
		OutTokens:    j.remainingTokens(),
		Prefix:       PrefixHash(j.ticket.Prompt),
		Answer:       j.entry.Limits.Answer.Duration() - now.Sub(j.started),
		Refund:       j.entry.Refund,
		PriceCeiling: j.entry.PriceCeiling,
	}
	if j.firstTokenAt.IsZero() {
		n.FirstToken = max(j.entry.Limits.FirstToken.Duration()-now.Sub(j.started), 1)
	}
	return n
}

// version returns the version that generated the tokens so far; begun is false when there are no tokens yet.
func (j *job) version() (version label.Name, begun bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ticket.Version, j.ticket.Version != "" && len(j.ticket.Tokens) > 0
}

// setVersion records the version of the next attempt.
func (j *job) setVersion(version label.Name) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ticket.Version = version
}

// countBrokenStart counts an attempt that ended with an error and without a token, if the endpoint had begun its answer.
func (j *job) countBrokenStart(err error, gotTokens bool) {
	switch {
	case gotTokens:
		j.brokenStarts = 0
	case fault.KindOf(err) == kind.OutcomeUnknown:
		j.brokenStarts++
	}
}
