// Package warmer divides the requests that a cold endpoint bears among the entry hosts.
package warmer

import (
	"slices"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/place"
	"github.com/dragonflyroute/dragonflyroute/protocol/back"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

const (
	// senders is the number of hosts that send requests to a cold endpoint. Hosts that disagree on the membership for a
	// moment select a few different ones; with few senders, each with a small part, the sum stays bounded.
	senders = 4
	// rankTTL is how long the selection of an endpoint's senders is cached, and listTTL the list of hosts.
	rankTTL = 500 * time.Millisecond
	listTTL = 100 * time.Millisecond
	// maxEndpoints bounds the endpoints of which a selection is cached.
	maxEndpoints = 8_192
	// maxInterval bounds the time between two requests, so that it is valid however small the rate is.
	maxInterval = time.Hour
)

type policy interface {
	// Backend returns a back end, nil when it is not known.
	Backend(name label.Name) *back.Backend
}

// Warmer selects the hosts that may send requests to a cold endpoint, and gives each an equal part of the requests that the
// endpoint bears.
//
// The senders of an endpoint are the listed hosts that rank highest by rendezvous hashing, whether they answer or not: a
// host that is cut off still knows the list, so it does not send more than its part. No message passes between hosts, and
// an endpoint whose senders are all down gets no requests until it is warm. All methods may be called concurrently.
type Warmer struct {
	// Self names this host.
	Self host.ID
	// Listed returns the listed entry hosts with their weights, this one included; ok is false while the list is not known.
	Listed func() (hosts []beat.Heartbeat, ok bool)
	// Policy returns the definitions of back ends.
	Policy policy
	// Now returns the time.
	Now func() time.Time

	mu    sync.Mutex
	ranks map[endpt.ID]rank
	// hosts is the list of hosts at listedAt, this one included; it is nil if that was not known.
	hosts    []beat.Heartbeat
	listedAt time.Time
}

// rank is this host's part in sending requests to one endpoint.
type rank struct {
	// sender is set if this host is one of the endpoint's senders, of which there are of.
	sender bool
	of     int
	at     time.Time
}

// Time returns how long an endpoint of a back end is cold after its start, 0 if its requests are not limited then.
func (w *Warmer) Time(backend label.Name) time.Duration {
	b := w.Policy.Backend(backend)
	if b == nil || b.ColdRate <= 0 {
		return 0
	}
	return b.ColdTime
}

// Interval returns the least time between two requests of this host to a cold endpoint; ok is false if it must send none.
func (w *Warmer) Interval(r *roster.Row) (interval time.Duration, ok bool) {
	b := w.Policy.Backend(r.Backend)
	if b == nil || b.ColdRate <= 0 {
		return 0, true
	}
	part := w.rank(r.ID)
	if !part.sender {
		return 0, false
	}
	return time.Duration(min(float64(part.of)/float64(b.ColdRate), maxInterval.Seconds()) * float64(time.Second)), true
}

// rank returns this host's part in sending requests to an endpoint.
func (w *Warmer) rank(id endpt.ID) rank {
	now := w.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if r, ok := w.ranks[id]; ok && now.Sub(r.at) < rankTTL {
		return r
	}
	if now.Sub(w.listedAt) >= listTTL {
		w.readList(now)
	}
	r := w.selectSenders(id)
	r.at = now
	if w.ranks == nil || len(w.ranks) >= maxEndpoints {
		w.ranks = map[endpt.ID]rank{}
	}
	w.ranks[id] = r
	return r
}

// readList reads the list of hosts. The caller holds w.mu.
func (w *Warmer) readList(now time.Time) {
	hosts, known := w.Listed()
	if !known {
		hosts = nil
	}
	w.hosts, w.listedAt = hosts, now
}

// selectSenders finds whether this host is one of the senders of an endpoint: whether few hosts rank higher. The caller holds
// w.mu.
func (w *Warmer) selectSenders(id endpt.ID) rank {
	isSelf := func(h beat.Heartbeat) bool { return h.Host == w.Self }
	own := slices.IndexFunc(w.hosts, isSelf)
	if own < 0 {
		return rank{}
	}
	score, above := place.Score(string(id), w.hosts[own]), 0
	for _, h := range w.hosts {
		if !isSelf(h) && place.Score(string(id), h) > score {
			above++
		}
		if above >= senders {
			return rank{}
		}
	}
	return rank{sender: true, of: min(senders, len(w.hosts))}
}
