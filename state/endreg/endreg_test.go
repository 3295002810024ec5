package endreg_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/pace"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/endreg"
)

func TestRegistry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "endreg")
}

// hourlySender is a warmer that lets this process send a cold endpoint one request an hour.
type hourlySender struct{ warmer }

func (hourlySender) Interval(*roster.Row) (time.Duration, bool) { return time.Hour, true }

var _ = Describe("Registry", func() {
	const startMillis = 1000
	row := roster.Row{ID: "e", Address: "10.0.0.1:1", Backend: "plume", Version: "v1", State: roster.Live, StartMillis: startMillis}
	restarted := row
	restarted.StartMillis = startMillis + 1
	until := time.Now().Add(time.Minute)
	var reg *endreg.Registry
	BeforeEach(func() {
		reg = &endreg.Registry{}
		reg.Put(row)
	})

	DescribeTable("keeps what an endpoint reported of itself until it restarts",
		func(change func()) {
			reg.Get("e").RecordLeaving()
			reg.Get("e").PauseUntil(until)
			change()
			reg.Put(row)
			Expect(reg.Get("e").Leaving()).To(BeTrue())
			Expect(reg.Get("e").PausedUntil()).To(Equal(until))
			reg.Put(restarted)
			Expect(reg.Get("e").Leaving()).To(BeFalse())
			Expect(reg.Get("e").Paused(time.Now())).To(BeFalse())
		},
		Entry("through newer rows", func() { reg.Put(row) }),
		Entry("through a row that was missing", func() { reg.Delete("e") }),
		Entry("through a list that lacked it", func() { reg.Retain(map[endpt.ID]bool{}) }),
		Entry("through a row that was missing twice", func() {
			reg.Delete("e")
			reg.Put(row)
			reg.Delete("e")
		}),
	)

	It("counts an endpoint that reported nothing as live when its row is listed again", func() {
		reg.Delete("e")
		reg.Put(row)
		Expect(reg.Get("e").Leaving()).To(BeFalse())
	})

	It("accepts a peer's message about the listed incarnation, once, and about no other", func() {
		Expect(reg.RecordLeaving("e", startMillis-1)).To(BeFalse())
		Expect(reg.RecordLeaving("unknown", startMillis)).To(BeFalse())
		Expect(reg.Get("e").Leaving()).To(BeFalse())
		Expect(reg.RecordLeaving("e", startMillis)).To(BeTrue())
		Expect(reg.Get("e").Leaving()).To(BeTrue())
		Expect(reg.RecordLeaving("e", startMillis)).To(BeFalse())
	})

	It("keeps the request limit that an endpoint named while its row was missing, and not for a later start", func() {
		reg.Get("e").Limit.Named(2, time.Now())
		reg.Delete("e")
		reg.Put(row)
		perSecond, limited := reg.Get("e").Limit.PerSecond()
		Expect(limited).To(BeTrue())
		Expect(perSecond).To(Equal(pace.Pace(2)))
		restarted := row
		restarted.StartMillis++
		reg.Put(restarted)
		_, limited = reg.Get("e").Limit.PerSecond()
		Expect(limited).To(BeFalse())
	})

	DescribeTable("spaces the requests to a cold endpoint across its restart",
		func(meanwhile func()) {
			reg.Warmer = hourlySender{}
			reg.Put(restarted)
			now := time.Now()
			reg.Get("e").Warmup.Announced(time.Hour, now)
			Expect(reg.Get("e").Warmup.Use(now)).To(BeTrue())
			meanwhile()
			reg.Put(row)
			reg.Get("e").Warmup.Announced(time.Hour, now)
			Expect(reg.Get("e").Warmup.Use(now)).To(BeFalse())
		},
		Entry("at once", func() {}),
		Entry("after its row was missing", func() { reg.Delete("e") }),
	)

	It("does not shorten a pause", func() {
		reg.Get("e").PauseUntil(until)
		reg.Get("e").PauseUntil(time.Now().Add(time.Second))
		Expect(reg.Get("e").PausedUntil()).To(Equal(until))
	})
})
