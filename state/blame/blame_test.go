package blame_test

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/ruling"
	"github.com/dragonflyroute/dragonflyroute/state/blame"
)

func TestBlame(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "blame")
}

const (
	bad    = 0xbad
	common = 0xc0
	settle = time.Second
)

var (
	start    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	anyone   = func(uint64, time.Duration) bool { return true }
	nobody   = func(uint64, time.Duration) bool { return false }
	badParts = []uint64{common, bad}
)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func newBlame() *blame.Blame {
	return &blame.Blame{Settle: func() time.Duration { return settle }}
}

// crashEvery records n crashes of different endpoints with the parts, some seconds apart, and returns the time after them.
func crashEvery(b *blame.Blame, parts []uint64, n int, from, apart, weight float64) (now float64) {
	for i := range n {
		now = from + float64(i)*apart
		b.Crashed(parts, fmt.Sprintf("e-%d@%v", i, from), weight, at(now))
		b.Decide(at(now))
	}
	return now
}

func admitted(b *blame.Blame, hash uint64, now float64) bool {
	_, ok := b.Admit([]uint64{hash}, nobody, at(now))
	return ok
}

// tell has one host hear what another one knows, some milliseconds later.
func tell(from, to *blame.Blame, seconds float64) {
	for hash, r := range from.Reports(at(seconds)) {
		to.Merge(hash, r, at(seconds+0.01))
	}
}

