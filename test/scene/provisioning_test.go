package scene_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// desiredCounts is the desired number of hosts of one data centre and back end.
type desiredCounts struct {
	Fence       int64 `json:"fence"`
	Reclaimable int   `json:"reclaimable"`
	OnDemand    int   `json:"on-demand"`
}

// desiredHosts returns the desired host counts that the platform has recorded, by data centre and back end.
func (s *system) desiredHosts() map[string]desiredCounts {
	var got struct {
		Desired map[string]desiredCounts `json:"wishes"`
	}
	Expect(json.Unmarshal([]byte(send(http.MethodGet, s.platform.address+"/cloud/wishes", nil, "").body), &got)).To(Succeed())
	return got.Desired
}

// fakeCloud starts engines for the desired host counts, as the platform's cloud would.
type fakeCloud struct {
	system            *system
	engineCounts      map[string]int
	refuseReclaimable bool
}

// postOffers publishes the prices and live hosts of two data centres.
func (c *fakeCloud) postOffers() {
	var offers []string
	for i, dataCentre := range []string{"dc-0", "dc-1"} {
		offers = append(offers, fmt.Sprintf(`{"data-centre":%q,"backend":"plume","reclaimable-micros-per-hour":%d,"on-demand-micros-per-hour":18,"refused":%t,"live":%d,"on-demand":%d}`,
			dataCentre, 5+i, c.refuseReclaimable, c.engineCounts[dataCentre], c.engineCounts[dataCentre+" on demand"]))
	}
	Expect(send(http.MethodPost, c.system.platform.address+"/cloud/offers", nil, "["+strings.Join(offers, ",")+"]").status).To(Equal(http.StatusOK))
}

// provision starts the missing engines and publishes the new offers.
func (c *fakeCloud) provision() {
	for i, dataCentre := range []string{"dc-0", "dc-1"} {
		desired := c.system.desiredHosts()[dataCentre+"/plume"]
		for !c.refuseReclaimable && c.engineCounts[dataCentre] < desired.Reclaimable {
			c.startEngine(i, dataCentre)
		}
		for c.engineCounts[dataCentre+" on demand"] < desired.OnDemand {
			c.startEngine(i, dataCentre+" on demand")
		}
	}
	c.postOffers()
}

func (c *fakeCloud) startEngine(dataCentre int, key string) {
	c.engineCounts[key]++
	c.system.startEngine(10*len(c.system.engines)+dataCentre, "v1")
	Eventually(func() error { return ping(c.system.engines[len(c.system.engines)-1].address + "/metrics") }).Should(Succeed())
}

var _ = Describe("the provisioning of hosts", func() {
	It("has one lease holder for each data centre, and one that resumes after its lease expired changes nothing", func() {
		s := newSystem(1, 3)
		offers := `[{"data-centre":"dc-a","backend":"plume","reclaimable-micros-per-hour":5,"on-demand-micros-per-hour":18,"live":1},` +
			`{"data-centre":"dc-b","backend":"plume","reclaimable-micros-per-hour":6,"on-demand-micros-per-hour":18}]`
		Expect(send(http.MethodPost, s.platform.address+"/cloud/offers", nil, offers).status).To(Equal(200))
		Eventually(func() int { return len(s.desiredHosts()) }).Should(Equal(2))
		var holder *process
		Eventually(func() *process {
			for _, e := range s.entryHosts {
				if strings.Contains(e.output(), `"data-centre":"dc-a","fence":1`) {
					holder = e
				}
			}
			return holder
		}).ShouldNot(BeNil())
		suspend(holder)
		Eventually(func() int64 { return s.desiredHosts()["dc-a/plume"].Fence }).Should(BeNumerically(">", 1))
		resume(holder)
		fence := s.desiredHosts()["dc-a/plume"].Fence
		Consistently(func() int64 { return s.desiredHosts()["dc-a/plume"].Fence }, time.Second).Should(BeNumerically(">=", fence))
	})

	It("starts the hosts that a load needs, which then serve it, and on-demand hosts while reclaimable ones are refused", func() {
		s := newSystem(1, 2)
		c := &fakeCloud{system: s, engineCounts: map[string]int{"dc-0": 1}}
		c.postOffers()
		Eventually(func() int { return s.desiredHosts()["dc-0/plume"].Reclaimable }).Should(Equal(1))
		s.startLoad("contrat-long", 12, "--max-tokens", "100")
		Eventually(func() int {
			c.provision()
			return c.engineCounts["dc-0"] + c.engineCounts["dc-1"]
		}).WithPolling(200 * time.Millisecond).Should(BeNumerically(">=", 2))
		Eventually(func() float64 { return stat(s.engines[1], "requests") }).Should(BeNumerically(">", 0))
		c.refuseReclaimable = true
		c.engineCounts["dc-0"], c.engineCounts["dc-1"] = 0, 0
		Eventually(func() int {
			c.provision()
			return c.engineCounts["dc-0 on demand"] + c.engineCounts["dc-1 on demand"]
		}).WithPolling(200 * time.Millisecond).Should(BeNumerically(">", 0))
		last := s.engines[len(s.engines)-1]
		Eventually(func() float64 { return stat(last, "requests") }).Should(BeNumerically(">", 0))
	})
})
