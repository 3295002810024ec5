package endreg_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/endreg"
)

// warmer limits the requests to cold endpoints, which are cold for a second.
type warmer struct{}

func (warmer) Time(label.Name) time.Duration              { return time.Second }
func (warmer) Interval(*roster.Row) (time.Duration, bool) { return 0, false }

func evacuated(centres ...centre.ID) map[centre.ID]bool {
	out := map[centre.ID]bool{}
	for _, in := range centres {
		out[in] = true
	}
	return out
}

var _ = Describe("An evacuation", func() {
	now := time.Unix(1000, 0)
	var reg *endreg.Registry
	BeforeEach(func() {
		reg = &endreg.Registry{Warmer: warmer{}}
		reg.Put(roster.Row{ID: "a", Address: "a", DataCentre: "east"})
		reg.Put(roster.Row{ID: "b", Address: "b", DataCentre: "west"})
	})

	It("holds for the endpoints of its data centre, also for those that start later", func() {
		reg.SetEvacuated(evacuated("east"), now)
		reg.Put(roster.Row{ID: "c", Address: "c", DataCentre: "east"})
		reg.Put(roster.Row{ID: "a", Address: "a", DataCentre: "east", StartMillis: 2})
		Expect(reg.Get("a").Evacuated()).To(BeTrue())
		Expect(reg.Get("b").Evacuated()).To(BeFalse())
		Expect(reg.Get("c").Evacuated()).To(BeTrue())
		Expect(reg.Evacuated("east")).To(BeTrue())
		Expect(reg.Evacuated("west")).To(BeFalse())
	})

	It("holds for an endpoint whose row names its data centre late", func() {
		reg.SetEvacuated(evacuated("east"), now)
		reg.Put(roster.Row{ID: "b", Address: "b", DataCentre: "east"})
		Expect(reg.Get("b").Evacuated()).To(BeTrue())
		reg.Put(roster.Row{ID: "b", Address: "b", DataCentre: "west"})
		Expect(reg.Get("b").Evacuated()).To(BeFalse())
	})

	// Guards against all hosts sending at once to endpoints that are cold after an evacuation.
	It("leaves the endpoints cold at its end, and only at its end", func() {
		reg.SetEvacuated(evacuated("east"), now)
		reg.SetEvacuated(evacuated("east", "nowhere"), now)
		reg.SetEvacuated(evacuated(), now.Add(time.Minute))
		Expect(reg.Get("a").Evacuated()).To(BeFalse())
		Expect(reg.Get("a").Warmup.Cold(now.Add(time.Minute))).To(BeTrue())
		Expect(reg.Get("b").Warmup.Cold(now.Add(time.Minute))).To(BeFalse())
		Expect(reg.Get("a").Warmup.Cold(now.Add(time.Minute + time.Second))).To(BeFalse())
	})

	It("and what is known of a cold endpoint outlast a while without its row", func() {
		reg.Get("a").Warmup.Refused(now)
		reg.Delete("a")
		reg.SetEvacuated(evacuated("east"), now)
		reg.Put(roster.Row{ID: "a", Address: "a", DataCentre: "east"})
		Expect(reg.Get("a").Evacuated()).To(BeTrue())
		Expect(reg.Get("a").Warmup.Cold(now)).To(BeTrue())
		reg.Delete("a")
		reg.Put(roster.Row{ID: "a", Address: "a", DataCentre: "east", StartMillis: 9})
		Expect(reg.Get("a").Warmup.Cold(now)).To(BeFalse())
	})
})
