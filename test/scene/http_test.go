package scene_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the HTTP interfaces of an entry host", Ordered, func() {
	var s *system
	BeforeAll(func() { s = newSystem(1, 1) })

	jsonHeader := map[string]string{"Content-Type": "application/json", "X-Account": "mutuelle"}
	complete := func(body string) func() answer {
		return func() answer {
			return send(http.MethodPost, s.entryHosts[0].address+"/v1/completions", jsonHeader, body)
		}
	}

	DescribeTable("answer invalid input with a problem document that names the field",
		func(request func() answer, status int, problem, field string) {
			got := request()
			Expect(got.status).To(Equal(status), got.body)
			Expect(got.header.Get("Content-Type")).To(Equal("application/problem+json"))
			Expect(got.field("type")).To(Equal("urn:dragonflyroute:problem:" + problem))
			if field != "" {
				Expect(got.field("field")).To(Equal(field))
			}
		},
		Entry("invalid JSON", complete(`{`), 400, "bad-request", ""),
		Entry("unknown entry", complete(`{"model":"none","prompt":"p"}`), 404, "not-found", "model"),
		Entry("service entry as a model", complete(`{"model":"caisse","prompt":"p"}`), 400, "bad-request", "model"),
		Entry("too many tokens", complete(`{"model":"conseil-quick","prompt":"p","max_tokens":65}`), 400, "bad-request", "max_tokens"),
		Entry("wrong type", complete(`{"model":"conseil-quick","prompt":7}`), 400, "bad-request", "prompt"),
		Entry("empty prompt", complete(`{"model":"conseil-quick","prompt":""}`), 400, "bad-request", "prompt"),
		Entry("too large", complete(`{"model":"conseil-quick","prompt":"`+strings.Repeat("x", 30000)+`"}`), 413, "too-large", "body"),
		Entry("unknown account", func() answer {
			return send(http.MethodPost, s.entryHosts[0].address+"/v1/completions", map[string]string{"Content-Type": "application/json", "X-Account": "x"}, `{"model":"conseil-quick","prompt":"p"}`)
		}, 401, "unauthorized", "X-Account"),
		Entry("wrong content type", func() answer {
			return send(http.MethodPost, s.entryHosts[0].address+"/v1/completions", map[string]string{"Content-Type": "text/plain", "X-Account": "mutuelle"}, `{}`)
		}, 400, "bad-request", "Content-Type"),
		Entry("payment without a key", func() answer {
			return send(http.MethodPost, s.entryHosts[0].address+"/apps/caisse/instalments", jsonHeader, `{}`)
		}, 400, "bad-request", "Idempotency-Key"),
		Entry("no such route", func() answer {
			return send(http.MethodGet, s.entryHosts[0].address+"/apps/caisse/other", jsonHeader, ``)
		}, 404, "not-found", "path"),
		Entry("no such path", func() answer { return send(http.MethodGet, s.entryHosts[0].address+"/other", nil, ``) }, 404, "not-found", "path"),
		Entry("operator without a key", func() answer { return send(http.MethodGet, s.entryHosts[0].address+"/operator/status", nil, ``) }, 401, "unauthorized", "Authorization"),
		Entry("operator with a wrong key", func() answer {
			return send(http.MethodGet, s.entryHosts[0].address+"/operator/status", map[string]string{"Authorization": "Bearer wrong"}, ``)
		}, 401, "unauthorized", "Authorization"),
		Entry("invalid catalogue", func() answer {
			return send(http.MethodPut, s.entryHosts[0].address+"/operator/catalogue?base=1", operatorHeader, `{"accounts":[],"entries":[],"extra":1}`)
		}, 400, "bad-request", ""),
		Entry("catalogue based on an old revision", func() answer {
			return send(http.MethodPut, s.entryHosts[0].address+"/operator/catalogue?base=0", operatorHeader, catalogue)
		}, 409, "conflict", "base"),
		Entry("version changed without a move", func() answer {
			return send(http.MethodPut, s.entryHosts[0].address+"/operator/catalogue?base=1", operatorHeader, strings.Replace(catalogue, `"v1"`, `"v2"`, 1))
		}, 400, "bad-request", "entries[0].version"),
		Entry("move whose finish-by has passed", func() answer {
			return send(http.MethodPost, s.entryHosts[0].address+"/operator/moves", operatorHeader, `{"entry":"caisse","version":"v2","finish-by":"2020-01-01T00:00:00Z"}`)
		}, 400, "bad-request", "finish-by"),
		Entry("unknown account's addresses", func() answer { return send(http.MethodGet, s.entryHosts[0].address+"/v1/entries?account=x", nil, ``) }, 404, "not-found", "account"),
	)

	It("answer a slow sender with 400", func() {
		conn, err := net.Dial("tcp", s.entryHosts[0].address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nX-Account: mutuelle\r\nContent-Length: 500\r\n\r\n{")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(waitLimit))).To(Succeed())
		line, err := bufio.NewReader(conn).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(ContainSubstring("400"))
	})

	It("refuse connections above the limit with 503, and serve again after they close", func() {
		var open []net.Conn
		for range 300 {
			conn, err := net.Dial("tcp", s.entryHosts[0].address)
			Expect(err).NotTo(HaveOccurred())
			open = append(open, conn)
		}
		Eventually(func() string {
			conn, err := net.Dial("tcp", s.entryHosts[0].address)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			Expect(conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
			line, _ := bufio.NewReader(conn).ReadString('\n')
			return line
		}).Should(ContainSubstring("503"))
		for _, conn := range open {
			Expect(conn.Close()).To(Succeed())
		}
		Eventually(func() error { return ping(s.entryHosts[0].address + "/healthz") }).Should(Succeed())
	})
})
