package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// request is one client attempt.
type request struct {
	method, path, body string
	deadline           time.Duration
	// tokens and prefix are sent if tokens is not empty.
	tokens, prefix string
	// key is the API key, by default apiKey.
	key string
}

// answer is what the client got.
type answer struct {
	id         string
	sent, read time.Time
	status     int
	signature  string
	body       string
	// complete is set if the answer ended as its framing says.
	complete bool
	err      error
}

// channel is a kept connection of a client to a daemon.
type channel struct {
	conn net.Conn
	r    *bufio.Reader
}

func open(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: c, r: bufio.NewReader(c)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// ask sends a request on the channel and reads its whole answer.
func (c *channel) ask(q request) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x5e000000+lastID.Add(1))}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nDragonflyroute-Request-Id: %s\r\nDragonflyroute-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		q.method, q.path, hostName, a.id, q.deadline.Milliseconds(), cmp.Or(q.key, apiKey))
	if q.tokens != "" {
		fmt.Fprintf(&b, "Dragonflyroute-Model: m\r\nDragonflyroute-Token-Usage: %s\r\nDragonflyroute-Prompt-Prefix: %s\r\n", q.tokens, q.prefix)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	fmt.Fprintf(&b, "\r\n%s", q.body)
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
	a.sent = time.Now()
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		a.err, a.read = err, time.Now()
		return a
	}
	req, _ := http.NewRequest(q.method, "http://"+hostName+q.path, nil)
	resp, err := http.ReadResponse(c.r, req)
	if err != nil {
		a.err, a.read = err, time.Now()
		return a
	}
	data, err := io.ReadAll(resp.Body)
	a.status, a.signature, a.body = resp.StatusCode, resp.Header.Get("Dragonflyroute-Response-Signature"), string(data)
	a.err, a.complete, a.read = err, err == nil, time.Now()
	return a
}
