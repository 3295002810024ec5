package limits_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/notice"
	"github.com/dragonflyroute/dragonflyroute/protocol/pace"
	"github.com/dragonflyroute/dragonflyroute/state/limits"
)

func TestLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limits")
}

// second returns a time that many seconds after the start of the test's clock.
func second(n float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(n * float64(time.Second)))
}

var _ = Describe("A request limit", func() {
	var l *limits.Limit
	inForce := func() pace.Pace {
		perSecond, ok := l.PerSecond()
		if !ok {
			return -1
		}
		return perSecond
	}

	BeforeEach(func() { l = &limits.Limit{} })

	It("is in force from the first answer that names it, and changes with a later one", func() {
		Expect(inForce()).To(Equal(pace.Pace(-1)))
		Expect(l.Named(2, second(1))).To(BeTrue())
		Expect(l.Named(2, second(2))).To(BeFalse())
		Expect(l.Named(0.5, second(3))).To(BeTrue())
		Expect(inForce()).To(Equal(pace.Pace(0.5)))
	})

	It("ends with an answer without it to a request sent after it was last named", func() {
		l.Named(2, second(3))
		Expect(l.NotNamed(second(2))).To(BeFalse())
		Expect(inForce()).To(Equal(pace.Pace(2)))
		Expect(l.NotNamed(second(4))).To(BeTrue())
		Expect(inForce()).To(Equal(pace.Pace(-1)))
	})

	It("takes another host's report unless it knows something newer, and does not report it as its own", func() {
		l.Named(2, second(5))
		Expect(l.Merge(notice.Notice{InForce: true, PerSecond: 9, Age: 2 * time.Second}, second(6))).To(BeFalse())
		_, _, firstHand := l.Notice(second(6))
		Expect(firstHand).To(BeTrue())
		Expect(l.Merge(notice.Notice{Age: time.Second}, second(8))).To(BeTrue())
		Expect(inForce()).To(Equal(pace.Pace(-1)))
		n, known, firstHand := l.Notice(second(9))
		Expect(known).To(BeTrue())
		Expect(firstHand).To(BeFalse())
		Expect(n.Age).To(Equal(2 * time.Second))
	})

	It("is nothing to report of an endpoint that has never named one", func() {
		l.NotNamed(second(1))
		_, known, _ := l.Notice(second(2))
		Expect(known).To(BeFalse())
		l.Named(2, second(3))
		l.NotNamed(second(4))
		_, known, _ = l.Notice(second(5))
		Expect(known).To(BeTrue())
	})

	It("lets one request pass for each permit before it expires, and all without a limit", func() {
		Expect(l.UsePermit(second(0))).To(BeTrue())
		l.Named(2, second(1))
		Expect(l.UsePermit(second(1))).To(BeFalse())
		l.AddPermit(second(2))
		l.AddPermit(second(3))
		Expect(l.UsePermit(second(2))).To(BeTrue())
		Expect(l.UsePermit(second(2))).To(BeFalse())
	})

	It("is held until permits may be had again, or the limit changes", func() {
		l.Named(2, second(1))
		l.HoldUntil(second(9))
		l.Named(2, second(2))
		Expect(l.HeldUntil()).To(Equal(second(9)))
		l.Named(4, second(3))
		Expect(l.HeldUntil()).To(BeZero())
	})
})
