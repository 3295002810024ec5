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

// wished is one order of a buyer.
type wished struct {
	Fence       int64 `json:"fence"`
	Reclaimable int   `json:"reclaimable"`
	OnDemand    int   `json:"on-demand"`
}

// wishes returns the orders by data centre and back end.
func (w *world) wishes() map[string]wished {
	var got struct {
		Wishes map[string]wished `json:"wishes"`
	}
	Expect(json.Unmarshal([]byte(send(http.MethodGet, w.platform.address+"/cloud/wishes", nil, "").body), &got)).To(Succeed())
	return got.Wishes
}

// cloud carries orders out by starting engines, as the platform's cloud would.
type cloud struct {
	w       *world
	started map[string]int
	refused bool
}

// offer tells what is there in two data centres.
func (c *cloud) offer() {
	var offers []string
	for i, at := range []string{"dc-0", "dc-1"} {
		offers = append(offers, fmt.Sprintf(`{"data-centre":%q,"backend":"plume","reclaimable-micros-per-hour":%d,"on-demand-micros-per-hour":18,"refused":%t,"live":%d,"on-demand":%d}`,
			at, 5+i, c.refused, c.started[at], c.started[at+" on demand"]))
	}
	Expect(send(http.MethodPost, c.w.platform.address+"/cloud/offers", nil, "["+strings.Join(offers, ",")+"]").status).To(Equal(http.StatusOK))
}

// step starts what is ordered and not there.
func (c *cloud) step() {
	for i, at := range []string{"dc-0", "dc-1"} {
		order := c.w.wishes()[at+"/plume"]
		for !c.refused && c.started[at] < order.Reclaimable {
			c.start(i, at)
		}
		for c.started[at+" on demand"] < order.OnDemand {
			c.start(i, at+" on demand")
		}
	}
	c.offer()
}

func (c *cloud) start(centre int, what string) {
	c.started[what]++
	c.w.engine(10*len(c.w.engines)+centre, "v1")
	Eventually(func() error { return ping(c.w.engines[len(c.w.engines)-1].address + "/metrics") }).Should(Succeed())
}

var _ = Describe("a buyer of hosts", func() {
	It("is one at a time for each data centre, and a frozen one that is let go changes nothing", func() {
		w := newWorld(1, 3)
		offers := `[{"data-centre":"dc-a","backend":"plume","reclaimable-micros-per-hour":5,"on-demand-micros-per-hour":18,"live":1},` +
			`{"data-centre":"dc-b","backend":"plume","reclaimable-micros-per-hour":6,"on-demand-micros-per-hour":18}]`
		Expect(send(http.MethodPost, w.platform.address+"/cloud/offers", nil, offers).status).To(Equal(200))
		Eventually(func() int { return len(w.wishes()) }).Should(Equal(2))
		var holder *process
		Eventually(func() *process {
			for _, e := range w.entries {
				if strings.Contains(e.logged(), `"data-centre":"dc-a","fence":1`) {
					holder = e
				}
			}
			return holder
		}).ShouldNot(BeNil())
		freeze(holder)
		Eventually(func() int64 { return w.wishes()["dc-a/plume"].Fence }).Should(BeNumerically(">", 1))
		letGo(holder)
		fence := w.wishes()["dc-a/plume"].Fence
		Consistently(func() int64 { return w.wishes()["dc-a/plume"].Fence }, time.Second).Should(BeNumerically(">=", fence))
	})

	It("buys what a load needs, which then serves it, and on-demand hosts while reclaimable ones are refused", func() {
		w := newWorld(1, 2)
		c := &cloud{w: w, started: map[string]int{"dc-0": 1}}
		c.offer()
		Eventually(func() int { return w.wishes()["dc-0/plume"].Reclaimable }).Should(Equal(1))
		w.loadEntry("contrat-long", 12, "--max-tokens", "100")
		Eventually(func() int {
			c.step()
			return c.started["dc-0"] + c.started["dc-1"]
		}).WithPolling(200 * time.Millisecond).Should(BeNumerically(">=", 2))
		Eventually(func() float64 { return stat(w.engines[1], "requests") }).Should(BeNumerically(">", 0))
		c.refused = true
		c.started["dc-0"], c.started["dc-1"] = 0, 0
		Eventually(func() int {
			c.step()
			return c.started["dc-0 on demand"] + c.started["dc-1 on demand"]
		}).WithPolling(200 * time.Millisecond).Should(BeNumerically(">", 0))
		last := w.engines[len(w.engines)-1]
		Eventually(func() float64 { return stat(last, "requests") }).Should(BeNumerically(">", 0))
	})
})
