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
func (e exchange) Live(now time.Time) []pulse.Pulse { return e.liveHosts(now) }

// Own returns the process's own figures.
func (e exchange) Own(now time.Time) *sums.Sums { return e.ownStats(now) }

// Tight reports whether some account may come to its limit soon.
func (e exchange) Tight(now time.Time) bool { return e.Rates.Tight(now) }

// HearRest takes the figures of all other hosts together.
func (e exchange) HearRest(others *sums.Sums, now time.Time) { e.setOthers(others, now) }

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
	return e.usage.Number(now) - 1, e.usage.Own()
}

// TakeUsage takes another host's usage.
func (e exchange) TakeUsage(q query.Query) { e.peerUsage.put(q) }

// pollLoop exchanges tables and figures until ctx ends.
func (s *Site) pollLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, s.polls.Turn(ctx))
	}
	return nil
}
