package scene_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// evacuateTime is the time after its acknowledgement within which an evacuation must be in force: evacuateMs of the settings.
const evacuateTime = 5 * time.Second

// evacuatedArrival is a request that arrived at an endpoint of an evacuated data centre.
type evacuatedArrival struct {
	limitEvent
	// AfterMillis is the time since the operator evacuated the data centre.
	AfterMillis int64 `json:"after"`
}

func (e evacuatedArrival) late() bool { return e.AfterMillis > evacuateTime.Milliseconds() }

// operate calls the operator's interface for a data centre's evacuation: PUT begins and DELETE ends it.
func (s *site) operate(method, dataCentre string) {
	r, err := http.NewRequest(method, "http://"+s.platform.address+"/op/evacuate%2F"+dataCentre, strings.NewReader("{}"))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// evacuate asks that no new work be sent to a data centre's endpoints, until takeBack.
func (s *site) evacuate(dataCentre string) { s.operate(http.MethodPut, dataCentre) }

func (s *site) takeBack(dataCentre string) { s.operate(http.MethodDelete, dataCentre) }

// newTwoCentres starts three hosts and three endpoints in each of the data centres here and there.
func newTwoCentres() *site {
	s := newPlatform()
	for i := range 3 {
		s.control(fmt.Sprintf("/add?id=there-%d&version=v1&zone=there", i))
	}
	s.haveCold()
	s.startHosts(3)
	return s
}

// arrivalsHere returns the requests that arrived at endpoints of the data centre here.
func (s *site) arrivalsHere() (n int) {
	seen := s.record()
	for i := range 3 {
		n += seen.Arrivals[fmt.Sprintf("i-%d", i)]
	}
	return n
}

// expectNoneLate expects that no request reached an endpoint of an evacuated data centre after the time limit.
func (s *site) expectNoneLate() {
	GinkgoHelper()
	for id, arrivals := range s.record().Evacuated {
		for _, e := range arrivals {
			Expect(e.late()).To(BeFalse(), "request %s reached %s %d ms after the evacuation", e.Request, id, e.AfterMillis)
		}
	}
}

// expectServed expects that all of some answers have status 200.
func expectServed(statuses map[int]int) {
	GinkgoHelper()
	Expect(statuses).To(HaveLen(1))
	Expect(statuses).To(HaveKey(http.StatusOK))
}

var _ = Describe("an evacuated data centre", func() {
	// Guards against requests that were chosen an endpoint before the evacuation, and against all hosts taking its idle
	// endpoints for the best once it ends.
	It("gets no request once the evacuation is in force, and few while it is cold after its end", func() {
		s := newTwoCentres()
		expectServed(s.press(12, evacuateTime+2*time.Second, func() { s.evacuate("here") }))
		s.expectNoneLate()
		before := s.arrivalsHere()
		expectServed(s.press(12, 2*coldTime, func() {
			s.control(fmt.Sprintf("/cold?zone=here&for=%s", coldTime))
			s.takeBack("here")
		}))
		Expect(s.arrivalsHere()).To(BeNumerically(">", before))
		for i := range 3 {
			s.expectFewCold(fmt.Sprintf("i-%d", i))
		}
	})

	It("ends the answers that run where they are", func() {
		s := newTwoCentres()
		answers := s.streams(0, 6, "events=100&gap=20", func() { s.evacuate("here") })
		seen := s.record()
		for _, a := range answers {
			Expect(seen.Streams[a.id]).To(HaveLen(1))
			Expect(seen.Streams[a.id][0].Complete).To(BeTrue())
		}
	})

	for _, fault := range []string{"", "?down", "?silent"} {
		// Guards against a host that starts without the evacuation, as it was not there when that began.
		It(fmt.Sprintf("gets no request from a host that restarts meanwhile, with the store's fault %q", fault), func() {
			s := newTwoCentres()
			s.evacuate("here")
			time.Sleep(evacuateTime)
			s.control("/fault" + fault)
			s.killHost(1)
			s.relaunch(1)
			s.press(12, 3*time.Second, func() {})
			s.control("/fault")
			Eventually(func() int { return s.readiness(s.hosts[1].ready) }).Should(Equal(http.StatusOK))
			expectServed(s.press(12, time.Second, func() {}))
			s.expectNoneLate()
		})
	}

	It("is used again by every host after it was taken back while the store was silent", func() {
		s := newTwoCentres()
		s.evacuate("here")
		time.Sleep(evacuateTime)
		s.control("/fault?silent")
		s.takeBack("here")
		expectServed(s.press(12, 2*time.Second, func() {}))
		s.control("/fault")
		time.Sleep(siteContact + coldTime)
		for i := range s.hosts {
			before := s.arrivalsHere()
			Eventually(func() int {
				Expect(s.callStatus(i)).To(Equal(http.StatusOK))
				return s.arrivalsHere()
			}).Should(BeNumerically(">", before), "host %d", i)
		}
	})

	It("is evacuated once if that is asked twice, and an unknown data centre has no effect", func() {
		s := newTwoCentres()
		for _, dataCentre := range []string{"here", "nowhere", "here"} {
			s.evacuate(dataCentre)
		}
		time.Sleep(evacuateTime)
		expectServed(s.press(12, time.Second, func() {}))
		s.expectNoneLate()
		s.takeBack("nowhere")
		expectServed(s.press(12, time.Second, func() {}))
		s.expectNoneLate()
		s.takeBack("here")
		before := s.arrivalsHere()
		expectServed(s.press(12, evacuateTime+coldTime, func() {}))
		Expect(s.arrivalsHere()).To(BeNumerically(">", before))
	})

	// Guards against requests that wait for an endpoint although none will take them.
	It("has requests refused at once as not run, with a time to return, if no other has endpoints", func() {
		s := newSite(2)
		s.evacuate("here")
		time.Sleep(evacuateTime)
		for i := range s.hosts {
			sent := time.Now()
			a := s.request(i, "/call/x", "k1")
			Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(time.Since(sent)).To(BeNumerically("<", time.Second))
			Expect(s.record().Runs[a.id]).To(Equal(0))
		}
		s.takeBack("here")
		Eventually(func() int { return s.callStatus(0) }).Should(Equal(http.StatusOK))
	})
})
