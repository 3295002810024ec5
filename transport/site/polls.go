package site

import (
	"context"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/pulse"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/reply"
	"github.com/dragonflyroute/dragonflyroute/protocol/sums"
	"github.com/dragonflyroute/dragonflyroute/protocol/window"
)

// exchange is what the exchange of tables and figures with other hosts needs of the process.
type exchange struct{ *Site }

// Live returns the entry hosts that take requests.
func (e exchange) Live(now time.Time) []pulse.Pulse { return e.live(now) }

// Own returns the process's own figures.
func (e exchange) Own(now time.Time) *sums.Sums { return e.ownSums(now) }

// NearLimit reports whether some account may come to its limit soon.
func (e exchange) NearLimit(now time.Time) bool { return e.Rates.NearLimit(now) }

// SetOthers takes the figures of all other hosts together.
func (e exchange) SetOthers(others *sums.Sums, now time.Time) { e.hearRest(others, now) }

// Query asks another host; one that does not answer is suspected.
func (e exchange) Query(ctx context.Context, h pulse.Pulse, q query.Query) (reply.Reply, error) {
	q.Host, q.Incarnation = e.Host, e.incarnation
	r, err := e.peers.Query(ctx, h.Peers, q)
	if err != nil {
		e.Log.Info("reader did not answer", "reader", h.Host, "error", err)
		e.fleet.Suspect(h.Peers, time.Now())
	}
	return r, err
}

// Usage returns the newest window of which the process's counts are final, and its newest windows.
func (e exchange) Usage(now time.Time) (through int64, windows []window.Window) {
	return e.usage.WindowNumber(now) - 1, e.usage.Own()
}

// AcceptUsage takes another host's usage.
func (e exchange) AcceptUsage(q query.Query) { e.batch.take(q) }

// poll exchanges tables and figures until ctx ends.
func (s *Site) poll(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, s.polls.Poll(ctx))
	}
	return nil
}
