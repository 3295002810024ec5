package scene_test

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// coldTime is how long endpoints are cold after their start, and coldRate the requests that they bear in a second then.
	coldTime = 3 * time.Second
	coldRate = 2
	// coldExcess and coldSlack are the allowed multiple of coldRate and the requests allowed beyond that.
	coldExcess = 1.5
	coldSlack  = 5
	mostCold   = coldExcess*coldRate + coldSlack
	// pressPause is the pause of a pressing caller between two requests.
	pressPause = 10 * time.Millisecond
)

// haveCold makes the endpoints that start from now on cold at first and crash under too many requests then, and has later
// configurations say so.
func (s *site) haveCold() {
	s.cold = fmt.Sprintf(`,"coldStartS":%g,"coldPerS":%d`, coldTime.Seconds(), coldRate)
	s.control(fmt.Sprintf("/cold-policy?start=%s&most=%g", coldTime, mostCold))
}

// newColdSite starts three hosts and three endpoints, which are warm.
func newColdSite() *site {
	s := newPlatform()
	s.haveCold()
	s.startHosts(3)
	return s
}

// press has callers send requests to all hosts, each one after the other, for some time, and returns the number of answers by
// status, 0 for none. It calls meanwhile at once.
func (s *site) press(callers int, length time.Duration, meanwhile func()) map[int]int {
	var mu sync.Mutex
	var g sync.WaitGroup
	statuses := map[int]int{}
	end := time.Now().Add(length)
	for i := range callers {
		c := newCaller(s.hosts[i%len(s.hosts)].address)
		g.Go(func() {
			for ; time.Now().Before(end); time.Sleep(pressPause) {
				a := c.send("/open/slow", requestTimeout)
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
			}
		})
	}
	meanwhile()
	g.Wait()
	return statuses
}

// busiestSecond returns the most requests in any one second.
func busiestSecond(events []limitEvent) int {
	most, first := 0, 0
	for i, e := range events {
		for e.at().Sub(events[first].at()) >= time.Second {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// expectFewCold expects that an endpoint got requests while it was cold, and in no second more than it bears.
func (s *site) expectFewCold(id string) {
	GinkgoHelper()
	events := s.record().Cold[id]
	Expect(events).NotTo(BeEmpty())
	Expect(busiestSecond(events)).To(BeNumerically("<=", mostCold), "%s: %v", id, events)
}

var _ = Describe("a cold endpoint", func() {
	// Guards against a new endpoint taking all requests as it is the idlest one.
	It("gets few requests after its start while callers press, and its share once it is warm", func() {
		s := newColdSite()
		expectServed(s.press(12, 2*coldTime, func() { s.control("/add?id=new&version=v1") }))
		s.expectFewCold("new")
		seen := s.record()
		Expect(seen.Arrivals["new"]).To(BeNumerically(">", len(seen.Cold["new"])), "it gets requests once it is warm")
	})

	// Guards against hosts that go by the row of the endpoint's previous process.
	It("gets few requests after it was restarted under its id while the store is silent", func() {
		s := newColdSite()
		s.press(12, 2*coldTime, func() {
			s.control("/fault?silent")
			time.Sleep(time.Second)
			s.control("/restart?id=i-0&down=500ms")
		})
		s.control("/fault")
		s.expectFewCold("i-0")
	})

	// Guards against a change that only the row tells of, as the endpoint goes on accepting connections.
	It("gets few requests after it turned cold while it ran", func() {
		s := newColdSite()
		s.press(3, 2*coldTime, func() {
			time.Sleep(time.Second)
			s.control(fmt.Sprintf("/cold?id=i-0&for=%s", coldTime))
		})
		s.expectFewCold("i-0")
	})
})
