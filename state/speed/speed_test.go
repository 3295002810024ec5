package speed_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/linear"
	"github.com/dragonflyroute/dragonflyroute/state/speed"
)

func TestSpeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "speed")
}

var _ = Describe("Speed", func() {
	const rate = 100_000.0
	sample := func(s *speed.Speed, n int, slower float64) {
		for i := range n {
			tokens := int64(2_000 + 10_000*(i%2))
			s.Add("plume", tokens, 30*time.Millisecond+time.Duration(slower*float64(tokens)/rate*float64(time.Second)))
		}
	}

	It("estimates the rate after few requests, as one host of many gets few", func() {
		s := &speed.Speed{}
		sample(s, 20, 1)
		got, known := s.Rate("plume")
		Expect(known).To(BeTrue())
		Expect(got).To(BeNumerically("~", rate, rate/20))
	})

	It("lets the many samples of other hosts outweigh its own few", func() {
		s := &speed.Speed{}
		sample(s, 20, 5)
		other := &speed.Speed{}
		for range 30 {
			sample(other, 100, 1)
		}
		others := other.Own()["plume"]
		for range 30 {
			others = others.Plus(other.Own()["plume"])
		}
		s.SetOthers(map[label.Name]linear.Fit{"plume": others})
		got, _ := s.Rate("plume")
		Expect(got).To(BeNumerically("~", rate, rate/20))
	})

	It("estimates the rate from a few requests of each of many hosts", func() {
		var others linear.Fit
		for range 20 {
			host := &speed.Speed{}
			sample(host, 2, 1)
			others = others.Plus(host.Own()["plume"])
		}
		s := &speed.Speed{}
		s.SetOthers(map[label.Name]linear.Fit{"plume": others})
		got, known := s.Rate("plume")
		Expect(known).To(BeTrue())
		Expect(got).To(BeNumerically("~", rate, rate/20))
	})

	It("reports the rate as unknown before the first sample", func() {
		_, known := (&speed.Speed{}).Rate("plume")
		Expect(known).To(BeFalse())
	})
})
