package scene_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// receiveBuffer is the size of a slow caller's receive buffer, in bytes.
const receiveBuffer = 1024

// dialSlow connects with a small receive buffer, so that the kernel buffers little unread data.
func dialSlow(address string) net.Conn {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		}); e != nil {
			return e
		}
		return err
	}}
	conn, err := dialer.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return conn
}

// readTokens reads the tokens of a stream until it ends or the connection fails.
func readTokens(conn net.Conn) []string {
	var tokens []string
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		var chunk struct{ Choices []struct{ Text string } }
		if ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) == 1 {
			tokens = append(tokens, chunk.Choices[0].Text)
		}
	}
	return tokens
}

var _ = Describe("a caller", func() {
	const maxTokens = 1024
	headers := func(extra ...string) map[string]string {
		out := map[string]string{"Content-Type": "application/json", "X-Account": string(account)}
		for i := 0; i < len(extra); i += 2 {
			out[extra[i]] = extra[i+1]
		}
		return out
	}

	It("that reads too slowly is cut off, which frees its engine, and later resumes from the tokens that it has received", func() {
		s := newSystem(1, 1, func(s *system) { s.writeTimeout = "1s" })
		s.maxTokens = maxTokens
		conn := dialSlow(s.entryHosts[0].address)
		body := fmt.Sprintf(`{"model":"contrat-long","prompt":%q,"max_tokens":%d,"stream":true}`, longPrompt, maxTokens)
		_, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nX-Account: %s\r\nX-Request-Id: slow-1\r\nContent-Length: %d\r\n\r\n%s", account, len(body), body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return s.runningRequests(s.entryHosts[0]) }).Should(Equal(1))
		Eventually(func() int { return s.runningRequests(s.entryHosts[0]) }).Should(Equal(0))
		generated := int(generatedTokens(s.engines[0]))
		Expect(generated).To(BeNumerically("<", maxTokens))
		expected, _ := s.stream(s.newCaller(), ignoreTokens)

		got := readTokens(conn)
		Expect(len(got)).To(And(BeNumerically(">", 0), BeNumerically("<=", generated)))
		Expect(expected).To(HavePrefix(strings.Join(got, "")))
		partial, err := json.Marshal(got)
		Expect(err).NotTo(HaveOccurred())
		rest := fmt.Sprintf(`{"model":"contrat-long","prompt":%q,"max_tokens":%d,"partial":%s}`, longPrompt, maxTokens, partial)
		answer := send(http.MethodPost, s.entryHosts[0].address+"/v1/completions", headers(), rest)
		Expect(answer.status).To(Equal(http.StatusOK), answer.body)
		Expect(answer.body).To(ContainSubstring(expected))
	})

	It("that resumes with its own tokens is served by the version that generated them", func() {
		s := newSystem(1, 1)
		s.startEngine(1, "v2")
		Eventually(func() int { return len(s.status(s.entryHosts[0]).Endpoints) }).Should(Equal(3))
		body := `{"entry":"conseil-quick","version":"v2","finish-by":"2100-01-01T00:00:00Z"}`
		Expect(send(http.MethodPost, s.entryHosts[0].address+"/operator/moves", operatorHeader, body).status).To(Equal(http.StatusOK))
		for i, version := range []string{"v1", "v2"} {
			before := stat(s.engines[i], "requests")
			body := fmt.Sprintf(`{"model":"conseil-quick","prompt":"p","max_tokens":6,"partial":[" a"," b"],"system_fingerprint":%q}`, version)
			answer := send(http.MethodPost, s.entryHosts[0].address+"/v1/completions", headers("Last-Event-ID", "1"), body)
			Expect(answer.status).To(Equal(http.StatusOK), answer.body)
			Expect(answer.field("system_fingerprint")).To(Equal(version))
			Expect(stat(s.engines[i], "requests")).To(Equal(before + 1))
		}
	})

	for _, killAfter := range []int{0, 60, 100, 140} {
		It(fmt.Sprintf("gets the whole answer although its entry host crashes %d tokens into the hand-over, while an engine is reclaimed", killAfter), func() {
			s := newSystem(3, 2)
			expected, _ := s.stream(s.newCaller(), ignoreTokens)
			var stopped *process
			text, _ := s.stream(s.newCaller(), func(n int) {
				switch n {
				case 20:
					for _, e := range s.entryHosts {
						if s.runningRequests(e) > 0 {
							stopped = e
						}
					}
					stopped.signal(syscall.SIGTERM)
					for _, e := range s.engines {
						send(http.MethodPost, e.address+"/reclaim", nil, `{"notice-ms":60000}`)
						break
					}
				case 21 + killAfter:
					stopped.signal(syscall.SIGKILL)
				}
			})
			Expect(text).To(Equal(expected))
		})
	}

	It("that requests a stream after an entry host has crashed is answered by another one", func() {
		s := newSystem(1, 2)
		s.entryHosts[0].signal(syscall.SIGKILL)
		_, err := s.newCaller().Stream(context.Background(), "conseil-quick", "p", 2, func(string) {})
		Expect(err).NotTo(HaveOccurred())
	})
})
