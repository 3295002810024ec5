package outage_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/state/outage"
)

func TestDetector(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outage")
}

var _ = Describe("Detector", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	// watch returns a detector, and the number of ends that it has told of.
	watch := func() (*outage.Detector, *int) {
		d, ends := &outage.Detector{}, 0
		d.OnEnd(func() { ends++ })
		return d, &ends
	}

	It("tells of the end once a call is answered that was sent after one without an answer", func() {
		d, ends := watch()
		d.Answered(at(0))
		d.Lost(at(100))
		Expect(*ends).To(BeZero())
		d.Answered(at(1200))
		Expect(*ends).To(Equal(1))
	})

	It("tells of no end while all calls are answered", func() {
		d, ends := watch()
		for ms := range 10 {
			d.Answered(at(ms))
		}
		Expect(*ends).To(BeZero())
	})

	// Guards against an outage's end that is missed as the later call is answered before the earlier one is given up.
	It("tells of the end though the lost call is given up after a later one was answered", func() {
		d, ends := watch()
		d.Answered(at(900))
		d.Lost(at(100))
		Expect(*ends).To(Equal(1))
	})

	It("does not take the late answer to an earlier call for the end", func() {
		d, ends := watch()
		d.Lost(at(500))
		d.Answered(at(100))
		Expect(*ends).To(BeZero())
	})

	It("tells of each outage once, and nobody who has left", func() {
		d, ends := watch()
		left := 0
		d.OnEnd(func() { left++ })()
		d.Lost(at(100))
		d.Answered(at(200))
		d.Answered(at(300))
		d.OnEnd(func() { *ends += 10 })
		d.Lost(at(400))
		d.Answered(at(500))
		Expect(*ends).To(Equal(11))
		Expect(left).To(BeZero())
	})
})
