// Package plain sends application calls to ordinary HTTP services.
package plain

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/transport/dial"
	"github.com/dragonflyroute/dragonflyroute/transport/verify"
)

const (
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 1 << 20
	// timeoutHeader holds the milliseconds until the call's deadline.
	timeoutHeader = "X-Request-Timeout-Ms"
	// connectTimeout bounds the time to open a connection to an endpoint.
	connectTimeout = time.Second
)

// Call is one call to one endpoint over a connection of its own, which counts the writes.
//
// Its methods must not be called concurrently.
type Call struct {
	// Method is the HTTP method.
	Method string
	// Path is the HTTP path, with its query.
	Path string
	// ContentType is the media type of Body.
	ContentType string
	// Key is the idempotency key passed on, empty for none.
	Key string
	// Body is the request's body.
	Body []byte

	conn *dial.Conn
}

// Connect opens a connection to address and sends nothing; it returns an Unavailable error if that fails.
func (c *Call) Connect(ctx context.Context, address string) error {
	c.Close()
	d := net.Dialer{Timeout: connectTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "cannot connect to endpoint %s", address)
	}
	c.conn = &dial.Conn{Conn: conn}
	return nil
}

// Close closes the connection, if there is one.
func (c *Call) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Send sends the call on the connection that Connect opened, and closes it. sent is false only if no byte was passed to
// the connection; if it is true, the endpoint may have executed the call despite an OutcomeUnknown error.
func (c *Call) Send(ctx context.Context) (answer claim.Claim, sent bool, err error) {
	conn := c.conn
	if conn == nil {
		return answer, false, fault.New(kind.Unavailable, "", "call not sent: no open connection to the endpoint")
	}
	defer c.Close()
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+conn.RemoteAddr().String()+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return answer, false, fault.Wrap(kind.BadRequest, err, "cannot build the call to the endpoint")
	}
	c.setHeaders(ctx, r)
	t := &verify.Transport{Base: &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        func(context.Context, string, string) (net.Conn, error) { return conn, nil },
	}}
	w, err := t.RoundTrip(r)
	if err != nil {
		return answer, conn.Writes() > 0, fault.Wrap(kind.OutcomeUnknown, err, "call to the endpoint failed before an answer")
	}
	defer func() { _ = w.Body.Close() }()
	answer, err = readAnswer(w)
	return answer, true, err
}

func (c *Call) setHeaders(ctx context.Context, r *http.Request) {
	if c.ContentType != "" {
		r.Header.Set("Content-Type", c.ContentType)
	}
	if c.Key != "" {
		r.Header.Set("Idempotency-Key", c.Key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set(timeoutHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(r.Header))
}

func readAnswer(w *http.Response) (claim.Claim, error) {
	body, err := io.ReadAll(io.LimitReader(w.Body, maxAnswerBytes+1))
	if err != nil {
		return claim.Claim{}, fault.Wrap(kind.OutcomeUnknown, err, "answer of the endpoint truncated")
	}
	if len(body) > maxAnswerBytes {
		return claim.Claim{}, fault.New(kind.OutcomeUnknown, "", "answer of the endpoint exceeds %d bytes", maxAnswerBytes)
	}
	return claim.Claim{Status: w.StatusCode, ContentType: w.Header.Get("Content-Type"), Body: body}, nil
}
