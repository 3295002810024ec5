package scene_test

import (
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// limitWindow is the length of the windows in which requests to a limited endpoint are counted.
	limitWindow = 4 * time.Second
	// limitTolerance and limitExtra are the allowed multiple of a request limit and the requests allowed beyond that.
	limitTolerance = 1.5
	limitExtra     = 5
	// limitNotice is the time that hosts have to apply a new or lowered limit, and hostNotice the time after which a host
	// that passed on an answer with a limit must keep to it.
	limitNotice = 3 * time.Second
	hostNotice  = 500 * time.Millisecond
)

// limitEvent is a change of an endpoint's request limit, or the arrival of a request.
type limitEvent struct {
	AtMillis int64  `json:"at"`
	Request  string `json:"request"`
	Limit    string `json:"limit"`
}

func (e limitEvent) at() time.Time { return time.UnixMilli(e.AtMillis) }

// perSecond returns the limit in force after the event; ok is false for none.
func (e limitEvent) perSecond() (n float64, ok bool) {
	n, err := strconv.ParseFloat(e.Limit, 64)
	return n, err == nil
}

// allowedRequests returns the requests that an endpoint may get in the window that ends at a time; limited is false
// until hosts have had time to apply a limit. A lowered limit counts once that time has passed.
func allowedRequests(events []limitEvent, end time.Time) (allowed float64, limited bool) {
	from := end.Add(-limitWindow - limitNotice)
	highest := 0.0
	var since time.Time
	for _, e := range events {
		if e.at().After(end) {
			break
		}
		n, ok := e.perSecond()
		switch {
		case !ok:
			highest, since = 0, time.Time{}
			continue
		case since.IsZero():
			since = e.at()
		}
		if !e.at().After(from) {
			highest = 0
		}
		highest = max(highest, n)
	}
	return limitTolerance*highest*limitWindow.Seconds() + limitExtra, !since.IsZero() && end.Sub(since) >= limitNotice
}

// excessAt returns the requests in the window that ends with the last of some arrivals beyond what is allowed.
func excessAt(events []limitEvent, arrivals []time.Time) float64 {
	end := arrivals[len(arrivals)-1]
	allowed, limited := allowedRequests(events, end)
	if !limited {
		return 0
	}
	n := 0
	for _, at := range arrivals {
		if end.Sub(at) < limitWindow {
			n++
		}
	}
	return max(0, float64(n)-allowed)
}

// maxExcess returns the most requests beyond what is allowed that an endpoint got in a window, of those that count.
func maxExcess(events []limitEvent, counts func(e limitEvent) bool) float64 {
	var arrivals []time.Time
	worst := 0.0
	for _, e := range events {
		if e.Request == "" || !counts(e) {
			continue
		}
		arrivals = append(arrivals, e.at())
		worst = max(worst, excessAt(events, arrivals))
	}
	return worst
}

// sendPause is the time between the requests of sendFor.
const sendPause = 10 * time.Millisecond

// sendFor sends requests to all hosts in turn for some time and returns how many of them were not served.
func (s *site) sendFor(length time.Duration) (failed int) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(sendPause) {
		path := "/call/x"
		if s.requests%2 == 0 {
			path = "/open/x"
		}
		if s.request(s.requests%len(s.hosts), path, "k1").status != http.StatusOK {
			failed++
		}
	}
	return failed
}

var _ = Describe("an endpoint that limits its requests", func() {
	everything := func(limitEvent) bool { return true }

	// Guards against hosts that ignore the request limit of an endpoint, or that each send as many requests as all of them
	// together may.
	It("gets no more requests from all hosts together than its limit allows", func() {
		s := newSite(3)
		s.control("/trouble?id=i-0&limit=1")
		Expect(s.sendFor(limitNotice + 2*limitWindow)).To(Equal(0))
		events := s.record().Limits["i-0"]
		Expect(maxExcess(events, everything)).To(Equal(0.0))
		Expect(len(events)).To(BeNumerically(">", limitWindow.Seconds()), "the endpoint gets requests within its limit")
	})

	// Guards against a limit that outlasts its endpoint's need, as few requests tell that it has ended.
	It("gets as many requests as others on every host once it no longer names a limit", func() {
		s := newSite(3)
		s.control("/trouble?id=i-0&limit=0")
		Expect(s.sendFor(limitNotice)).To(Equal(0))
		s.control("/trouble?id=i-0")
		Eventually(func() int {
			before := s.record().Arrivals["i-0"]
			Expect(s.sendFor(time.Second)).To(Equal(0))
			return s.record().Arrivals["i-0"] - before
		}).WithTimeout(20 * time.Second).Should(BeNumerically(">", 15))
	})

	// Guards against requests that wait for an endpoint which is known not to take them.
	It("has requests refused at once as not run, with a time to return, while no other endpoint serves them", func() {
		s := newSite(2)
		for _, id := range []string{"i-0", "i-1", "i-2"} {
			s.control("/trouble?id=" + id + "&limit=0")
		}
		s.sendFor(limitNotice)
		sent := time.Now()
		answer := s.request(0, "/call/x", "k1")
		Expect(answer.status).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(time.Since(sent)).To(BeNumerically("<", time.Second))
		Expect(s.record().Runs[answer.id]).To(Equal(0))
	})
})
