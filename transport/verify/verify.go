// Package verify rejects what an HTTP client takes for an answer although it is none.
package verify

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

const (
	// minStatus and maxStatus bound the status codes of final answers (RFC 9110, section 15).
	minStatus = 200
	maxStatus = 599
)

// Transport sends requests and returns only answers that are valid. The connection of another one is closed, and its request
// fails with an OutcomeUnknown error, as the peer may have executed it.
//
// It is safe for concurrent use.
type Transport struct {
	// Base sends the requests.
	Base *http.Transport
}

// RoundTrip sends a request and returns its answer.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }})
	resp, err := t.Base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := check(resp); err != nil {
		// An answer without a body has made its connection idle, so that closing the body does not close it.
		_ = conn.Close()
		_ = resp.Body.Close()
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{ReadCloser: resp.Body, resp: resp, conn: conn}
	}
	return resp, nil
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
func check(resp *http.Response) error {
	// No request of this system asks for another protocol, to which 101 would switch.
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return fault.New(kind.OutcomeUnknown, "status", "answer has the status %q, which is none", resp.Status)
	}
	if strings.ContainsFunc(resp.Status, isControl) {
		return fault.New(kind.OutcomeUnknown, "status", "answer has a control byte in its status line: %q", resp.Status)
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