var _ = Describe("Blame", func() {
	It("blocks a part after three crashes without an answer, once other hosts could have reported one", func() {
		b := newBlame()
		now := crashEvery(b, []uint64{bad}, 3, 0, 0.6, 1)
		Expect(admitted(b, bad, now)).To(BeTrue())
		b.Decide(at(now + 1.1))
		wait, ok := b.Admit([]uint64{bad}, nobody, at(now+1.1))
		Expect(ok).To(BeFalse())
		Expect(wait).To(BeNumerically("~", 30*time.Second, time.Second))
	})

	It("counts crashes at the same moment if each request had just begun to be answered", func() {
		b := newBlame()
		now := crashEvery(b, []uint64{bad}, 3, 0, 0.01, 1)
		b.Decide(at(now + 1.1))
		Expect(admitted(b, bad, now+1.1)).To(BeFalse())
	})

	It("counts the crashes of an endpoint that starts again, whose new row is not known yet", func() {
		b := newBlame()
		for i := range 3 {
			b.Crashed([]uint64{bad}, "e@1", 1, at(2*float64(i)))
			b.Crashed([]uint64{bad}, "e@1", 1, at(2*float64(i)+0.01))
			b.Decide(at(2 * float64(i)))
		}
		Expect(admitted(b, bad, 5)).To(BeTrue())
		b.Decide(at(5.5))
		Expect(admitted(b, bad, 5.5)).To(BeFalse())
	})

	// Guards against blocking what the requests that crash endpoints share with sound ones.
	It("does not block parts that were answered in between, by this host or another one", func() {
		b, other := newBlame(), newBlame()
		for i := range 20 {
			now := float64(i)
			b.Crashed(badParts, fmt.Sprint("e", i), 1, at(now))
			if i%2 == 0 {
				b.Answered([]uint64{common, 7}, at(now+0.3))
			} else {
				other.Answered([]uint64{common, 7}, at(now+0.3))
			}
			tell(b, other, now+0.4)
			tell(other, b, now+0.5)
			b.Decide(at(now + 0.6))
		}
		Expect(admitted(b, bad, 20)).To(BeFalse())
		Expect(admitted(b, common, 20)).To(BeTrue())
	})

	// Guards against blocking what sound requests share with crashing ones while so many endpoints are down that none of them
	// is answered.
	It("does not block parts that were answered before, while another part explains the crashes", func() {
		b, other := newBlame(), newBlame()
		b.Answered([]uint64{common}, at(0))
		other.Answered([]uint64{common, 7}, at(0))
		for i := range 30 {
			now := 5 + 0.2*float64(i)
			b.Crashed([]uint64{common, 7, bad}, fmt.Sprint("e", i), 1, at(now))
			b.Crashed([]uint64{common, 7}, fmt.Sprint("e", i), 0.5, at(now))
			tell(b, other, now+0.05)
			tell(other, b, now+0.1)
			b.Decide(at(now))
			other.Decide(at(now))
		}
		for _, b := range []*blame.Blame{b, other} {
			Expect(admitted(b, bad, 11)).To(BeFalse())
			Expect(admitted(b, common, 11)).To(BeTrue())
			Expect(admitted(b, 7, 11)).To(BeTrue())
		}
	})

	// Guards against blocking the part that all prompts share when endpoints crash before any of them was answered.
	It("blocks the deeper of two parts that were never answered, and the first one only if other requests with it crash endpoints", func() {
		b := newBlame()
		now := crashEvery(b, badParts, 4, 0, 0.6, 1) + 1.2
		b.Decide(at(now))
		Expect(admitted(b, bad, now)).To(BeFalse())
		Expect(admitted(b, common, now)).To(BeTrue())
		now = crashEvery(b, []uint64{common, 7}, 2, now+1, 0.6, 1)
		now = crashEvery(b, []uint64{common, 8}, 2, now+1, 0.6, 1) + 1.2
		b.Decide(at(now))
		Expect(admitted(b, common, now)).To(BeFalse())
		Expect(admitted(b, 8, now)).To(BeTrue())
	})

	// Guards against refusing what all prompts share at a host that has seen no answer since it started, and at those that hear
	// of the crashes from it.
	It("blocks only the part of which fewer requests have a share, if crashes have it and another one in common", func() {
		b, other := newBlame(), newBlame()
		for i := range 9 {
			now := 0.6 * float64(i)
			b.Crashed(badParts, fmt.Sprint("e", i), 1, at(now))
			b.Crashed([]uint64{common, 7}, fmt.Sprint("e", i), 0.5, at(now))
			tell(b, other, now+0.1)
			b.Decide(at(now + 0.2))
			other.Decide(at(now + 0.2))
		}
		for _, host := range []*blame.Blame{b, other} {
			Expect(admitted(host, bad, 6)).To(BeFalse())
			Expect(admitted(host, common, 6)).To(BeTrue())
			Expect(admitted(host, 7, 6)).To(BeTrue())
		}
	})

	// Guards against excusing a first part that itself crashes endpoints.
	It("blocks a first part after some more crashes, whatever follows it", func() {
		b := newBlame()
		for i := range 7 {
			b.Crashed([]uint64{bad, uint64(1 + i%3)}, fmt.Sprint("e", i), 1, at(0.6*float64(i)))
			b.Decide(at(0.6 * float64(i)))
		}
		b.Decide(at(6))
		Expect(admitted(b, bad, 6)).To(BeFalse())
	})

	// Guards against endpoints that fail together for another reason.
	It("counts crashes at the same moment as one if the requests had not begun to be answered", func() {
		b := newBlame()
		for i := range 9 {
			b.Crashed([]uint64{bad}, fmt.Sprint("e", i), 0.5, at(0.02*float64(i)))
		}
		b.Decide(at(0.2))
		b.Decide(at(5))
		Expect(admitted(b, bad, 5)).To(BeTrue())
	})

	It("weighs requests that had not begun to be answered by half, and ignores those of lately answered parts", func() {
		b := newBlame()
		now := crashEvery(b, []uint64{bad}, 4, 0, 0.6, 0.5)
		b.Decide(at(now + 5))
		Expect(admitted(b, bad, now+5)).To(BeTrue())
		b.Answered([]uint64{7}, at(10))
		now = crashEvery(b, []uint64{7}, 9, 11, 0.6, 0.5)
		b.Decide(at(now + 5))
		Expect(admitted(b, 7, now+5)).To(BeTrue())
	})

	It("blocks a part that was sound before", func() {
		b := newBlame()
		for i := range 100 {
			b.Answered([]uint64{bad}, at(0.1*float64(i)))
		}
		now := crashEvery(b, []uint64{bad}, 12, 10, 0.6, 1)
		b.Decide(at(now + 1.1))
		Expect(admitted(b, bad, now+1.1)).To(BeFalse())
	})

	It("tells other hosts of crashes, so that three crashes at three hosts count", func() {
		hosts := []*blame.Blame{newBlame(), newBlame(), newBlame()}
		for i, b := range hosts {
			b.Crashed([]uint64{bad}, fmt.Sprint("e", i), 1, at(float64(i)))
			for _, to := range hosts {
				tell(b, to, float64(i)+0.4)
			}
		}
		for _, b := range hosts {
			b.Decide(at(2.5))
			b.Decide(at(4))
			Expect(admitted(b, bad, 4)).To(BeFalse())
		}
	})

	It("lets one request test a blocked part when that is due, and waits longer after each, whatever came of it", func() {
		b := newBlame()
		now := crashEvery(b, []uint64{bad}, 5, 0, 0.6, 1) + 1.2
		b.Decide(at(now))
		tested := 0
		for t := now; t < now+200; t += 0.1 {
			if parts, _, ok := b.Begin([]uint64{common, bad}, anyone, at(t)); ok {
				Expect(parts).To(ConsistOf(uint64(bad)))
				tested++
			}
		}
		Expect(tested).To(Equal(2), "after 30 and 90 s")
	})

	It("does not use up a test for a request that is refused for another part", func() {
		b := newBlame()
		b.Restore(bad, ruling.Ruling{BlockedAt: at(0), ProbeAt: at(100), Strikes: 1}, at(0))
		b.Restore(common, ruling.Ruling{BlockedAt: at(0), ProbeAt: at(1), Strikes: 1}, at(0))
		_, _, ok := b.Begin([]uint64{common, bad}, anyone, at(2))
		Expect(ok).To(BeFalse())
		tested, _, ok := b.Begin([]uint64{common}, anyone, at(2))
		Expect(ok).To(BeTrue())
		Expect(tested).To(ConsistOf(uint64(common)))
	})

	It("ends the block when a test is answered, here and at the hosts that hear of it", func() {
		b, other, late := newBlame(), newBlame(), newBlame()
		now := crashEvery(b, []uint64{bad}, 5, 0, 0.6, 1) + 1.2
		b.Decide(at(now))
		other.Restore(bad, b.Ruling(bad), at(now))
		late.Restore(bad, b.Ruling(bad), at(now))
		Expect(admitted(other, bad, now)).To(BeFalse())
		_, _, ok := b.Begin([]uint64{bad}, anyone, at(40))
		Expect(ok).To(BeTrue())
		Expect(b.Answered([]uint64{bad}, at(41))).To(ConsistOf(uint64(bad)))
		tell(b, other, 41.4)
		Expect(admitted(b, bad, 42)).To(BeTrue())
		Expect(admitted(other, bad, 42)).To(BeTrue())

		// A host that missed it tells its older decision minutes later, which changes nothing and is answered.
		for _, b := range []*blame.Blame{b, other} {
			b.Decide(at(300))
		}
		tell(late, other, 300)
		Expect(admitted(other, bad, 300)).To(BeTrue())
		tell(other, late, 301)
		Expect(admitted(late, bad, 301)).To(BeTrue())
	})

	// Guards against crashes from before an answer that block the part again.
	It("ends the block when its row is deleted, for good", func() {
		b := newBlame()
		now := crashEvery(b, []uint64{bad}, 6, 0, 0.6, 1) + 1.2
		b.Decide(at(now))
		b.Lift(bad, at(now+1))
		Expect(admitted(b, bad, now+1)).To(BeFalse(), "the store has not had the decision")
		b.Restore(bad, b.Ruling(bad), at(now+2))
		b.Lift(bad, at(now+3))
		b.Decide(at(now + 3))
		b.Decide(at(now + 6))
		Expect(admitted(b, bad, now+6)).To(BeTrue())
	})

	It("does not adopt a decision on a part that it has answered since the last crash", func() {
		b := newBlame()
		b.Answered([]uint64{common}, at(5))
		b.Restore(common, ruling.Ruling{BlockedAt: at(6), ProbeAt: at(36), CrashedAt: at(4), Strikes: 1}, at(6))
		Expect(admitted(b, common, 7)).To(BeTrue())
	})

	// Guards against an odd row of a decision that keeps the process busy without end, with all requests waiting.
	DescribeTable("decides on a part at once, whatever number of decisions is stored for it",
		func(strikes int) {
			b := newBlame()
			b.Restore(bad, ruling.Ruling{BlockedAt: at(0), ProbeAt: at(1), Strikes: strikes}, at(0))
			decided := make(chan struct{})
			var g sync.WaitGroup
			g.Go(func() {
				defer GinkgoRecover()
				_, _, ok := b.Begin([]uint64{bad}, anyone, at(2))
				Expect(ok).To(BeTrue())
				b.Decide(at(2.2))
				close(decided)
			})
			Eventually(decided, "2s").Should(BeClosed())
			Expect(admitted(b, bad, 3)).To(BeFalse())
		},
		Entry("a huge one", math.MaxInt), Entry("a negative one", -1),
	)

	It("bounds what it remembers and reports", func() {
		b := newBlame()
		for i := range 5000 {
			b.Crashed([]uint64{uint64(i)}, "e", 1, at(0.0001*float64(i)))
			b.Answered([]uint64{uint64(1_000_000 + i)}, at(0.0001*float64(i)))
		}
		Expect(len(b.Reports(at(1)))).To(BeNumerically("<=", 64))
	})

	It("forgets parts that are no longer suspected", func() {
		b := newBlame()
		b.Crashed(badParts, "e", 1, at(0))
		Expect(b.Reports(at(1))).To(HaveLen(2))
		Expect(b.Reports(at(10))).To(BeEmpty())
		b.Decide(at(200))
		b.Decide(at(210))
		Expect(b.Reports(at(1))).To(BeEmpty())
	})
})
