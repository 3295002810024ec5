package recent_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/state/recent"
)

func TestReports(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "recent")
}

var _ = Describe("Reports", func() {
	now := time.Unix(1000, 0)
	var r *recent.Reports[int]
	BeforeEach(func() {
		r = &recent.Reports[int]{MaxAge: time.Second}
		r.Put("a", 1, now)
		r.Put("b", 2, now.Add(500*time.Millisecond))
		r.Put("a", 3, now.Add(600*time.Millisecond))
	})
	sum := func(at time.Duration) (hosts, sum int) {
		hosts = r.Each(now.Add(at), func(n int, _ time.Duration) { sum += n })
		return hosts, sum
	}

	It("hold the last report of each peer until it expires", func() {
		hosts, n := sum(700 * time.Millisecond)
		Expect([]int{hosts, n}).To(Equal([]int{2, 5}))
		hosts, n = sum(1550 * time.Millisecond)
		Expect([]int{hosts, n}).To(Equal([]int{1, 3}))
		hosts, n = sum(time.Hour)
		Expect([]int{hosts, n}).To(Equal([]int{0, 0}))
	})

	It("pass on the age of each report", func() {
		ages := map[int]time.Duration{}
		r.Each(now.Add(700*time.Millisecond), func(n int, age time.Duration) { ages[n] = age })
		Expect(ages).To(Equal(map[int]time.Duration{2: 200 * time.Millisecond, 3: 100 * time.Millisecond}))
	})

	It("report whether a peer's report is younger than an age", func() {
		later := now.Add(700 * time.Millisecond)
		Expect(r.Fresh("a", 200*time.Millisecond, later)).To(BeTrue())
		Expect(r.Fresh("b", 200*time.Millisecond, later)).To(BeFalse())
		Expect(r.Fresh("c", time.Hour, later)).To(BeFalse())
	})

	It("remove a peer's report", func() {
		r.Delete("a")
		hosts, n := sum(700 * time.Millisecond)
		Expect([]int{hosts, n}).To(Equal([]int{1, 2}))
	})
})
