// Package verify rejects what an HTTP client takes for an answer although it is none.
package verify

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/transport/dial"
)

const (
	// minStatus and maxStatus bound the status codes of final answers (RFC 9110, section 15).
	minStatus = 200
	maxStatus = 599
	// defaultHeaderBytes is the bound of net/http where MaxResponseHeaderBytes is not set.
	defaultHeaderBytes = 10 << 20
	// interimLineBytes is the least size of the status line of an interim answer, with the line that ends its head.
	interimLineBytes = 18
	// fieldBytes is the size of a header field beside its name and value.
	fieldBytes = 4
)

// Transport sends requests and returns only answers that are valid. The connection of another one is closed, and its request
// fails with an OutcomeUnknown error, as the peer may have executed it.
//
// It is safe for concurrent use.
type Transport struct {
	// Base sends the requests. Chunks in answers of HTTP/1.0, and bytes behind the end of an answer, are only found on its connections
	// of package dial. Its MaxResponseHeaderBytes also bounds the heads of the interim answers to one request together.
	Base *http.Transport
}

// RoundTrip sends a request and returns its answer.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	for {
		a := attempt{interim: interimHeads{left: cmp.Or(t.Base.MaxResponseHeaderBytes, defaultHeaderBytes)}}
		resp, err := a.send(t.Base, r)
		if err == nil || !a.closed.Load() {
			return resp, err
		}
		if r.Context().Err() != nil {
			if r.Body != nil {
				_ = r.Body.Close()
			}
			return nil, err
		}
	}
}

// attempt sends a request once.
type attempt struct {
	conn    net.Conn
	head    rawHead
	interim interimHeads
	// closed is set if the connection that the request got was closed before anything was sent, so that another one can be used.
	closed atomic.Bool
	// endRecord ends the record of the head; nil if there is none.
	endRecord func()
}

// send sends the request and returns its answer if that is valid.
func (a *attempt) send(base *http.Transport, r *http.Request) (*http.Response, error) {
	sent := r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { a.use(r.Context(), info) },
		Got1xxResponse: a.interim.add,
	}))
	if r.Body != nil && r.Body != http.NoBody {
		sent.Body = &unsentBody{ReadCloser: r.Body, closed: &a.closed}
	}
	resp, err := base.RoundTrip(sent)
	if a.endRecord != nil {
		a.endRecord()
	}
	if err != nil {
		return nil, err
	}
	if err := check(resp, &a.head); err != nil {
		// An answer without a body has made its connection idle, so that closing the body does not close it.
		_ = a.conn.Close()
		_ = resp.Body.Close()
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{ReadCloser: resp.Body, resp: resp, conn: a.conn}
	}
	return resp, nil
}

// use notes the connection that the request is about to be sent on.
func (a *attempt) use(ctx context.Context, info httptrace.GotConnInfo) {
	a.conn = info.Conn
	c, ok := info.Conn.(*dial.Conn)
	if !ok {
		return
	}
	// What came behind the previous answer is no answer to this request (RFC 9112, section 6.3).
	a.closed.Store(info.Reused && !c.AwaitIdle(ctx))
	a.endRecord = c.OnRead(a.head.add)
}

// unsentBody is the body of a request. Nothing is read from it once the request's connection was found to be closed.
type unsentBody struct {
	io.ReadCloser
	closed *atomic.Bool
}

// Read reads a part of the body.
func (b *unsentBody) Read(buffer []byte) (int, error) {
	if b.closed.Load() {
		return 0, net.ErrClosed
	}
	return b.ReadCloser.Read(buffer)
}

// Close closes the body, unless it is needed for another connection.
func (b *unsentBody) Close() error {
	if b.closed.Load() {
		return nil
	}
	return b.ReadCloser.Close()
}

// interimHeads are the heads of the interim answers to one request. net/http bounds their size only where nobody looks at them.
type interimHeads struct {
	// left is the number of bytes that further ones may have.
	left int64
}

// add returns an error if the next one is not valid, or makes them too large together.
func (i *interimHeads) add(_ int, header textproto.MIMEHeader) error {
	i.left -= interimLineBytes
	for name, values := range header {
		for _, value := range values {
			i.left -= int64(len(name) + len(value) + fieldBytes)
		}
	}
	if i.left < 0 {
		return fault.New(kind.OutcomeUnknown, "header", "interim answers have too many bytes")
	}
	return checkNames(http.Header(header))
}

// chunkedBody is the body of an answer with chunks, whose trailers follow it.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
	conn net.Conn
}

// Read reads a part of the body. Its end is an OutcomeUnknown error if the trailers are not valid.
func (b *chunkedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		if bad := checkNames(b.resp.Trailer); bad != nil {
			_ = b.conn.Close()
			return n, bad
		}
	}
	return n, err
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

// check returns an error if an answer is not valid.
func check(resp *http.Response, head *rawHead) error {
	if resp.ProtoMajor != 1 {
		return fault.New(kind.OutcomeUnknown, "version", "answer is of %q", resp.Proto)
	}
	// No request of this system asks for another protocol, to which 101 would switch.
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return fault.New(kind.OutcomeUnknown, "status", "answer has the status %q, which is none", resp.Status)
	}
	if strings.ContainsFunc(resp.Status, isControl) {
		return fault.New(kind.OutcomeUnknown, "status", "answer has a control byte in its status line: %q", resp.Status)
	}
	// Answers of HTTP/1.0 have no chunks: net/http passes their bytes on, RFC 9112 (section 6.1) calls the framing faulty.
	if !resp.ProtoAtLeast(1, 1) && head.hasTransferEncoding() {
		return fault.New(kind.OutcomeUnknown, "header", "answer of HTTP/1.0 has a transfer encoding")
	}
	return checkNames(resp.Header)
}

// checkNames returns an error if the name of a header field has a blank, such as one before the colon. net/http accepts such names
// and does not recognise them; other names that are not valid, and control bytes in values, it rejects itself.
func checkNames(header http.Header) error {
	for name := range header {
		if strings.Contains(name, " ") {
			return fault.New(kind.OutcomeUnknown, "header", "answer has a header field named %q", name)
		}
	}
	return nil
}

// isControl reports whether a character is a control byte that no line of a head may have.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == '\x7f' }
