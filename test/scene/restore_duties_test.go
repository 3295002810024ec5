package scene_test

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// dutyCall is a call of a duty that the platform has recorded.
type dutyCall struct {
	AtMillis int64  `json:"at"`
	Subject  string `json:"subject"`
	Window   int64  `json:"window"`
	Holder   string `json:"holder"`
	Fence    int64  `json:"fence"`
	Accepted bool   `json:"accepted"`
}

// sharedFences returns the fencing numbers that two holders sent for the same subject.
func (r siteRecord) sharedFences() (found []string) {
	holders := map[string]string{}
	for _, c := range r.Duties {
		id := fmt.Sprintf("%s, fencing number %d", c.Subject, c.Fence)
		if other, ok := holders[id]; ok && other != c.Holder {
			found = append(found, fmt.Sprintf("%s from %s and %s", id, other, c.Holder))
		}
		holders[id] = c.Holder
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// fallenFences returns the calls whose fencing number is lower than that of an earlier call for the same subject.
func (r siteRecord) fallenFences() (found []string) {
	newest := map[string]dutyCall{}
	for _, c := range r.Duties {
		if before := newest[c.Subject]; c.Fence < before.Fence {
			found = append(found, fmt.Sprintf("%s: %d from %s after %d from %s, accepted: %t", c.Subject, c.Fence, c.Holder, before.Fence, before.Holder, c.Accepted))
			continue
		}
		newest[c.Subject] = c
	}
	return found
}

// differentReports returns the windows that were reported with different counts.
func (r siteRecord) differentReports() (found []string) {
	for window, reports := range r.Reports {
		for _, counts := range reports {
			if fmt.Sprint(counts) != fmt.Sprint(reports[0]) {
				found = append(found, fmt.Sprintf("window %s was reported as %v and as %v", window, reports[0], counts))
			}
		}
	}
	return found
}

// expectReporter waits for a usage report that is accepted from now on, from one of the hosts that run, and returns the
// host that sent it.
func (s *site) expectReporter() (host int) {
	GinkgoHelper()
	seen := len(s.record().Duties)
	Eventually(func() bool {
		for _, c := range s.record().Duties[seen:] {
			if _, err := fmt.Sscanf(c.Holder, "host-%d", &host); err == nil && c.Accepted && !s.hosts[host].hasEnded() {
				return true
			}
		}
		return false
	}).Should(BeTrue(), "usage is reported")
	return host
}

func (s *site) killHost(host int) {
	s.hosts[host].signal(os.Kill)
	_ = s.hosts[host].wait()
}

func (s *site) relaunch(host int) {
	h := s.hosts[host]
	h.launch(h.address)
	Eventually(func() error { return ping(h.ready + "/ready") }).Should(Succeed())
}

// callAccount sends a call of the account to a host, and returns the error of the connection.
func callAccount(address string) error {
	client := &http.Client{Timeout: oneLook, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/call/x", strings.NewReader("body"))
	if err != nil {
		return err
	}
	r.Host = "plans.example"
	r.Header.Set("Dragonflyroute-Request-Id", nextRequestID())
	r.Header.Set("Authorization", "Bearer k1")
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// callAll sends requests to all hosts until the function that it returns is called.
func (s *linkedSite) callAll() (stop func()) {
	var ending atomic.Bool
	var g errgroup.Group
	for i := range s.hosts {
		address := s.hosts[i].address
		g.Go(func() error {
			for !ending.Load() {
				_ = callAccount(address)
				time.Sleep(10 * time.Millisecond)
			}
			return nil
		})
	}
	return func() {
		ending.Store(true)
		_ = g.Wait()
	}
}

var _ = Describe("the duties over a store that comes back from a copy", func() {
	// beforeCopy is the time from the copy to what the restore takes back.
	const beforeCopy = 300 * time.Millisecond
	// lateReport is the time within which a report of a window may be sent.
	const lateReport = 10 * time.Second
	// reportsLost is the age of a copy that lacks the counts of some reports, and warmUp the time before the first restore.
	const reportsLost, warmUp = 4 * time.Second, 6 * time.Second

	// checkReports plays restores under load; around is called with the host that reports usage and restores the store.
	checkReports := func(around func(s *linkedSite, reporter int)) {
		s := newLinkedSite(3)
		stop := s.callAll()
		defer stop()
		time.Sleep(warmUp)
		for range 3 {
			around(s, s.expectReporter())
			s.expectReporter()
		}
		time.Sleep(lateReport)
		s.expectReporter()
		Expect(s.record().differentReports()).To(BeEmpty())
	}

	// Guards against a window that is counted again because the store has lost the counts that were reported.
	It("reports no window with two counts", func() {
		checkReports(func(s *linkedSite, _ int) { s.restoreStore(reportsLost) })
	})

	// Guards against the same by another host, which has not sent the report itself.
	It("reports no window with two counts when the holder is killed at that moment", func() {
		checkReports(func(s *linkedSite, reporter int) {
			s.killHost(reporter)
			s.restoreStore(reportsLost)
			s.expectReporter()
			s.relaunch(reporter)
		})
	})

	// Guards against the same by hosts that have started since and know of no earlier requests.
	It("reports no window with two counts when the holder is killed and the other hosts have just started", func() {
		checkReports(func(s *linkedSite, reporter int) {
			for i := range s.hosts {
				if i != reporter {
					s.killHost(i)
					s.relaunch(i)
				}
			}
			s.killHost(reporter)
			s.restoreStore(reportsLost)
			s.relaunch(reporter)
		})
	})

	// Guards against a fencing number that is given out again because the store has lost the lease's later holders.
	It("gives no fencing number to two holders and none below an earlier one", func() {
		s := newLinkedSite(3)
		first := s.expectReporter()
		copied := time.Now()
		time.Sleep(beforeCopy)
		s.killHost(first)
		second := s.expectReporter()
		Expect(second).NotTo(Equal(first))
		s.killHost(second)
		s.restoreStore(time.Since(copied))
		s.relaunch(first)
		s.expectReporter()
		s.relaunch(second)
		time.Sleep(3 * time.Second)
		s.expectReporter()
		Expect(s.record().sharedFences()).To(BeEmpty())
		Expect(s.record().fallenFences()).To(BeEmpty())
	})

	// Guards against the same when the copy has no lease at all.
	It("gives no fencing number to two holders when the copy is older than the first of them", func() {
		s := newLinkedSite(3)
		created := time.Now()
		first := s.expectReporter()
		s.killHost(first)
		s.restoreStore(time.Since(created) + catchUpTime)
		s.expectReporter()
		s.relaunch(first)
		s.expectReporter()
		Expect(s.record().sharedFences()).To(BeEmpty())
		Expect(s.record().fallenFences()).To(BeEmpty())
	})

	// Guards against the same while the holder of the later number runs on.
	It("gives no fencing number to two holders and none below an earlier one while its holder runs", func() {
		s := newLinkedSite(3)
		for range 3 {
			first := s.expectReporter()
			copied := time.Now()
			time.Sleep(beforeCopy)
			s.killHost(first)
			s.expectReporter()
			s.restoreStore(time.Since(copied))
			s.relaunch(first)
			s.expectReporter()
		}
		Expect(s.record().sharedFences()).To(BeEmpty())
		Expect(s.record().fallenFences()).To(BeEmpty())
	})
})
