package spread

import (
	"context"
	"time"
)

// ReadTable takes the head row's catalogue and confirms its age.
func (s *Spread) ReadTable(ctx context.Context) error {
	before := s.Now()
	c, err := s.Table.Head(ctx)
	if err != nil {
		return err
	}
	s.Holder.Offer(c)
	s.Holder.Confirm(c.Revision, before)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tableRead = true
	return nil
}

// ReadWait returns the time to the next read of the table: base or more, jittered, so that the whole fleet's
// reads stay bounded.
func (s *Spread) ReadWait(base time.Duration) time.Duration {
	n := len(s.Fleet.Contacts()) + 1
	wait := max(base, time.Second*time.Duration(n)/readsPerSecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	return wait/2 + time.Duration(s.Rand.Int64N(int64(wait)))
}

// Current reports whether the process may act on its catalogue: the table confirmed it within MaxAge, directly
// or through a peer, or more than half of the entry hosts were heard within MaxAge and none had a newer one.
//
// A change counts as in force only when more than half of the entry hosts hold it, so two halves always share
// a host that knows it. A process that has not read the table itself since its start waits for it for MaxAge
// before it trusts its peers, because an earlier incarnation may have known more than they do.
func (s *Spread) Current(now time.Time) bool {
	if s.Holder.Current() == nil {
		return false
	}
	s.mu.Lock()
	read := s.tableRead
	s.mu.Unlock()
	if !read && now.Sub(s.Started) <= s.MaxAge {
		return false
	}
	if read && s.Holder.Age(now) <= s.MaxAge {
		return true
	}
	return s.majority(now)
}

func (s *Spread) majority(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	heard := 1
	for _, at := range s.confirmed {
		if now.Sub(at) <= s.MaxAge {
			heard++
		}
	}
	all := len(s.Fleet.Contacts()) + 1
	return 2*heard > all && all > 1
}

// InForce returns how many of the alive entry hosts hold the revision or a newer one, and how many are alive.
func (s *Spread) InForce(revision int64) (holding, alive int) {
	now := s.Now()
	alive = 1
	if s.Holder.Revision() >= revision {
		holding++
	}
	for _, p := range s.Fleet.Alive(now) {
		alive++
		if p.Revision >= revision {
			holding++
		}
	}
	return holding, alive
}
