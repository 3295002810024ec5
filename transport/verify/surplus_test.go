package verify_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// surplusCallers and surplusRequests are how many requests are sent at the same time, and by each caller, so that many wait for a
// connection just as an answer ends.
const surplusCallers, surplusRequests = 16, 60

// sendMany sends many requests to a server, and returns the errors and the answers that differ from what is expected.
func sendMany(s *server, status int, body string) (failed, wrong []string) {
	// Each answer ends its connection here.
	s.ended = make(chan struct{}, 2*surplusCallers*surplusRequests)
	t := newTransport()
	var mu sync.Mutex
	var g sync.WaitGroup
	for range surplusCallers {
		g.Go(func() {
			for range surplusRequests {
				problem, err := compare(t, s.address, status, body)
				mu.Lock()
				if err != nil {
					failed = append(failed, err.Error())
				} else if problem != "" {
					wrong = append(wrong, problem)
				}
				mu.Unlock()
			}
		})
	}
	g.Wait()
	return failed, wrong
}

// expectOwn expects each of many requests to get a status and body, and no header field X-Id.
func expectOwn(answer string, status int, body string) {
	GinkgoHelper()
	failed, wrong := sendMany(startServer(answer, false), status, body)
	Expect(len(wrong)+len(failed)).To(BeZero(), "%d wrong and %d failed of %d: %q", len(wrong), len(failed), surplusCallers*surplusRequests, append(wrong, failed...)[:min(3, len(wrong)+len(failed))])
}

// compare sends a request and returns how its answer differs from what is expected, "" if it does not.
func compare(t http.RoundTripper, address string, status int, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", strings.NewReader("body"))
	if err != nil {
		return "", err
	}
	// With it, net/http sends a request again by itself.
	r.GetBody = nil
	resp, err := t.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if resp.StatusCode != status || string(data) != body || resp.Header.Get("X-Id") != "" {
		return fmt.Sprintf("%s, %v, %q", resp.Status, resp.Header, data), nil
	}
	return "", nil
}

var _ = Describe("What comes behind the end of an answer", func() {
	const ok = "HTTP/1.1 200 OK\r\n"

	BeforeEach(func() {
		// net/http logs each connection on which it finds such bytes.
		log.SetOutput(GinkgoWriter)
		DeferCleanup(log.SetOutput, os.Stderr)
	})

	// Guards against bytes that no request has asked for being taken for the answer to the next one, or a part of it, or having that
	// one fail.
	DescribeTable("on a connection that is used again is no part of the next one", func(surplus string) {
		expectOwn("HTTP/1.1 204 No\r\n\r\n"+surplus, 204, "")
		expectOwn(ok+"Content-Length: 0\r\n\r\n"+surplus, 200, "")
		expectOwn(ok+"Content-Length: 4\r\n\r\nbody"+surplus, 200, "body")
		expectOwn(ok+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"+surplus, 200, "body")
		expectOwn("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nbody"+surplus, 200, "body")
	},
		Entry("as a whole answer", ok+"Content-Length: 6\r\n\r\nforged"),
		Entry("as two answers", strings.Repeat(ok+"Content-Length: 6\r\n\r\nforged", 2)),
		Entry("as an answer without a length", ok+"\r\nforged"),
		Entry("as an answer longer than a buffer", ok+"Content-Length: 6000\r\n\r\n"+strings.Repeat("f", 6000)),
		Entry("as an interim answer", "HTTP/1.1 103 X\r\nX-Id: r0\r\n\r\n"),
		Entry("as a time-out", "HTTP/1.1 408 X\r\nContent-Length: 0\r\n\r\n"),
		Entry("as a refusal", "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"),
		Entry("as the beginning of a head", ok+"X-Id: "),
		Entry("as one byte", "H"),
		Entry("as no answer", "more of the body"),
		Entry("as an empty line", "\r\n"),
	)
})
