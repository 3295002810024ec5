package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// Call makes one application call under an idempotency key, which may be empty for an idempotent route.
//
// It retries the call with the same key until its outcome is final; "not-run" is final for a key.
func (c *Caller) Call(ctx context.Context, entry label.Name, method, path, key string, body []byte) (status int, answer []byte, err error) {
	for attempt := 1; ; attempt++ {
		var address string
		if address, err = c.nextAddress(ctx); err != nil {
			return 0, nil, err
		}
		status, answer, err = c.callOnce(ctx, address, entry, method, path, key, body)
		if err == nil {
			c.resetFailures()
			return status, answer, nil
		}
		if attempt >= c.MaxAttempts || !callRetryable(err, key) {
			return status, answer, err
		}
		c.markFailed()
		if waitErr := waitRetry(ctx, err); waitErr != nil {
			return 0, nil, err
		}
	}
}

// callRetryable reports whether the same call may be sent again with the same key after err. After an unknown outcome
// that needs a key and a Retry-After.
func callRetryable(err error, key string) bool {
	e := fault.From(err)
	switch e.Kind {
	case kind.BadRequest, kind.Unauthorized, kind.NotFound, kind.TooLarge, kind.Conflict, kind.NotRun:
		return false
	case kind.OutcomeUnknown:
		return key != "" && e.RetryAfter > 0
	default:
		return true
	}
}

func (c *Caller) callOnce(ctx context.Context, address string, entry label.Name, method, path, key string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/apps/"+string(entry)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fault.Wrap(kind.BadRequest, err, "cannot build a request from the path")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(accountHeader, string(c.Account))
	if key != "" {
		req.Header.Set(keyHeader, key)
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.Client.Do(req)
	if err != nil {
		return 0, nil, fault.Wrap(kind.Unavailable, err, "request to entry host %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get("Content-Type") == fault.ContentType {
		return 0, nil, parseProblem(resp)
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, fault.Wrap(kind.Unavailable, err, "the response was truncated")
}
