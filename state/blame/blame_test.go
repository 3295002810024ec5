package blame_test

import (
	"fmt"
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
	anyone   = func(uint64) bool { return true }
	nobody   = func(uint64) bool { return false }
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

	It("blocks a part at once after five crashes", func() {
		b := newBlame()
		now := crashEvery(b, []uint64{bad}, 5, 0, 0.15, 1)
		Expect(admitted(b, bad, now)).To(BeFalse())
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
			for hash, r := range b.Reports(at(now + 0.4)) {
				other.Merge(hash, r, at(now+0.4))
			}
			for hash, r := range other.Reports(at(now + 0.5)) {
				b.Merge(hash, r, at(now+0.5))
			}
			b.Decide(at(now + 0.6))
		}
		Expect(admitted(b, bad, 20)).To(BeFalse())
		Expect(admitted(b, common, 20)).To(BeTrue())
	})

	// Guards against refusing what all prompts share at a host that has seen no answer since it started, and at those that hear
	// of the crashes from it.
	It("blocks only the part of which fewer requests have a share, if crashes have it and another one in common", func() {
		b, other := newBlame(), newBlame()
		for i := range 9 {
			now := 0.6 * float64(i)
			b.Crashed(badParts, fmt.Sprint("e", i), 1, at(now))
			b.Crashed([]uint64{common, 7}, fmt.Sprint("e", i), 0.5, at(now))
			for hash, r := range b.Reports(at(now + 0.1)) {
				other.Merge(hash, r, at(now+0.1))
			}
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
	It("counts crashes at the same moment as one", func() {
		b := newBlame()
		for i := range 9 {
			b.Crashed([]uint64{bad}, fmt.Sprint("e", i), 1, at(0.02*float64(i)))
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
				for hash, r := range b.Reports(at(float64(i) + 0.4)) {
					to.Merge(hash, r, at(float64(i)+0.41))
				}
			}
		}
		for _, b := range hosts {
			b.Decide(at(2.5))
			b.Decide(at(4))
			Expect(admitted(b, bad, 4)).To(BeFalse())
		}
	})

	It("lets one request test a blocked part when that is due, and waits longer after each that crashes an endpoint", func() {
		b := newBlame()
		now := crashEvery(b, []uint64{bad}, 5, 0, 0.6, 1)
		tested := 0
		for t := now; t < now+300; t += 0.1 {
			if _, ok := b.Admit([]uint64{bad}, anyone, at(t)); ok {
				tested++
				b.Crashed([]uint64{bad}, fmt.Sprint("t", tested), 1, at(t+0.05))
				b.Decide(at(t + 0.06))
			}
		}
		Expect(tested).To(Equal(2), "after 30 and 150 s")
	})

	It("ends the block when a test is answered, here and at the hosts that hear of it", func() {
		b, other := newBlame(), newBlame()
		now := crashEvery(b, []uint64{bad}, 5, 0, 0.6, 1)
		other.Restore(bad, b.Ruling(bad))
		Expect(admitted(other, bad, now)).To(BeFalse())
		_, ok := b.Admit([]uint64{bad}, anyone, at(40))
		Expect(ok).To(BeTrue())
		Expect(b.Answered([]uint64{bad}, at(41))).To(ConsistOf(uint64(bad)))
		for hash, r := range b.Reports(at(41.4)) {
			other.Merge(hash, r, at(41.41))
		}
		Expect(admitted(b, bad, 42)).To(BeTrue())
		Expect(admitted(other, bad, 42)).To(BeTrue())
		// The other host's older word of the decision changes nothing.
		b.Restore(bad, ruling.Ruling{BlockedAt: at(2.4), ProbeAt: at(32.4), Strikes: 1})
		Expect(admitted(b, bad, 43)).To(BeTrue())
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
