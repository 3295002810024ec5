package scene_test

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the catalogue", func() {
	It("never reverts to an older revision on an entry host that was suspended during changes, and reaches the newest one", func() {
		s := newSystem(1, 3)
		suspend(s.entryHosts[2])
		for i := range 3 {
			s.putCatalogue(strings.Replace(catalogue, `"note":"scene"`, fmt.Sprintf(`"note":"change %d"`, i), 1), int64(i+1))
		}
		resume(s.entryHosts[2])
		lastRevision := int64(0)
		Eventually(func() int64 {
			got := s.status(s.entryHosts[2]).Self.Revision
			Expect(got).To(BeNumerically(">=", lastRevision))
			lastRevision = got
			return got
		}).Should(Equal(int64(4)))
	})

	It("returns a conflict with the diff to one of two racing operators", func() {
		s := newSystem(1, 2)
		s.putCatalogue(strings.Replace(catalogue, `"scale":4`, `"scale":5`, 1), 1)
		got := send(http.MethodPut, s.entryHosts[1].address+"/operator/catalogue?base=1", operatorHeader, catalogue)
		Expect(got.status).To(Equal(409))
		Expect(got.field("detail")).To(ContainSubstring("~ account mutuelle"))
	})
})

var accountHeader = map[string]string{"X-Account": string(account)}

// holdsMoveLease reports whether the entry host holds the lease of caisse's move, according to its log.
func holdsMoveLease(e *process) bool {
	taken, ended := 0, 0
	for _, line := range strings.Split(e.output(), "\n") {
		if !strings.Contains(line, "lease/mover/caisse") {
			continue
		}
		taken += strings.Count(line, "lease taken")
		ended += strings.Count(line, "lease ended")
	}
	return taken > ended
}

var _ = Describe("a version move", func() {
	startBalanceLoad := func(s *system) { s.startLoad("caisse", 400, "--call", "GET:/balance") }
	startMove := func(s *system, within time.Duration) {
		body := fmt.Sprintf(`{"entry":"caisse","version":"v2","finish-by":%q}`, time.Now().Add(within).Format(time.RFC3339))
		Expect(send(http.MethodPost, s.entryHosts[0].address+"/operator/moves", operatorHeader, body).status).To(Equal(200))
	}
	moveState := func(s *system, e *process) func() string {
		return func() string {
			moves := s.status(e).Moves
			if len(moves) == 0 {
				return ""
			}
			return moves[0].State
		}
	}

	moveHolder := func(s *system) *process {
		var found *process
		Eventually(func() *process {
			for _, e := range s.entryHosts {
				if holdsMoveLease(e) {
					found = e
				}
			}
			return found
		}).ShouldNot(BeNil())
		return found
	}

	It("is taken over at once when its lease holder stops gracefully, however long the lease term", func() {
		s := newSystem(1, 3, func(s *system) { s.leaseTerm = "10m" })
		s.startApp("v2")
		startMove(s, waitLimit)
		first := moveHolder(s)
		first.signal(os.Interrupt)
		s.entryHosts = slices.DeleteFunc(s.entryHosts, func(e *process) bool { return e == first })
		Expect(moveHolder(s)).NotTo(BeNil())
		Expect(first.wait()).To(Succeed())
	})

	It("of a bad version is rolled back although its lease holder is suspended past its lease", func() {
		s := newSystem(1, 3)
		s.setFaults(s.startApp("v2"), `{"fail-share":0.6}`)
		startMove(s, waitLimit)
		holder := moveHolder(s)
		suspend(holder)
		startBalanceLoad(s)
		for _, e := range s.entryHosts {
			if e != holder {
				Eventually(moveState(s, e)).Should(Equal("taken-back"))
			}
		}
		resume(holder)
		Eventually(moveState(s, holder)).Should(Equal("taken-back"))
		Consistently(moveState(s, holder), time.Second).Should(Equal("taken-back"))
	})

	It("of a bad version is withdrawn at once during a platform outage of a minute, and its rollback is stored afterwards", func() {
		s := newSystem(1, 2)
		app := s.startApp("v2")
		startMove(s, 10*waitLimit)
		startBalanceLoad(s)
		Eventually(func() string {
			return send(http.MethodGet, s.entryHosts[0].address+"/operator/moves/caisse", operatorHeader, "").body
		}).ShouldNot(ContainSubstring(`"share":0,`))
		s.setFaults(s.platform, `{"outage":true}`)
		s.setFaults(app, `{"fail-share":1}`)
		for _, e := range s.entryHosts {
			Eventually(func() string { return send(http.MethodGet, e.address+"/operator/status", operatorHeader, "").body }).Should(ContainSubstring(`"withdrawn":["`))
		}
		served := -1.0
		Eventually(func() bool {
			before := served
			served = stat(app, "requests")
			return served == before
		}).WithPolling(time.Second).Should(BeTrue())
		Consistently(func(g Gomega) {
			g.Expect(stat(app, "requests")).To(Equal(served))
			for _, e := range s.entryHosts {
				g.Expect(moveState(s, e)()).To(Equal("ramping"))
				g.Expect(send(http.MethodGet, e.address+"/apps/caisse/balance", accountHeader, "").status).To(Equal(http.StatusOK))
			}
		}, time.Minute, time.Second).Should(Succeed())
		s.setFaults(s.platform, `{}`)
		Eventually(moveState(s, s.entryHosts[0])).Should(Equal("taken-back"))
	})

	for _, mode := range []string{"fenced", "unfenced"} {
		It(fmt.Sprintf("switches engines with %s orders to the new version as its share grows, and keeps the others for the entry that is not moved", mode), func() {
			s := newSystem(4, 2)
			s.putCatalogue(strings.ReplaceAll(catalogue, `"backend":"plume",`, `"backend":"plume","engine-orders":"`+mode+`",`), 1)
			s.startLoad("conseil-quick", 200)
			body := fmt.Sprintf(`{"entry":"conseil-quick","version":"v2","finish-by":%q}`, time.Now().Add(40*time.Second).Format(time.RFC3339))
			Expect(send(http.MethodPost, s.entryHosts[0].address+"/operator/moves", operatorHeader, body).status).To(Equal(200))
			Eventually(func() (out []string) {
				for _, m := range s.status(s.entryHosts[1]).Moves {
					out = append(out, m.State+" "+m.Reason)
				}
				return out
			}).Should(Equal([]string{"done "}))
			Eventually(func() (n int) {
				for _, e := range s.status(s.entryHosts[0]).Endpoints {
					if row := e.(map[string]any); row["backend"] == "plume" && row["version"] == "v2" {
						n++
					}
				}
				return n
			}).Should(Equal(2))
			text, _ := s.stream(s.newCaller(), ignoreTokens)
			Expect(text).NotTo(BeEmpty())
		})
	}

	It("of a good version is done", func() {
		s := newSystem(1, 2)
		s.startApp("v2")
		startMove(s, waitLimit/2)
		startBalanceLoad(s)
		Eventually(moveState(s, s.entryHosts[1])).Should(Equal("done"))
	})
})
