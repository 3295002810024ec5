package scene_test

import (
	"net/http"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// largeHosts is above the number of hosts up to which every host reads the platform's tables itself.
const largeHosts = 11

// primaries returns the hosts whose last logged role is head, which reads the tables.
func (s *site) primaries() (out []int) {
	for i, h := range s.hosts {
		if at := strings.LastIndex(h.output(), `"role changed"`); !h.exited && at >= 0 && strings.Contains(h.output()[at:], `"role":"head"`) {
			out = append(out, i)
		}
	}
	return out
}

var _ = Describe("a larger fleet on the users' platform", func() {
	It("reads the tables on one host, applies changes in time when that is killed, and serves through a store outage", func() {
		s := newSite(largeHosts)
		Eventually(s.primaries).Should(HaveLen(1))
		time.Sleep(3 * time.Second)
		before := s.record().Reads["servers"]
		time.Sleep(6 * time.Second)
		// A host that polls for itself reads this table at least every 1.2 s, and the head three times as often.
		Expect(s.record().Reads["servers"] - before).To(BeNumerically("<", 6*largeHosts/2))

		primary := s.primaries()[0]
		s.hosts[primary].signal(os.Kill)
		_ = s.hosts[primary].wait()
		s.configure(5, "", `"k2"`)
		s.control("/add?id=n-1&version=v1")
		deadline := time.Now().Add(5 * time.Second)
		for i := range s.hosts {
			if i != primary {
				Eventually(func() int { return s.request(i, "/call/x", "k2").status }).Should(Equal(http.StatusOK))
			}
		}
		Expect(time.Now()).To(BeTemporally("<", deadline))
		Eventually(s.primaries).Should(HaveLen(1))

		s.control("/fault?down")
		time.Sleep(2 * time.Second)
		for i := range s.hosts {
			if i != primary {
				Expect(s.request(i, "/call/x", "k2").status).To(Equal(http.StatusOK))
			}
		}
		s.control("/fault")
		s.configure(6, "", `"k3"`)
		for i := range s.hosts {
			if i != primary {
				Eventually(func() int { return s.request(i, "/call/x", "k3").status }).Should(Equal(http.StatusOK))
			}
		}
	})

	It("reports each request's usage once", func() {
		s := newSite(largeHosts)
		for i := range 66 {
			Expect(s.request(i%largeHosts, "/call/x", "k1").status).To(Equal(http.StatusOK))
		}
		total := func() int64 {
			sum := int64(0)
			for _, reports := range s.record().Reports {
				n, _ := reports[0]["mutual"].Int64()
				sum += n
			}
			return sum
		}
		Eventually(total).Should(Equal(int64(66)))
		Consistently(total, "3s", "500ms").Should(Equal(int64(66)))
	})
})
