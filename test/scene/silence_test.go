package scene_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// siteContact is the time after the end of a disturbance of the store within which hosts must be up to date again, and
	// siteApply the time after its acknowledgement within which a configuration must be in force.
	siteContact = 3 * time.Second
	siteApply   = 2 * time.Second
)

// expectOnlyNewKey expects that all hosts accept the new key alone, from now on.
func (s *site) expectOnlyNewKey(newKey, oldKey string) {
	GinkgoHelper()
	Consistently(func() (wrong []string) {
		for i := range s.hosts {
			for key, want := range map[string]int{newKey: http.StatusOK, oldKey: http.StatusUnauthorized} {
				if a := s.request(i, "/call/x", key); a.status != want {
					wrong = append(wrong, fmt.Sprintf("host %d answers %d to key %s", i, a.status, key))
				}
			}
		}
		return wrong
	}, time.Second, 100*time.Millisecond).Should(BeEmpty())
}

var _ = Describe("a store that leaves calls without an answer", func() {
	// settled is a time after which all hosts wait for changes of the tables.
	const settled = time.Second

	// Guards against the long poll that was sent into the silence being waited for after its end: the old configuration stays
	// in force although shorter calls are answered.
	for _, silence := range []time.Duration{700 * time.Millisecond, 2500 * time.Millisecond, 5500 * time.Millisecond} {
		It(fmt.Sprintf("has its next configuration in force on all hosts in time after %v", silence), func() {
			s := newSite(3)
			time.Sleep(settled)
			s.control("/fault?silent")
			time.Sleep(silence)
			s.control("/fault")
			back := time.Now()
			time.Sleep(200 * time.Millisecond)
			s.configure(2, "", `"k2"`)
			time.Sleep(time.Until(latestOf(back.Add(siteContact), time.Now().Add(siteApply))))
			s.expectOnlyNewKey("k2", "k1")
		})
	}

	// Guards against one long poll whose answer is lost, while all other calls are answered, hiding a configuration until it
	// ends.
	It("has a configuration in force in time though all hosts' long polls for it are lost", func() {
		s := newSite(3)
		time.Sleep(settled)
		s.control("/fault?mute=op")
		lost := time.Now()
		s.configure(2, "", `"k2"`)
		time.Sleep(time.Until(lost.Add(siteContact)))
		s.expectOnlyNewKey("k2", "k1")
	})

	// Guards against the long poll for hosts, moves and decisions, which is the longest, outliving the silence.
	It("has changes of the hosts' table known to all hosts in time after a silence", func() {
		s := newSite(3)
		time.Sleep(settled)
		s.control("/fault?silent")
		time.Sleep(2500 * time.Millisecond)
		s.control("/fault")
		back := time.Now()
		s.putRow(hostsTable, "odd-after-silence", "?")
		for i, h := range s.hosts {
			Eventually(h.output).WithTimeout(time.Until(back.Add(siteContact))).Should(ContainSubstring("odd-after-silence"), "host %d", i)
		}
	})
})

func latestOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

var _ = Describe("a host that is stopped while the store leaves calls without an answer", func() {
	// Guards against the writes of its row and of its lease holding up the end of its connections until the process exits.
	It("ends its connections in order before it exits", func() {
		s := newSite(2)
		caller, idle := s.newKeptCaller(1), s.newKeptCaller(1)
		defer idle.client.CloseIdleConnections()
		s.control("/fault?silent")
		s.hosts[1].signal(syscall.SIGTERM)
		var answer keptAnswer
		var g sync.WaitGroup
		g.Go(func() {
			time.Sleep(late)
			answer = caller.send("/call/slow", time.Second)
		})
		Expect(s.hosts[1].wait()).To(Succeed())
		g.Wait()
		Expect(answer.err).NotTo(HaveOccurred())
		Expect(s.hosts[1].output()).To(MatchRegexp(`"drained".*"active-requests":0,"incomplete":false`))
	})
})
