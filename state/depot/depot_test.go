package depot_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/depot"
)

func TestDepot(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "endreg")
}

var _ = Describe("Registry", func() {
	const born = 1000
	row := roster.Row{ID: "e", Address: "10.0.0.1:1", Backend: "plume", Version: "v1", State: roster.Live, Born: born}
	restarted := row
	restarted.Born = born + 1
	until := time.Now().Add(time.Minute)
	var d *depot.Depot
	BeforeEach(func() {
		d = &depot.Depot{}
		d.Put(row)
	})

	DescribeTable("keeps what an endpoint reported of itself until it restarts",
		func(change func()) {
			d.Get("e").Announce()
			d.Get("e").Rest(until)
			change()
			d.Put(row)
			Expect(d.Get("e").Leaving()).To(BeTrue())
			Expect(d.Get("e").RestUntil()).To(Equal(until))
			d.Put(restarted)
			Expect(d.Get("e").Leaving()).To(BeFalse())
			Expect(d.Get("e").Resting(time.Now())).To(BeFalse())
		},
		Entry("through newer rows", func() { d.Put(row) }),
		Entry("through a row that was missing", func() { d.Drop("e") }),
		Entry("through a list that lacked it", func() { d.Keep(map[endpt.ID]bool{}) }),
		Entry("through a row that was missing twice", func() {
			d.Drop("e")
			d.Put(row)
			d.Drop("e")
		}),
	)

	It("takes an endpoint that reported nothing as live when its row is back", func() {
		d.Drop("e")
		d.Put(row)
		Expect(d.Get("e").Leaving()).To(BeFalse())
	})

	It("accepts a peer's message about the listed incarnation, once, and about no other", func() {
		Expect(d.Announce("e", born-1)).To(BeFalse())
		Expect(d.Announce("unknown", born)).To(BeFalse())
		Expect(d.Get("e").Leaving()).To(BeFalse())
		Expect(d.Announce("e", born)).To(BeTrue())
		Expect(d.Get("e").Leaving()).To(BeTrue())
		Expect(d.Announce("e", born)).To(BeFalse())
	})

	It("does not shorten a pause", func() {
		d.Get("e").Rest(until)
		d.Get("e").Rest(time.Now().Add(time.Second))
		Expect(d.Get("e").RestUntil()).To(Equal(until))
	})
})
