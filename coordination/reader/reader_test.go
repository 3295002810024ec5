package reader_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/reader"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/roles"
)

func TestReader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reader")
}

func hosts(centres, perCentre int) []beat.Heartbeat {
	var out []beat.Heartbeat
	for i := range perCentre * centres {
		id := fmt.Sprintf("h-%d", i)
		out = append(out, beat.Heartbeat{Host: host.ID(id), PeerAddress: id, DataCentre: centre.ID(fmt.Sprint("dc-", i%centres)), Weight: []float64{0.192, 0.8}[i%7%2]})
	}
	return out
}

var _ = Describe("Reader", func() {
	It("selects the same few readers in each data centre on all hosts, independent of the order of the hosts", func() {
		for _, perCentre := range []int{3, 59, 157} {
			live := hosts(5, perCentre)
			readers, primaries := map[host.ID]bool{}, 0
			for i, h := range live {
				r := reader.Reader{Self: h.Host, DataCentre: h.DataCentre}
				rotated := append(append([]beat.Heartbeat{}, live[i:]...), live[:i]...)
				if r.Role(rotated) != roles.Other {
					readers[h.Host] = true
				}
				if r.Role(rotated) == roles.Primary {
					primaries++
				}
				for _, upstream := range r.Upstreams(rotated) {
					Expect(upstream.DataCentre).To(Equal(h.DataCentre))
				}
			}
			Expect(primaries).To(Equal(5))
			Expect(len(readers)).To(And(BeNumerically(">=", 10), BeNumerically("<=", 5*(2+perCentre/48))))
		}
	})

	It("distributes the hosts over their readers", func() {
		live := hosts(1, 157)
		queriedBy := map[host.ID]int{}
		for _, h := range live {
			r := reader.Reader{Self: h.Host, DataCentre: h.DataCentre}
			if r.Role(live) == roles.Other {
				queriedBy[r.Upstreams(live)[0].Host]++
			}
		}
		Expect(queriedBy).To(HaveLen(5))
		for _, n := range queriedBy {
			Expect(n).To(BeNumerically("<", 2*157/5))
		}
	})

	It("returns the primary reader of each other data centre", func() {
		live := hosts(5, 59)
		primaries := reader.Reader{Self: "h-0", DataCentre: "dc-0"}.Primaries(live)
		Expect(primaries).To(HaveLen(4))
		for _, h := range primaries {
			Expect(h.DataCentre).NotTo(Equal(centre.ID("dc-0")))
			Expect(reader.Reader{Self: h.Host, DataCentre: h.DataCentre}.Readers(h.DataCentre, live)[0].Host).To(Equal(h.Host))
		}
	})

	It("queries no host when it is alone in its data centre", func() {
		r := reader.Reader{Self: "h-0", DataCentre: "dc-0"}
		Expect(r.Upstreams(hosts(1, 1))).To(BeEmpty())
		Expect(r.Role(hosts(1, 1))).To(Equal(roles.Primary))
	})
})
