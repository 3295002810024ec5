package limits_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
})
