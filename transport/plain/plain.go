// Package plain sends application calls to plain HTTP services.
package plain

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

const (
	// maxAnswerBytes bounds the answer of a call, in bytes.
	maxAnswerBytes = 1 << 20
	// timeoutHeader tells an endpoint how many milliseconds are left for the answer.
	timeoutHeader = "X-Request-Timeout-Ms"
	// connectTimeout bounds the connection to an endpoint.
	connectTimeout = time.Second
)

// Plain is one call to one endpoint over a connection of its own, which counts the bytes it sent.
//
// Its methods must not be called concurrently.
type Plain struct {
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

	conn *countedConn
}

type countedConn struct {
	net.Conn
	sent atomic.Int64
}

// Write counts a write as sent before it starts, because a failed write may have sent some of it.
func (c *countedConn) Write(data []byte) (int, error) {
	c.sent.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// Contact connects to address without sending a byte.
func (p *Plain) Contact(ctx context.Context, address string) error {
	p.Close()
	d := net.Dialer{Timeout: connectTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "endpoint %s", address)
	}
	p.conn = &countedConn{Conn: conn}
	return nil
}

// Close closes the connection, if there is one.
func (p *Plain) Close() {
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}

// Send sends the call on the connection that Contact made; sent is false only if no byte was handed to it.
func (p *Plain) Send(ctx context.Context) (answer claim.Claim, sent bool, err error) {
	conn := p.conn
	if conn == nil {
		return answer, false, fault.New(kind.Unavailable, "", "there is no connection")
	}
	defer p.Close()
	r, err := http.NewRequestWithContext(ctx, p.Method, "http://"+conn.RemoteAddr().String()+p.Path, bytes.NewReader(p.Body))
	if err != nil {
		return answer, false, fault.Wrap(kind.BadRequest, err, "the call can't be sent")
	}
	p.setHeaders(ctx, r)
	t := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        func(context.Context, string, string) (net.Conn, error) { return conn, nil },
	}
	w, err := t.RoundTrip(r)
	if err != nil {
		return answer, conn.sent.Load() > 0, fault.Wrap(kind.OutcomeUnknown, err, "the call broke")
	}
	defer func() { _ = w.Body.Close() }()
	answer, err = readAnswer(w)
	return answer, true, err
}

func (p *Plain) setHeaders(ctx context.Context, r *http.Request) {
	if p.ContentType != "" {
		r.Header.Set("Content-Type", p.ContentType)
	}
	if p.Key != "" {
		r.Header.Set("Idempotency-Key", p.Key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set(timeoutHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(r.Header))
}

func readAnswer(w *http.Response) (claim.Claim, error) {
	body, err := io.ReadAll(io.LimitReader(w.Body, maxAnswerBytes+1))
	if err != nil {
		return claim.Claim{}, fault.Wrap(kind.OutcomeUnknown, err, "the answer broke off")
	}
	if len(body) > maxAnswerBytes {
		return claim.Claim{}, fault.New(kind.OutcomeUnknown, "", "the answer is larger than %d bytes", maxAnswerBytes)
	}
	return claim.Claim{Status: w.StatusCode, ContentType: w.Header.Get("Content-Type"), Body: body}, nil
}
