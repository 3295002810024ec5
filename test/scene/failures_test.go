package scene_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

func ignoreTokens(int) {}

var _ = Describe("a long answer", func() {
	var s *system
	var expected string
	BeforeEach(func() {
		s = newSystem(3, 2)
		expected, _ = s.stream(s.newCaller(), ignoreTokens)
	})

	// generatingEngine returns the engine that is generating tokens.
	generatingEngine := func() *process {
		before := map[*process]float64{}
		for _, e := range s.engines {
			before[e] = generatedTokens(e)
		}
		var found *process
		Eventually(func() bool {
			for _, e := range s.engines {
				if generatedTokens(e) > before[e] {
					found = e
				}
			}
			return found != nil
		}).Should(BeTrue())
		return found
	}

	atToken := func(n int, do func()) func(int) {
		return func(got int) {
			if got == n {
				do()
			}
		}
	}

	It("is complete when its engine is killed", func() {
		text, _ := s.stream(s.newCaller(), atToken(50, func() { generatingEngine().signal(syscall.SIGKILL) }))
		Expect(text).To(Equal(expected))
	})

	It("is complete when its engine hangs", func() {
		text, _ := s.stream(s.newCaller(), atToken(50, func() { suspend(generatingEngine()) }))
		Expect(text).To(Equal(expected))
	})

	It("is complete when its entry host is killed", func() {
		c := s.newCaller(s.entryHosts[0])
		text, connections := s.stream(c, atToken(50, func() {
			for _, e := range s.entryHosts {
				if s.runningRequests(e) > 0 {
					e.signal(syscall.SIGKILL)
				}
			}
		}))
		Expect(text).To(Equal(expected))
		Expect(connections).To(BeNumerically(">", 1))
	})

	It("is complete when its data centre is reclaimed, and the leaving engine gets no new requests", func() {
		text, _ := s.stream(s.newCaller(), atToken(50, func() {
			leaving := generatingEngine()
			Expect(send(http.MethodPost, leaving.address+"/reclaim", nil, `{"notice-ms":60000}`).status).To(Equal(200))
			Eventually(func() string {
				return send(http.MethodGet, s.entryHosts[0].address+"/operator/status", operatorHeader, "").body
			}).Should(ContainSubstring(`"leaving":true`))
			Eventually(func() string {
				return send(http.MethodGet, s.entryHosts[1].address+"/operator/status", operatorHeader, "").body
			}).Should(ContainSubstring(`"leaving":true`))
			accepted := stats(leaving)["requests"]
			for range 20 {
				_, err := s.newCaller().Stream(context.Background(), "conseil-quick", "p", 2, func(string) {})
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(stats(leaving)["requests"]).To(Equal(accepted))
		}))
		Expect(text).To(Equal(expected))
	})

	for _, refused := range []bool{false, true} {
		It(fmt.Sprintf("moves to another engine with its KV cache when the notice is too short to finish it (refused by the target: %t)", refused), func() {
			for _, e := range s.engines {
				s.setFaults(e, fmt.Sprintf(`{"refuse-kv":%t}`, refused))
			}
			s.maxTokens = 1000
			var leaving *process
			text, _ := s.stream(s.newCaller(), atToken(50, func() {
				leaving = generatingEngine()
				Expect(send(http.MethodPost, leaving.address+"/reclaim", nil, `{"notice-ms":8000}`).status).To(Equal(200))
			}))
			Expect(text).To(HavePrefix(expected))
			fetched := 0.0
			for _, e := range s.engines {
				if e != leaving {
					fetched += stats(e)["kv-fetched"].(float64)
				}
			}
			Expect(fetched > 0).To(Equal(!refused))
		})
	}

	It("is stopped on the engine soon after its caller has disconnected", func() {
		ctx, cancel := context.WithCancel(context.Background())
		_, err := s.newCaller().Stream(ctx, "contrat-long", longPrompt, 1000, func(string) { cancel() })
		Expect(err).To(HaveOccurred())
		last := 0.0
		Eventually(func() bool {
			sum := 0.0
			for _, e := range s.engines {
				sum += generatedTokens(e)
			}
			unchanged := sum == last
			last = sum
			return unchanged
		}).WithPolling(200 * time.Millisecond).Should(BeTrue())
		Expect(last).To(BeNumerically("<", 200+1000))
	})

	It("is complete in a retry at the Location of the refusal when its entry host stops during a non-streaming request", func() {
		body := fmt.Sprintf(`{"model":"contrat-long","prompt":%q,"max_tokens":1000}`, longPrompt)
		header := map[string]string{"Content-Type": "application/json", "X-Account": string(account), "X-Request-Id": "whole-1"}
		firstAnswer := make(chan answer, 1)
		var g errgroup.Group
		g.Go(func() error {
			defer GinkgoRecover()
			firstAnswer <- send(http.MethodPost, s.entryHosts[0].address+"/v1/completions", header, body)
			return nil
		})
		Eventually(func() int { return s.runningRequests(s.entryHosts[0]) }).Should(Equal(1))
		s.entryHosts[0].signal(syscall.SIGTERM)
		var first answer
		Eventually(firstAnswer).Should(Receive(&first))
		Expect(g.Wait()).To(Succeed())
		Expect(s.entryHosts[0].wait()).To(Succeed())
		Expect(first.status).To(Equal(503), first.body)
		Expect(first.field("type")).To(Equal("urn:dragonflyroute:problem:draining"))
		second := send(http.MethodPost, strings.TrimPrefix(first.header.Get("Location"), "http://"), header, body)
		Expect(second.status).To(Equal(200), second.body)
		Expect(second.body).To(ContainSubstring(expected))
		Expect(second.body).To(ContainSubstring(`"completion_tokens":1000`))
	})

	// Guards against a refusal that refers its caller to an address without a host.
	It("is refused without a Location, with a time to return, when its entry host stops and no other one takes it over", func() {
		for _, e := range s.entryHosts[1:] {
			suspend(e)
			DeferCleanup(func() { resume(e) })
		}
		body := fmt.Sprintf(`{"model":"contrat-long","prompt":%q,"max_tokens":1000}`, longPrompt)
		header := map[string]string{"Content-Type": "application/json", "X-Account": string(account), "X-Request-Id": "alone-1"}
		refused := make(chan answer, 1)
		var g errgroup.Group
		g.Go(func() error {
			defer GinkgoRecover()
			refused <- send(http.MethodPost, s.entryHosts[0].address+"/v1/completions", header, body)
			return nil
		})
		Eventually(func() int { return s.runningRequests(s.entryHosts[0]) }).Should(Equal(1))
		s.entryHosts[0].signal(syscall.SIGTERM)
		var first answer
		Eventually(refused).Should(Receive(&first))
		Expect(g.Wait()).To(Succeed())
		Expect(first.status).To(Equal(503), first.body)
		Expect(first.header.Values("Location")).To(BeEmpty())
		Expect(first.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("is complete through an outage of the platform", func() {
		text, _ := s.stream(s.newCaller(), atToken(20, func() { s.setFaults(s.platform, `{"outage":true}`) }))
		Expect(text).To(Equal(expected))
	})

	It("is handed over when its entry host stops gracefully, and the process exits without an error", func() {
		var stopped *process
		text, connections := s.stream(s.newCaller(), atToken(50, func() {
			for _, e := range s.entryHosts {
				if s.runningRequests(e) > 0 {
					stopped = e
				}
			}
			stopped.signal(syscall.SIGTERM)
		}))
		Expect(text).To(Equal(expected))
		Expect(connections).To(BeNumerically(">=", 1))
		Expect(stopped.wait()).To(Succeed())
	})
})

func stats(p *process) map[string]any {
	out := map[string]any{}
	Expect(json.Unmarshal([]byte(send(http.MethodGet, p.address+"/stats", nil, "").body), &out)).To(Succeed())
	return out
}

func generatedTokens(p *process) float64 {
	r, err := http.Get("http://" + p.address + "/stats")
	if err != nil {
		return 0
	}
	defer func() { _ = r.Body.Close() }()
	var out struct{ Tokens float64 }
	_ = json.NewDecoder(r.Body).Decode(&out)
	return out.Tokens
}

func (s *system) runningRequests(e *process) int {
	var r struct {
		Self struct{ Running int }
	}
	Expect(json.Unmarshal([]byte(send(http.MethodGet, e.address+"/operator/status", operatorHeader, "").body), &r)).To(Succeed())
	return r.Self.Running
}

var _ = Describe("an entry host", func() {
	It("stops gracefully under load without a refused or lost request", func() {
		s := newSystem(2, 2)
		var addresses []string
		for _, e := range s.entryHosts {
			addresses = append(addresses, e.address)
		}
		var outs [2]bytes.Buffer
		var loads []*exec.Cmd
		for i, call := range []string{"", "GET:/balance"} {
			entry := []string{"conseil-quick", "caisse"}[i]
			cmd := exec.Command(filepath.Join(binDir, "bench"), "load", "--at", strings.Join(addresses, ","), "--account", string(account),
				"--entry", entry, "--call", call, "--rate", "60", "--for", "6s", "--json")
			cmd.Stdout = &outs[i]
			Expect(cmd.Start()).To(Succeed())
			loads = append(loads, cmd)
		}
		Eventually(func() int { return s.runningRequests(s.entryHosts[0]) + s.runningRequests(s.entryHosts[1]) }).Should(BeNumerically(">", 0))
		s.entryHosts[0].signal(syscall.SIGTERM)
		Expect(s.entryHosts[0].wait()).To(Succeed())
		for i, cmd := range loads {
			Expect(cmd.Wait()).To(Succeed())
			var got struct {
				Sent, OK int
				Refused  map[string]int
			}
			Expect(json.Unmarshal(outs[i].Bytes(), &got)).To(Succeed())
			Expect(got.Refused).To(BeEmpty())
			Expect(got.OK).To(Equal(got.Sent))
		}
	})
})
