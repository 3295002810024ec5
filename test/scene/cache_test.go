package scene_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// stat returns one counter of a stand-in process's /stats.
func stat(e *process, name string) float64 {
	var got map[string]any
	Expect(json.Unmarshal([]byte(send(http.MethodGet, e.address+"/stats", nil, "").body), &got)).To(Succeed())
	return got[name].(float64)
}

var _ = Describe("an engine's prefix cache", func() {
	const prompts = 8
	header := map[string]string{"Content-Type": "application/json", "X-Account": "mutuelle"}

	// prefixHits returns the number of prefix cache hits when the second entry host sends prompts that the first one has
	// sent before.
	prefixHits := func(faults string, waitForEvents bool) float64 {
		s := newSystem(3, 2)
		for _, e := range s.engines {
			s.setFaults(e, faults)
		}
		for i := range prompts {
			text := fmt.Sprintf("%d ", i) + strings.Repeat("long contract ", 1200)
			for turn, host := range s.entryHosts {
				if turn > 0 && waitForEvents {
					Eventually(func() string {
						return send(http.MethodGet, host.address+"/metrics", nil, "").body
					}).Should(ContainSubstring(fmt.Sprintf("cache_events %d\n", i+1)))
				}
				body := fmt.Sprintf(`{"model":"conseil-quick","prompt":%q,"max_tokens":2}`, text)
				Eventually(func() int { return send(http.MethodPost, host.address+"/v1/completions", header, body).status }).Should(Equal(http.StatusOK))
			}
		}
		hits := 0.0
		for _, e := range s.engines {
			hits += stat(e, "prefix-hits")
		}
		GinkgoWriter.Println("hits", hits)
		return hits
	}

	It("is known to an entry host that has sent nothing to the engine, through delayed cache events", func() {
		Expect(prefixHits(`{"event-lag-ms":300}`, true)).To(BeNumerically("==", prompts))
	})

	It("gives at most one hit a prompt when all cache events are lost, and every request is answered", func() {
		Expect(prefixHits(`{"event-loss":1}`, false)).To(BeNumerically("<=", prompts))
	})
})
