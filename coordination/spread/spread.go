// Package spread disseminates heartbeats, catalogue revisions and withdrawn moves among the entry hosts by gossip.
package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/state/fleet"
	"github.com/dragonflyroute/dragonflyroute/state/newest"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
)

const (
	// fanOut is the number of peers contacted in one round.
	fanOut = 3
	// smallFleet is the number of peers up to which rounds are at the base interval.
	smallFleet = 8
	// largeFleetFactor multiplies the interval between rounds in a large fleet.
	largeFleetFactor = 4
	// readsPerSecond bounds the reads of the catalogue's head row by the whole fleet.
	readsPerSecond = 50
)

type peers interface {
	// Heartbeat sends a heartbeat and returns the peer's own.
	Heartbeat(ctx context.Context, address string, h beat.Heartbeat) (beat.Heartbeat, error)
	// Fetch returns the peer's newest catalogue.
	Fetch(ctx context.Context, address string) (*catlog.Catalogue, error)
	// Push offers the peer a catalogue.
	Push(ctx context.Context, address string, c *catlog.Catalogue) error
}

type head interface {
	Head(ctx context.Context) (*catlog.Catalogue, error)
}

// Gossip runs the gossip protocol: it exchanges heartbeats with random peers and keeps the newest catalogue.
//
// Each exchange compares revisions, and the side with the lower one gets the other's catalogue, so a change reaches all
// hosts in a number of rounds that grows with the logarithm of the fleet's size. Methods may be called concurrently.
type Gossip struct {
	// Peers sends calls to other entry hosts.
	Peers peers
	// Table reads the newest catalogue from the platform's table.
	Table head
	// Fleet is the membership view of the entry hosts.
	Fleet *fleet.Fleet
	// Catalogue keeps the newest catalogue.
	Catalogue *newest.Catalogue
	// Trials keeps the withdrawn moves.
	Trials *trials.Trials
	// Self returns the process's own heartbeat.
	Self func() beat.Heartbeat
	// OnHeartbeat is called with each received heartbeat after the view was updated; may be nil.
	OnHeartbeat func(h beat.Heartbeat)
	// Now returns the time.
	Now func() time.Time
	// Rand selects peers and jitter.
	Rand *rand.Rand
	// MaxAge is the age of the last confirmation from which a catalogue is stale.
	MaxAge time.Duration

	// RoundTimeout is the timeout of one round, so that an unresponsive peer does not delay the exchanges with the others.
	RoundTimeout time.Duration
	// Started is when the process started.
	Started time.Time

	mu sync.Mutex
	// confirmed is when each host last sent a heartbeat whose revision was not newer than the own one.
	confirmed map[host.ID]time.Time
	// tableRead is set once the process has read the table itself.
	tableRead bool
}

// Round exchanges heartbeats with a few random peers.
func (s *Gossip) Round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.RoundTimeout)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for _, address := range s.SamplePeers() {
		g.Go(func() error {
			s.Exchange(ctx, address)
			return nil
		})
	}
	_ = g.Wait()
}

// SamplePeers returns the random peers of one round.
func (s *Gossip) SamplePeers() []string {
	contacts := s.Fleet.Contacts()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Rand.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	return contacts[:min(fanOut, len(contacts))]
}

// Exchange exchanges heartbeats with one peer; the side with the lower revision gets the other's catalogue. A peer that
// does not answer is suspected.
func (s *Gossip) Exchange(ctx context.Context, address string) {
	answer, err := s.Peers.Heartbeat(ctx, address, s.Self())
	if err != nil {
		s.Fleet.Suspect(address, s.Now())
		return
	}
	s.Receive(answer)
	own := s.Catalogue.Current()
	switch {
	case answer.Revision > s.Catalogue.Revision():
		if c, err := s.Peers.Fetch(ctx, address); err == nil {
			s.Catalogue.Offer(c)
		}
	case own != nil && answer.Revision < own.Revision:
		_ = s.Peers.Push(ctx, address, own)
	}
}

// Receive handles a peer's heartbeat, whether the peer sent it by itself or in answer to one.
func (s *Gossip) Receive(h beat.Heartbeat) {
	now := s.Now()
	s.Fleet.Observe(h, now)
	if h.ConfirmedMillis >= 0 && h.ConfirmedMillis < s.MaxAge.Milliseconds() {
		s.Catalogue.Confirm(h.Revision, now.Add(-time.Duration(h.ConfirmedMillis)*time.Millisecond))
	}
	for _, id := range h.Withdrawn {
		s.Trials.Withdraw(id)
	}
	if s.OnHeartbeat != nil {
		s.OnHeartbeat(h)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmed == nil {
		s.confirmed = map[host.ID]time.Time{}
	}
	if h.Revision <= s.Catalogue.Revision() {
		s.confirmed[h.Host] = now
	}
}

// RoundDelay returns the delay to the next round: base in a small fleet, largeFleetFactor times that in a large one,
// where changes are sent at once and rounds only repair what was lost.
func (s *Gossip) RoundDelay(base time.Duration) time.Duration {
	if len(s.Fleet.Contacts()) <= smallFleet {
		return base
	}
	return largeFleetFactor * base
}
