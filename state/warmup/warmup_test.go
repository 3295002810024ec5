package warmup_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/cold"
	"github.com/dragonflyroute/dragonflyroute/state/warmup"
)

func TestWarmup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "warmup")
}

// second returns a time that many seconds after the start of the test's clock.
func second(n float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(n * float64(time.Second)))
}

const coldTime = 3 * time.Second

var _ = Describe("A cold endpoint", func() {
	var w *warmup.Warmup
	sender := true

	BeforeEach(func() {
		sender = true
		w = &warmup.Warmup{
			Time:     func() time.Duration { return coldTime },
			Interval: func() (time.Duration, bool) { return 250 * time.Millisecond, sender },
		}
	})

	It("is warm until something else is learned, and after the announced time", func() {
		Expect(w.Cold(second(0))).To(BeFalse())
		w.Announced(2*time.Second, second(1))
		Expect(w.Cold(second(2.9))).To(BeTrue())
		Expect(w.Cold(second(3))).To(BeFalse())
	})

	It("gets a sender's requests at intervals, and none of another host", func() {
		w.Announced(2*time.Second, second(1))
		Expect(w.HeldUntil(second(1))).To(BeZero())
		Expect(w.Use(second(1))).To(BeTrue())
		Expect(w.Use(second(1.2))).To(BeFalse())
		Expect(w.HeldUntil(second(1.2))).To(Equal(second(1.25)))
		Expect(w.Use(second(1.25))).To(BeTrue())
		sender = false
		Expect(w.HeldUntil(second(2))).To(Equal(second(3)))
		Expect(w.Use(second(2))).To(BeFalse())
		Expect(w.Use(second(3))).To(BeTrue())
	})

	// Guards against a sender's part being used once more when the row shows the restart that was suspected before.
	It("gets no request sooner when its next process is listed", func() {
		w.Refused(second(1))
		Expect(w.Use(second(1))).To(BeTrue())
		next := &warmup.Warmup{Time: w.Time, Interval: w.Interval}
		next.Follow(w)
		next.Announced(2*time.Second, second(1.1))
		Expect(next.Use(second(1.1))).To(BeFalse())
		Expect(next.Use(second(1.25))).To(BeTrue())
	})

	// Guards against a restart that no row shows yet: the endpoint was down, and all hosts sent to it when it came back.
	It("is suspected while it accepts no connections, and cold for its time after the first answer", func() {
		Expect(w.Refused(second(1))).To(BeTrue())
		Expect(w.Refused(second(2))).To(BeFalse())
		Expect(w.Cold(second(9))).To(BeTrue())
		w.Answered(second(9))
		Expect(w.Cold(second(11.9))).To(BeTrue())
		Expect(w.Cold(second(12))).To(BeFalse())
		w.Answered(second(13))
		Expect(w.Cold(second(13))).To(BeFalse())
	})

	// Guards against a host that was cut off and has all hosts spare all endpoints once it is back.
	It("is not suspected by a process that no endpoint answers", func() {
		inTouch := false
		w.InTouch = func(time.Time) bool { return inTouch }
		Expect(w.Refused(second(1))).To(BeFalse())
		Expect(w.Cold(second(1))).To(BeFalse())
		inTouch = true
		Expect(w.Refused(second(2))).To(BeTrue())
	})

	It("is not suspected for ever if nothing more is learned", func() {
		w.Refused(second(1))
		Expect(w.Cold(second(60))).To(BeFalse())
	})

	It("is known from another host's report unless something newer is known, which is not reported as this process's own", func() {
		w.Refused(second(1))
		r, ok := w.Report(second(2))
		Expect(ok).To(BeTrue())
		Expect(r.Suspected).To(BeTrue())

		other := &warmup.Warmup{Time: w.Time, Interval: w.Interval}
		Expect(other.Merge(r, second(2))).To(BeTrue())
		Expect(other.Cold(second(2))).To(BeTrue())
		_, ok = other.Report(second(2))
		Expect(ok).To(BeFalse())

		w.Answered(second(4))
		Expect(w.Merge(r, second(4))).To(BeFalse())
		r, _ = w.Report(second(5))
		other.Merge(r, second(5))
		Expect(other.Cold(second(6.9))).To(BeTrue())
		Expect(other.Cold(second(7))).To(BeFalse())
	})

	It("is reported for a while after it is warm, so that other hosts learn that it answers", func() {
		w.Refused(second(1))
		w.Answered(second(2))
		Expect(w.Cold(second(6))).To(BeFalse())
		r, ok := w.Report(second(6))
		Expect(ok).To(BeTrue())
		Expect(r).To(Equal(cold.Report{Age: 4 * time.Second}))
		_, ok = w.Report(second(13))
		Expect(ok).To(BeFalse())
	})

	// Guards against a process that stops reporting what it found as soon as its own report comes back to it.
	It("stays this process's own finding when the report of it comes back later", func() {
		w.Refused(second(1))
		r, _ := w.Report(second(2))
		Expect(w.Merge(r, second(2.1))).To(BeFalse())
		again, ok := w.Report(second(3))
		Expect(ok).To(BeTrue())
		Expect(again.Age).To(Equal(2 * time.Second))

		w.Answered(second(4))
		r, _ = w.Report(second(5))
		w.Merge(r, second(5.1))
		Expect(w.Cold(second(7))).To(BeFalse())
		_, ok = w.Report(second(7))
		Expect(ok).To(BeTrue())
	})

	It("limits nothing where its back end sets no time", func() {
		w.Time = nil
		w.Announced(time.Minute, second(1))
		Expect(w.Refused(second(1))).To(BeFalse())
		Expect(w.Cold(second(2))).To(BeFalse())
		Expect(w.Use(second(2))).To(BeTrue())
		Expect(w.Use(second(2))).To(BeTrue())
	})
})
