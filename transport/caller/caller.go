// Package caller is a client of the entry hosts.
//
// It fetches the addresses of the entry hosts to use, caches them for as long as the answer allows, connects to them
// directly, resumes streams on other entry hosts and retries only requests that may be repeated.
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
	// fetchTimeout bounds one request for the addresses of entry hosts.
	fetchTimeout = 2 * time.Second
	// retryWait is the shortest delay before a retry.
	retryWait = 50 * time.Millisecond
	// maxWait bounds the delay that a Retry-After may ask for.
	maxWait = 5 * time.Second
)

// Caller sends one account's requests. Its methods may be called concurrently.
type Caller struct {
	// Account is the client account of all requests.
	Account acct.ID
	// Seeds are the addresses of entry hosts to fetch the list from when none is cached or no cached one answers.
	Seeds []string
	// Client is the HTTP client that sends requests.
	Client *http.Client
	// NewID returns a unique request id.
	NewID func() string
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int

	mu      sync.Mutex
	cached  []string
	expires time.Time
	// failures counts the failed attempts since the last success. It selects the address: the best one for zero, the
	// next one after each failure.
	failures int
}

type addresses struct {
	Addresses  []string `json:"addresses"`
	TTLSeconds float64  `json:"keep-seconds"`
}

// Addresses returns the addresses of the entry hosts to use, best first, from the cache or else from an entry host. It
// returns expired addresses when no entry host answers, and an error of kind Unavailable when there are none.
func (c *Caller) Addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	cached, fresh := c.cached, time.Now().Before(c.expires)
	c.mu.Unlock()
	if fresh {
		return cached, nil
	}
	var lastErr error
	for _, address := range append(append([]string(nil), cached...), c.Seeds...) {
		got, err := c.fetch(ctx, address)
		if err == nil {
			return got, nil
		}
		lastErr = err
	}
	if len(cached) > 0 {
		return cached, nil
	}
	return nil, fault.Wrap(kind.Unavailable, lastErr, "no entry host answers")
}

func (c *Caller) fetch(ctx context.Context, address string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries?account="+url.QueryEscape(string(c.Account)), nil)
	if err != nil {
		return nil, fault.Wrap(kind.BadRequest, err, "cannot build a request to the entry host")
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return nil, fault.Wrap(kind.Unavailable, err, "request to entry host %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, parseProblem(resp)
	}
	var got addresses
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		return nil, fault.Wrap(kind.Unavailable, err, "can't decode the answer of %s", address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached = got.Addresses
	c.expires = time.Now().Add(time.Duration(got.TTLSeconds * float64(time.Second)))
	return got.Addresses, nil
}

// nextAddress returns the best address, or a later one after failures since the last success.
func (c *Caller) nextAddress(ctx context.Context) (string, error) {
	all, err := c.Addresses(ctx)
	if err != nil {
		return "", err
	}
	if len(all) == 0 {
		return "", fault.New(kind.Unavailable, "", "the list of entry hosts is empty")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return all[c.failures%len(all)], nil
}

// markFailed expires the cached addresses after a failed attempt and selects the next address.
func (c *Caller) markFailed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	c.expires = time.Time{}
}

// resetFailures selects the best address again.
func (c *Caller) resetFailures() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = 0
}

func parseProblem(resp *http.Response) *fault.Error {
	e := &fault.Error{}
	if json.NewDecoder(resp.Body).Decode(e) != nil || e.Reason == "" {
		return fault.New(kind.Unavailable, "", "entry host answered with status %d", resp.StatusCode)
	}
	return e
}

// waitRetry waits before the next attempt for the error's Retry-After, within bounds.
func waitRetry(ctx context.Context, err error) error {
	d := max(retryWait, min(fault.From(err).RetryAfter, maxWait))
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fault.Wrap(kind.Unavailable, ctx.Err(), "interrupted while waiting for a retry")
	}
}
