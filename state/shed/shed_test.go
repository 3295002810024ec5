package shed_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/state/shed"
)

func TestShedder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shed")
}

var _ = Describe("Too many connections", func() {
	const limit = 4
	var (
		s   *shed.Shedder[string]
		now time.Time
	)

	BeforeEach(func() {
		now = time.Unix(0, 0)
		s = &shed.Shedder[string]{Max: func() int { return limit }, Now: func() time.Time { return now }}
	})

	// expectPicked expects connections to be picked in an order, and none after them.
	expectPicked := func(want ...string) {
		for _, name := range want {
			k, ok, over := s.Pick()
			Expect(over).To(BeTrue())
			Expect(ok).To(BeTrue())
			Expect(k).To(Equal(name))
		}
	}
	add := func(address string, names ...string) {
		for _, name := range names {
			s.Add(name, address)
			now = now.Add(time.Millisecond)
		}
	}

	It("are not there up to the limit", func() {
		add("a", "1", "2", "3", "4")
		_, ok, over := s.Pick()
		Expect(ok).To(BeFalse())
		Expect(over).To(BeFalse())
	})

	It("end with the idle ones, the longest wait first, then heads that stopped half-way, then callers who do not read", func() {
		add("a", "blocked", "half")
		add("b", "idle-1", "idle-2")
		add("c", "served-1", "served-2", "served-3")
		add("d", "served-4")
		for _, k := range []string{"served-1", "served-2", "served-3", "served-4"} {
			s.Serving(k)
		}
		s.Idle("idle-2")
		now = now.Add(time.Millisecond)
		s.Idle("idle-1")
		s.Blocked("blocked")
		now = now.Add(time.Second)
		expectPicked("idle-2", "idle-1", "half", "blocked")
		_, _, over := s.Pick()
		Expect(over).To(BeFalse())
	})

	It("leave requests in progress and young heads alone", func() {
		add("a", "1", "2")
		add("b", "3", "4")
		for _, k := range []string{"1", "2", "3", "4"} {
			s.Serving(k)
		}
		now = now.Add(time.Hour)
		add("c", "new")
		_, ok, over := s.Pick()
		Expect(over).To(BeTrue())
		Expect(ok).To(BeFalse())
	})

	It("from one address go at once", func() {
		add("crowd", "1", "2", "3", "4")
		add("other", "new")
		expectPicked("1")
	})

	It("are not fewer when a picked one goes on before it is closed", func() {
		add("a", "1", "2", "3", "4", "5")
		s.Idle("5")
		expectPicked("5")
		s.Receiving("5")
		s.Serving("5")
		expectPicked("1")
	})

	It("are fewer once a picked one has ended", func() {
		add("a", "1", "2", "3", "4", "5")
		s.Idle("5")
		expectPicked("5")
		Expect(s.Closing()).To(Equal(1))
		s.Remove("5")
		s.Remove("5")
		Expect(s.Closing()).To(Equal(0))
		_, _, over := s.Pick()
		Expect(over).To(BeFalse())
		add("a", "6")
		expectPicked("1")
	})
})
