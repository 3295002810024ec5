package warmer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/warmer"
	"github.com/dragonflyroute/dragonflyroute/protocol/back"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/warmup"
)

func TestWarmer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "warmer")
}

const (
	coldRate = 16
	// mostPerSecond is what a cold endpoint bears in one second: one and a half times its rate and 5 more.
	mostPerSecond = 1.5*coldRate + 5
)

type policy struct{ backend back.Backend }

func (p policy) Backend(label.Name) *back.Backend { return &p.backend }

// fleet is many hosts with a view of the list each, on a virtual clock.
type fleet struct {
	now     time.Time
	warmers []*warmer.Warmer
	// views holds the list as each host knows it, nil for a host that does not know it.
	views [][]beat.Heartbeat
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	var all []beat.Heartbeat
	for i := range n {
		all = append(all, beat.Heartbeat{Host: host.ID(fmt.Sprintf("h%d", i)), Weight: []float64{0.192, 0.8}[i%2]})
	}
	for i := range n {
		f.views = append(f.views, all)
		f.warmers = append(f.warmers, &warmer.Warmer{
			Self:   all[i].Host,
			Listed: func() ([]beat.Heartbeat, bool) { return f.views[i], f.views[i] != nil },
			Policy: policy{back.Backend{ColdTime: 3 * time.Second, ColdRate: coldRate}},
			Now:    func() time.Time { return f.now },
		})
	}
	return f
}

// play has every host send to a cold endpoint whenever it may, and returns the times of the requests.
func (f *fleet) play(id string, lasts time.Duration) (sent []time.Time) {
	row := &roster.Row{ID: endpt.ID(id)}
	warmups := make([]*warmup.Warmup, len(f.warmers))
	for i, w := range f.warmers {
		warmups[i] = &warmup.Warmup{Time: func() time.Duration { return w.Time("p") }, Interval: func() (time.Duration, bool) { return w.Interval(row) }}
		warmups[i].Announced(time.Hour, f.now)
	}
	for end := f.now.Add(lasts); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		for _, w := range warmups {
			if w.HeldUntil(f.now).After(f.now) {
				continue
			}
			if w.Use(f.now) {
				sent = append(sent, f.now)
			}
		}
	}
	return sent
}

// busiest returns the most requests in any one second.
func busiest(sent []time.Time) int {
	most, first := 0, 0
	for i, at := range sent {
		for at.Sub(sent[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

var _ = Describe("A cold endpoint under many hosts", func() {
	// Guards against 81 hosts that each send one request in the same second.
	DescribeTable("gets no more requests than it bears, and most of them",
		func(hosts int) {
			sent := newFleet(hosts).play("e", 10*time.Second)
			Expect(busiest(sent)).To(BeNumerically("<=", mostPerSecond))
			Expect(len(sent)).To(BeNumerically(">=", 10*coldRate*3/4))
		},
		Entry("one host", 1), Entry("7 hosts", 7), Entry("81 hosts", 81), Entry("295 hosts", 295), Entry("1,100 hosts", 1100),
	)

	It("gets no more while hosts know lists of different ages", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for e := range 20 {
			f := newFleet(81)
			full := f.views[0]
			for i := range f.views {
				// A host knows itself and all but some of those that joined last.
				f.views[i] = slices.Concat(full[:81-random.IntN(8)], full[i:i+1])
				f.views[i] = slices.CompactFunc(f.views[i], func(a, b beat.Heartbeat) bool { return a.Host == b.Host })
			}
			Expect(busiest(f.play(fmt.Sprintf("e%d", e), 5*time.Second))).To(BeNumerically("<=", mostPerSecond))
		}
	})

	It("gets none from hosts that do not know the list, as after the start of all hosts at once", func() {
		f := newFleet(81)
		for i := range f.views {
			f.views[i] = nil
		}
		Expect(f.play("e", 2*time.Second)).To(BeEmpty())
	})

	// Guards against small hosts that spend their time on this when all endpoints of a data centre are cold.
	It("costs a host one look at the list for all endpoints", func() {
		f, looks := newFleet(1100), 0
		w := f.warmers[0]
		w.Listed = func() ([]beat.Heartbeat, bool) {
			looks++
			return f.views[0], true
		}
		for e := range 5_500 {
			w.Interval(&roster.Row{ID: endpt.ID(fmt.Sprintf("e%d", e))})
		}
		Expect(looks).To(Equal(1))
	})

	It("gets next to nothing if its rate is next to nothing", func() {
		f := newFleet(1)
		f.warmers[0].Policy = policy{back.Backend{ColdTime: time.Second, ColdRate: 1e-12}}
		interval, ok := f.warmers[0].Interval(&roster.Row{ID: "e"})
		Expect(ok).To(BeTrue())
		Expect(interval).To(Equal(time.Hour))
	})

	// Guards against a fleet that can't be served after all its endpoints were restarted.
	It("leaves room for the usual load when all endpoints are cold", func() {
		f := newFleet(81)
		served := map[int]float64{}
		for e := range 60 {
			row := &roster.Row{ID: endpt.ID(fmt.Sprintf("e%d", e))}
			for i, w := range f.warmers {
				if interval, ok := w.Interval(row); ok {
					served[i] += 1 / interval.Seconds()
				}
			}
		}
		sum := 0.0
		for _, perSecond := range served {
			sum += perSecond
		}
		Expect(sum).To(BeNumerically("~", 60*coldRate, 1))
		Expect(len(served)).To(BeNumerically(">", 60))
	})
})

var _ = Describe("An endpoint of a back end without a cold rate", func() {
	It("is never limited", func() {
		w := &warmer.Warmer{Self: "h", Policy: policy{}, Now: time.Now}
		Expect(w.Time("p")).To(BeZero())
		_, ok := w.Interval(&roster.Row{ID: "e"})
		Expect(ok).To(BeTrue())
	})
})
