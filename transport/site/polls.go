package site

import (
	"context"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/event"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/permit"
	"github.com/dragonflyroute/dragonflyroute/protocol/query"
	"github.com/dragonflyroute/dragonflyroute/protocol/reply"
	"github.com/dragonflyroute/dragonflyroute/protocol/stats"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/protocol/window"
)

// exchange is the part of the process that the polls use.
type exchange struct{ *Site }

// Live returns the entry hosts that accept requests.
func (e exchange) Live(now time.Time) []beat.Heartbeat { return e.liveHosts(now) }

// Own returns this process's own load statistics.
func (e exchange) Own(now time.Time) *stats.Stats { return e.ownStats(now) }

// NearLimit reports whether some account is near its rate limit, so that the other hosts' load statistics must be
// recent.
func (e exchange) NearLimit(now time.Time) bool { return e.Rates.NearLimit(now) }

// SetOthers applies the sum of all other hosts' load statistics.
func (e exchange) SetOthers(others *stats.Stats, now time.Time) { e.setOthers(others, now) }

// Query sends a query to another host; a host that does not answer is suspected of being down.
func (e exchange) Query(ctx context.Context, h beat.Heartbeat, q query.Query) (reply.Reply, error) {
	q.Host, q.Incarnation = e.Host, e.incarnation
	r, err := e.peers.Query(ctx, h.PeerAddress, q)
	if err != nil {
		e.Log.Info("peer did not answer a poll; it is suspected of being down", "reader", h.Host, "error", err)
		e.fleet.Suspect(h.PeerAddress, time.Now())
	}
	return r, err
}

// Permit requests a permit from another host.
func (e exchange) Permit(ctx context.Context, h beat.Heartbeat, p permit.Permit) (permit.Permit, error) {
	return e.peers.Permit(ctx, h.PeerAddress, p)
}

// Place asks another host to place a request.
func (e exchange) Place(ctx context.Context, h beat.Heartbeat, t task.Task) (grant.Grant, error) {
	return e.peers.Place(ctx, h.PeerAddress, t)
}

// Report tells another host what became of the requests that it placed.
func (e exchange) Report(ctx context.Context, h beat.Heartbeat, events []event.Event) error {
	return e.peers.Report(ctx, h.PeerAddress, events)
}

// Usage returns the number of the newest window whose counts in this process are final, and the newest windows.
func (e exchange) Usage(now time.Time) (through int64, windows []window.Window) {
	return e.usage.WindowNumber(now) - 1, e.usage.Own()
}

// AcceptUsage adds another host's usage to those that this host writes into the store, and returns the newest window of that
// host that the store has taken.
func (e exchange) AcceptUsage(q query.Query) (stored int64) {
	return e.peerUsage.Put(q.Host, q.FinalWindow, usageRow{Incarnation: q.Incarnation, FinalWindow: q.FinalWindow, Windows: q.Usage})
}

// pollLoop polls for table changes and load statistics until ctx ends.
func (s *Site) pollLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, s.polls.Poll(ctx))
	}
	return nil
}
