package scene_test

import (
	"context"
	"fmt"
	"net/http"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

var _ = Describe("a payment", func() {
	var s *system
	BeforeEach(func() { s = newSystem(1, 2) })

	pay := func(key string, entryHosts ...*process) error {
		_, _, err := s.newCaller(entryHosts...).Call(context.Background(), "caisse", http.MethodPost, "/instalments", key, []byte(`{"contract":"c","amount-cents":5}`))
		return err
	}

	It("runs once when its response is lost, is outcome-unknown, and is never retried", func() {
		s.setFaults(s.apps[0], `{"lose-answer":true}`)
		for range 3 {
			Expect(fault.KindOf(pay("k-1"))).To(Equal(kind.OutcomeUnknown))
		}
		s.setFaults(s.apps[0], `{}`)
		Expect(fault.KindOf(pay("k-1"))).To(Equal(kind.OutcomeUnknown))
		Expect(runCounts(s.apps[0])).To(Equal(map[string]int{"k-1": 1}))
	})

	It("runs once for each key while the table loses every second answer", func() {
		s.setFaults(s.platform, `{"lose-every":2}`)
		for i := range 15 {
			key := fmt.Sprintf("k-%d", i)
			Expect(pay(key)).To(Succeed())
			Expect(pay(key)).To(Succeed())
		}
		s.setFaults(s.platform, `{}`)
		Expect(runCounts(s.apps[0])).To(HaveLen(15))
		for key, n := range runCounts(s.apps[0]) {
			Expect(n).To(Equal(1), key)
		}
	})

	It("is refused without a run while the table is down, and runs once in a later retry", func() {
		s.setFaults(s.platform, `{"outage":true}`)
		got := send(http.MethodPost, s.entryHosts[0].address+"/apps/caisse/instalments",
			map[string]string{"Content-Type": "application/json", "X-Account": string(account), "Idempotency-Key": "k-1"}, `{"contract":"c","amount-cents":5}`)
		Expect(got.status).To(Equal(503))
		Expect(got.field("type")).To(Equal("urn:dragonflyroute:problem:unavailable"))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(runCounts(s.apps[0])).To(BeEmpty())
		Expect(send(http.MethodGet, s.entryHosts[0].address+"/apps/caisse/balance?contract=c", map[string]string{"X-Account": string(account)}, "").status).To(Equal(200))
		s.setFaults(s.platform, `{}`)
		Expect(pay("k-1")).To(Succeed())
		Expect(runCounts(s.apps[0])).To(Equal(map[string]int{"k-1": 1}))
	})

	It("is not-run permanently when no endpoint can be reached", func() {
		s.apps[0].signal(syscall.SIGKILL)
		Expect(s.apps[0].wait()).To(HaveOccurred())
		Expect(fault.KindOf(pay("k-1"))).To(Equal(kind.NotRun))
		app := s.startApp("v1")
		tries := 0
		Eventually(func() error {
			tries++
			return pay(fmt.Sprintf("again-%d", tries))
		}).Should(Succeed())
		Expect(fault.KindOf(pay("k-1"))).To(Equal(kind.NotRun))
		Expect(runCounts(app)).NotTo(HaveKey("k-1"))
	})

	It("with the idempotency key of another payment is a conflict", func() {
		Expect(pay("k-1")).To(Succeed())
		_, _, err := s.newCaller().Call(context.Background(), "caisse", http.MethodPost, "/instalments", "k-1", []byte(`{"contract":"c","amount-cents":6}`))
		Expect(fault.KindOf(err)).To(Equal(kind.Conflict))
	})
})
