package stats_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/cold"
	"github.com/dragonflyroute/dragonflyroute/protocol/notice"
	"github.com/dragonflyroute/dragonflyroute/protocol/stats"
)

func TestStats(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stats")
}

// limited returns statistics of one host with a report on endpoint "e".
func limited(n notice.Notice) *stats.Stats {
	return &stats.Stats{Hosts: 1, RequestLimits: map[string]notice.Notice{"e": n}}
}

var _ = Describe("The sum of hosts' statistics", func() {
	old := notice.Notice{StartMillis: 7, InForce: true, PerSecond: 2, Age: 3 * time.Second}
	newer := notice.Notice{StartMillis: 7, Age: time.Second}
	restarted := notice.Notice{StartMillis: 8, InForce: true, PerSecond: 5, Age: 9 * time.Second}

	DescribeTable("has the newest report on an endpoint's request limit",
		func(parts []notice.Notice, want notice.Notice) {
			sum := &stats.Stats{}
			for _, n := range parts {
				sum.Add(limited(n))
			}
			Expect(sum.RequestLimits["e"]).To(Equal(want))
		},
		Entry("the newer one first", []notice.Notice{newer, old}, newer),
		Entry("the newer one last", []notice.Notice{old, newer}, newer),
		Entry("that of the later start, however old", []notice.Notice{newer, restarted, old}, restarted),
	)

	It("ages the reports, also where only accounts' statistics are exchanged", func() {
		brief := limited(old).OnlyAccounts().AgedBy(time.Second)
		Expect(limited(newer).WithAccounts(brief).RequestLimits["e"].Age).To(Equal(4 * time.Second))
	})

	It("keeps the reports when the part of a host is taken out", func() {
		Expect(limited(old).Without(limited(newer)).RequestLimits["e"]).To(Equal(old))
	})
})

var _ = Describe("Reports of cold endpoints", func() {
	It("keep the newest of each endpoint's latest start, and grow older", func() {
		a := &stats.Stats{Cold: map[string]cold.Report{
			"e": {StartMillis: 1, Suspected: true, Age: time.Second}, "f": {StartMillis: 2, Age: time.Minute},
		}}
		b := &stats.Stats{Cold: map[string]cold.Report{
			"e": {StartMillis: 1, Left: 3 * time.Second, Age: 100 * time.Millisecond}, "f": {StartMillis: 1, Suspected: true},
		}}
		var sum stats.Stats
		sum.Add(a)
		sum.Add(b)
		Expect(sum.Cold).To(Equal(map[string]cold.Report{"e": b.Cold["e"], "f": a.Cold["f"]}))
		Expect(sum.OnlyAccounts().AgedBy(time.Second).Cold["e"]).To(Equal(cold.Report{StartMillis: 1, Left: 2 * time.Second, Age: 1100 * time.Millisecond}))
		Expect(a.Cold["e"].Suspected).To(BeTrue())
	})
})
