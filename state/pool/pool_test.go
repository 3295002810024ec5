package pool_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/pool"
)

func TestPool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pool")
}

var now = time.Unix(1000, 0)

func rows(n int) []roster.Row {
	var out []roster.Row
	for i := range n {
		out = append(out, roster.Row{ID: endpt.ID(fmt.Sprint("e", i)), Backend: "b", Version: "v1", State: roster.Live})
	}
	return out
}

func ids(p *pool.Pool) map[endpt.ID]bool {
	out := map[endpt.ID]bool{}
	for _, s := range p.Candidates("b", "v1") {
		out[s.Row().ID] = true
	}
	return out
}

var _ = Describe("Pool", func() {
	It("changes its subset by at most one endpoint when one is removed", func() {
		p := &pool.Pool{Self: "a", Subset: 20}
		all := rows(500)
		p.Update(all, now)
		before := ids(p)
		Expect(before).To(HaveLen(20))
		p.Update(all[1:], now)
		same := 0
		for id := range ids(p) {
			if before[id] {
				same++
			}
		}
		Expect(same).To(BeNumerically(">=", 19))
	})

	It("spreads the subsets of many processes evenly", func() {
		uses := map[endpt.ID]int{}
		for i := range 200 {
			p := &pool.Pool{Self: host.ID(fmt.Sprint("h", i)), Subset: 32}
			p.Update(rows(200), now)
			for id := range ids(p) {
				uses[id]++
			}
		}
		for id, n := range uses {
			Expect(n).To(BeNumerically("~", 32, 25), string(id))
		}
		Expect(uses).To(HaveLen(200))
	})

	It("extrapolates the demand on all endpoints from those in its subset", func() {
		p := &pool.Pool{Self: "a", Subset: 20}
		p.Update(rows(500), now)
		for i, s := range p.Candidates("b", "v1") {
			var running [class.Call + 1]int
			running[class.Quick] = 4 * (i % 2)
			s.SetLoad(running, [class.Call + 1]int{}, 8, 0, 1)
		}
		Expect(p.Demand("b")).To(BeNumerically("~", 500*0.25))
		Expect(p.Demand("other")).To(BeZero())
	})

	It("keeps the state of an endpoint that stays, and starts afresh for a new address under the same id", func() {
		p := &pool.Pool{Self: "a", Subset: 4}
		all := rows(1)
		p.Update(all, now)
		first := p.Candidates("b", "v1")[0]
		p.Update(all, now)
		Expect(p.Candidates("b", "v1")[0]).To(BeIdenticalTo(first))
		all[0].Address = "10.0.0.9:1"
		p.Update(all, now)
		Expect(p.Candidates("b", "v1")[0]).NotTo(BeIdenticalTo(first))
	})

	It("keeps the notice of an endpoint that a stale list shows as live again", func() {
		p := &pool.Pool{Self: "a", Subset: 4}
		all := rows(1)
		p.Update(all, now)
		all[0].State, all[0].NoticeMillis = roster.Leaving, 1000
		p.Update(all, now)
		all[0].State = roster.Live
		p.Update(all, now)
		s := p.Candidates("b", "v1")[0]
		Expect(s.Leaving()).To(BeTrue())
		Expect(s.Left()).To(BeClosed())
		Expect(s.Notice(now)).To(Equal(time.Second))
	})
})
