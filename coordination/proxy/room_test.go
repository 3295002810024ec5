package proxy_test

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/mode"
	"github.com/dragonflyroute/dragonflyroute/protocol/result"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

// fullPlacer refuses all requests for want of room.
type fullPlacer struct{ retryAfter time.Duration }

func (p fullPlacer) Place(context.Context, *work.Request, []*target.Target, []endpt.ID) (grant.Grant, bool) {
	return grant.Grant{RetryAfter: p.retryAfter}, true
}

func (fullPlacer) Begun(grant.Grant, time.Duration, float64) {}

func (fullPlacer) Ended(grant.Grant, bool) {}

var _ = Describe("A request for which there is no room", func() {
	It("is answered as not run, with the keeper's Retry-After, and reaches no endpoint", func() {
		f, s := newFixture(4), &fakeExchange{results: []result.Result{done}}
		f.proxy.Balancer.Placer = fullPlacer{retryAfter: 1700 * time.Millisecond}
		err := f.proxy.Run(context.Background(), request(mode.Idempotent, 2), s)
		Expect(fault.KindOf(err)).To(Equal(kind.NotRun))
		var e *fault.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.RetryAfter).To(Equal(1700 * time.Millisecond))
		Expect(s.to).To(BeEmpty())
	})
})
