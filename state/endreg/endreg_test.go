package endreg_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/endreg"
)

func TestRegistry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "endreg")
}

var _ = Describe("Registry", func() {
	const born = 1000
	row := roster.Row{ID: "e", Address: "10.0.0.1:1", Backend: "plume", Version: "v1", State: roster.Live, StartMillis: born}
	restarted := row
	restarted.StartMillis = born + 1
	until := time.Now().Add(time.Minute)
	var d *endreg.Registry
	BeforeEach(func() {
		d = &endreg.Registry{}
		d.Put(row)
	})

	DescribeTable("keeps what an endpoint reported of itself until it restarts",
		func(change func()) {
			d.Get("e").RecordLeaving()
			d.Get("e").PauseUntil(until)
			change()
			d.Put(row)
			Expect(d.Get("e").Leaving()).To(BeTrue())
			Expect(d.Get("e").PausedUntil()).To(Equal(until))
			d.Put(restarted)
			Expect(d.Get("e").Leaving()).To(BeFalse())
			Expect(d.Get("e").Paused(time.Now())).To(BeFalse())
		},
		Entry("through newer rows", func() { d.Put(row) }),
		Entry("through a row that was missing", func() { d.Delete("e") }),
		Entry("through a list that lacked it", func() { d.Retain(map[endpt.ID]bool{}) }),
		Entry("through a row that was missing twice", func() {
			d.Delete("e")
			d.Put(row)
			d.Delete("e")
		}),
	)

	It("takes an endpoint that reported nothing as live when its row is back", func() {
		d.Delete("e")
		d.Put(row)
		Expect(d.Get("e").Leaving()).To(BeFalse())
	})

	It("accepts a peer's message about the listed incarnation, once, and about no other", func() {
		Expect(d.RecordLeaving("e", born-1)).To(BeFalse())
		Expect(d.RecordLeaving("unknown", born)).To(BeFalse())
		Expect(d.Get("e").Leaving()).To(BeFalse())
		Expect(d.RecordLeaving("e", born)).To(BeTrue())
		Expect(d.Get("e").Leaving()).To(BeTrue())
		Expect(d.RecordLeaving("e", born)).To(BeFalse())
	})

	It("does not shorten a pause", func() {
		d.Get("e").PauseUntil(until)
		d.Get("e").PauseUntil(time.Now().Add(time.Second))
		Expect(d.Get("e").PausedUntil()).To(Equal(until))
	})
})
