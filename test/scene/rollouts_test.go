package scene_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/move"
)

const (
	// rolloutSeconds is the duration of a requested rollout, and lateSeconds after how long the store carries out a write that it
	// does not answer: a write of the last third of the rollout is carried out after its end.
	rolloutSeconds = 30
	lateSeconds    = 14
	// lossTime is how long the store answers no writes.
	lossTime = time.Second
	// callsPerTurn is the number of calls in each turn: 120 a second, with which a rollout is completed near the end of its time.
	callsPerTurn = 6
	turn         = 50 * time.Millisecond
	// rolloutTimeout is how long a test waits for the next step of a rollout.
	rolloutTimeout = time.Minute
)

// moveState returns the state of the back end's move in the hosts' table.
func (s *site) moveState() (m move.Move) {
	_ = json.Unmarshal([]byte(s.storeRows("dragonflyroute-hosts")["move/plume"]), &m)
	return m
}

// callHostsUntil sends calls until a condition holds.
func (s *site) callHostsUntil(holds func() bool) {
	Eventually(func() bool {
		s.callHosts(callsPerTurn)
		return holds()
	}, rolloutTimeout, turn).Should(BeTrue())
}

func (s *site) status() string { return s.record().Status["rollout/plume"] }

var _ = Describe("a rollout on the users' platform", func() {
	// Guards against a completed rollout that is rolled back, as the store carries out late an earlier write of its state: its old
	// endpoints are gone then.
	It("stays completed when the store carries out an earlier write late", func() {
		s := newSite(2)
		s.control("/add?id=n-1&version=v2")
		s.requestMove("v2", rolloutSeconds)
		s.callHostsUntil(func() bool { return s.moveState().Share >= 0.3 })
		s.control(fmt.Sprint("/fault?late=", lateSeconds))
		lost := time.Now()
		s.callHostsUntil(func() bool { return time.Since(lost) > lossTime })
		s.control("/fault")
		s.callHostsUntil(func() bool { return s.moveState().State == move.Done })
		s.callHostsUntil(func() bool { return time.Since(lost) > (lateSeconds+2)*time.Second+lossTime })
		Expect(s.moveState().State).To(Equal(move.Done))
		Expect(s.status()).To(ContainSubstring("completed"))
		Expect(s.request(0, "/call/x", "k1").status).To(Equal(http.StatusOK))
	})

	// Guards against a rolled-back version that gets requests again with the next order, also from a host that starts then.
	It("sends no requests to a version that was rolled back before, while its endpoints still serve", func() {
		s := newSite(2)
		s.control("/add?id=n-1&version=v2&bad=60")
		Expect(s.moveUnderLoad(rolloutSeconds)).To(ContainSubstring("rolled_back"))
		s.callHosts(20)
		before := s.record().Versions["v2"]
		s.control("/add?id=n-2&version=v3")
		s.requestMove("v3", rolloutSeconds)
		s.startHost(2)
		Eventually(func() int { return s.readiness(s.hosts[2].ready) }).Should(Equal(http.StatusOK))
		s.callHostsUntil(func() bool { return s.moveState().To == "v3" && s.moveState().Share > 0 })
		s.callHosts(200)
		Expect(s.record().Versions["v2"]).To(Equal(before))
	})
})
