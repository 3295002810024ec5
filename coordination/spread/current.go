package spread

import (
	"context"
	"time"
)

// ReadTable reads the newest catalogue from the table and confirms its age.
func (s *Gossip) ReadTable(ctx context.Context) error {
	before := s.Now()
	c, err := s.Table.Head(ctx)
	if err != nil {
		return err
	}
	s.Catalogue.Offer(c)
	s.Catalogue.Confirm(c.Revision, before)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tableRead = true
	return nil
}

// ReadDelay returns the delay to the next read of the table: base or longer in a large fleet, with jitter, so that the
// read rate of the whole fleet stays below readsPerSecond.
func (s *Gossip) ReadDelay(base time.Duration) time.Duration {
	n := len(s.Fleet.Contacts()) + 1
	wait := max(base, time.Second*time.Duration(n)/readsPerSecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	return wait/2 + time.Duration(s.Rand.Int64N(int64(wait)))
}

// Current reports whether the process may act on its catalogue: the table confirmed it within MaxAge, directly or
// through a peer, or heartbeats of a majority of the entry hosts arrived within MaxAge and none had a newer revision.
//
// A change is in force only when a majority of the entry hosts holds it, so any two majorities share a host that has
// it. A process that has not read the table since its start does not rely on its peers before MaxAge has passed,
// because an earlier incarnation may have had a newer revision than they have.
func (s *Gossip) Current(now time.Time) bool {
	if s.Catalogue.Current() == nil {
		return false
	}
	s.mu.Lock()
	read := s.tableRead
	s.mu.Unlock()
	if !read && now.Sub(s.Started) <= s.MaxAge {
		return false
	}
	if read && s.Catalogue.Age(now) <= s.MaxAge {
		return true
	}
	return s.majority(now)
}

// majority reports whether, within MaxAge, heartbeats with no newer revision came from a majority of the entry hosts.
func (s *Gossip) majority(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 1
	for _, at := range s.confirmed {
		if now.Sub(at) <= s.MaxAge {
			n++
		}
	}
	all := len(s.Fleet.Contacts()) + 1
	return 2*n > all && all > 1
}

// Adoption returns how many of the live entry hosts hold the revision or a newer one, and how many are live.
func (s *Gossip) Adoption(revision int64) (holding, alive int) {
	now := s.Now()
	alive = 1
	if s.Catalogue.Revision() >= revision {
		holding++
	}
	for _, h := range s.Fleet.Alive(now) {
		alive++
		if h.Revision >= revision {
			holding++
		}
	}
	return holding, alive
}
