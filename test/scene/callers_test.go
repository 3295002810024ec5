package scene_test

import (
	"context"
	"fmt"
	"net/http"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a caller", func() {
	headers := func(more ...string) map[string]string {
		out := map[string]string{"Content-Type": "application/json", "X-Account": string(account)}
		for i := 0; i < len(more); i += 2 {
			out[more[i]] = more[i+1]
		}
		return out
	}

	It("that resumes from its own tokens goes on with the version that generated them", func() {
		w := newWorld(1, 1)
		w.engine(1, "v2")
		Eventually(func() int { return len(w.status(w.entries[0]).Endpoints) }).Should(Equal(3))
		order := `{"entry":"conseil-quick","version":"v2","finish-by":"2100-01-01T00:00:00Z"}`
		Expect(send(http.MethodPost, w.entries[0].address+"/operator/moves", operator, order).status).To(Equal(http.StatusOK))
		for i, version := range []string{"v1", "v2"} {
			before := stat(w.engines[i], "requests")
			body := fmt.Sprintf(`{"model":"conseil-quick","prompt":"p","max_tokens":6,"partial":[" a"," b"],"system_fingerprint":%q}`, version)
			answer := send(http.MethodPost, w.entries[0].address+"/v1/completions", headers("Last-Event-ID", "1"), body)
			Expect(answer.status).To(Equal(http.StatusOK), answer.body)
			Expect(answer.field("system_fingerprint")).To(Equal(version))
			Expect(stat(w.engines[i], "requests")).To(Equal(before + 1))
		}
	})

	for _, after := range []int{0, 60, 100, 140} {
		It(fmt.Sprintf("gets the whole answer although its entry host dies %d tokens into handing over, while its engine is reclaimed", after), func() {
			w := newWorld(3, 2)
			unbroken, _ := w.stream(w.caller(), nothing)
			var stopped *process
			text, _ := w.stream(w.caller(), func(n int) {
				switch n {
				case 20:
					for _, e := range w.entries {
						if w.running(e) > 0 {
							stopped = e
						}
					}
					stopped.signal(syscall.SIGTERM)
					for _, e := range w.engines {
						send(http.MethodPost, e.address+"/reclaim", nil, `{"notice-ms":60000}`)
						break
					}
				case 21 + after:
					stopped.signal(syscall.SIGKILL)
				}
			})
			Expect(text).To(Equal(unbroken))
		})
	}

	It("that asked for a stream before its entry host died is answered by another one", func() {
		w := newWorld(1, 2)
		w.entries[0].signal(syscall.SIGKILL)
		_, err := w.caller().Stream(context.Background(), "conseil-quick", "p", 2, func(string) {})
		Expect(err).NotTo(HaveOccurred())
	})
})
