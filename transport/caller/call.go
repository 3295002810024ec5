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
// The call is repeated, with the same key, while its outcome is not final. "not-run" is final for a key.
func (c *Caller) Call(ctx context.Context, entry label.Name, method, path, key string, body []byte) (status int, answer []byte, err error) {
	for try := 1; ; try++ {
		var at string
		if at, err = c.next(ctx); err != nil {
			return 0, nil, err
		}
		status, answer, err = c.callOnce(ctx, at, entry, method, path, key, body)
		if err == nil {
			c.succeed()
			return status, answer, nil
		}
		if try >= c.Tries || !callRepeatable(err, key) {
			return status, answer, err
		}
		c.forget()
		if waitErr := wait(ctx, err); waitErr != nil {
			return 0, nil, err
		}
	}
}

// callRepeatable reports whether the same call may be sent again: a refusal that asks to come back, or no answer.
func callRepeatable(err error, key string) bool {
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

func (c *Caller) callOnce(ctx context.Context, at string, entry label.Name, method, path, key string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at+"/apps/"+string(entry)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fault.Wrap(kind.BadRequest, err, "path")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(accountHeader, string(c.Account))
	if key != "" {
		r.Header.Set(keyHeader, key)
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(r.Header))
	w, err := c.Client.Do(r)
	if err != nil {
		return 0, nil, fault.Wrap(kind.Unavailable, err, "entry host %s", at)
	}
	defer func() { _ = w.Body.Close() }()
	if w.Header.Get("Content-Type") == fault.ContentType {
		return 0, nil, problem(w)
	}
	data, err := io.ReadAll(w.Body)
	return w.StatusCode, data, fault.Wrap(kind.Unavailable, err, "the answer broke off")
}
