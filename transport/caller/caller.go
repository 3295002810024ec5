// Package caller is a well-behaved caller of the system.
//
// It asks an entry host which ones to use, keeps that answer as long as it may, connects itself, resumes streams
// on other entry hosts and repeats only what may be repeated.
package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

const (
	accountHeader   = "X-Account"
	requestIDHeader = "X-Request-Id"
	lastEventHeader = "Last-Event-ID"
	keyHeader       = "Idempotency-Key"
	// answerTimeout bounds the question which entry hosts to use.
	answerTimeout = 2 * time.Second
	// retryWait is the wait before another entry host is tried.
	retryWait = 50 * time.Millisecond
	// maxWait bounds the wait that a refusal may ask for.
	maxWait = 5 * time.Second
)

// Caller sends one account's requests. Its methods may be called concurrently.
type Caller struct {
	// Account is the caller's account.
	Account acct.ID
	// Seeds are the entry hosts asked first.
	Seeds []string
	// Client sends requests.
	Client *http.Client
	// NewID returns a fresh request id.
	NewID func() string
	// Tries bounds the attempts of one request.
	Tries int

	mu      sync.Mutex
	known   []string
	expires time.Time
	// turn counts failed attempts; it starts again from the best address when a request succeeds.
	turn int
}

type addresses struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds float64  `json:"keep-seconds"`
}

// Addresses returns the entry hosts to use, from the kept answer or a new one.
func (c *Caller) Addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	known, fresh := c.known, time.Now().Before(c.expires)
	c.mu.Unlock()
	if fresh {
		return known, nil
	}
	var last error
	for _, at := range append(append([]string(nil), known...), c.Seeds...) {
		got, err := c.fetch(ctx, at)
		if err == nil {
			return got, nil
		}
		last = err
	}
	if len(known) > 0 {
		return known, nil
	}
	return nil, fault.Wrap(kind.Unavailable, last, "no entry host answers")
}

func (c *Caller) fetch(ctx context.Context, at string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/v1/entries?account="+url.QueryEscape(string(c.Account)), nil)
	if err != nil {
		return nil, fault.Wrap(kind.BadRequest, err, "address")
	}
	w, err := c.Client.Do(r)
	if err != nil {
		return nil, fault.Wrap(kind.Unavailable, err, "entry host %s", at)
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		return nil, problem(w)
	}
	var got addresses
	if err := json.NewDecoder(w.Body).Decode(&got); err != nil {
		return nil, fault.Wrap(kind.Unavailable, err, "answer of %s", at)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = got.Addresses
	c.expires = time.Now().Add(time.Duration(got.KeepSeconds * float64(time.Second)))
	return got.Addresses, nil
}

// next returns an address: the best one, or the one after it for each attempt that failed since the last answer.
func (c *Caller) next(ctx context.Context) (string, error) {
	all, err := c.Addresses(ctx)
	if err != nil {
		return "", err
	}
	if len(all) == 0 {
		return "", fault.New(kind.Unavailable, "", "the address answer is empty")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return all[c.turn%len(all)], nil
}

// forget drops the kept answer after an address did not answer, and turns to the next one.
func (c *Caller) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	c.expires = time.Time{}
}

// succeed goes back to the best address.
func (c *Caller) succeed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn = 0
}

func problem(w *http.Response) *fault.Error {
	e := &fault.Error{}
	if json.NewDecoder(w.Body).Decode(e) != nil || e.Reason == "" {
		return fault.New(kind.Unavailable, "", "status %d", w.StatusCode)
	}
	return e
}

// wait pauses before the next attempt, as long as the refusal asks within bounds.
func wait(ctx context.Context, err error) error {
	d := max(retryWait, min(fault.From(err).RetryAfter, maxWait))
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fault.Wrap(kind.Unavailable, ctx.Err(), "interrupted")
	}
}
