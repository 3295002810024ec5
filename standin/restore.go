package main

import (
	"bytes"
	"strings"
	"time"
)

const (
	// historyKept is the age of the oldest copy that the store can come back from.
	historyKept = 30 * time.Second
	// operatorDelay is the time from a restore until the operator writes again what it wrote.
	operatorDelay = 100 * time.Millisecond
	// evacuatePrefix begins the keys of the operator's rows that evacuate a data centre.
	evacuatePrefix = "evacuate/"
)

// rowChange is a change of a row of the store; undoing it restores the row and the counter of versions.
type rowChange struct {
	at time.Time
	id [2]string
	// before is the row before the change; existed is false if there was none.
	before  siteRow
	existed bool
	// ver is the newest version before the change.
	ver int64
}

// set writes a row at the newest version. The caller holds mu.
func (s *rowStore) set(row siteRow) {
	id := [2]string{row.Table, row.Key}
	before, existed := s.rows[id]
	s.rows[id] = row
	now := time.Now()
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyKept {
		s.history = s.history[1:]
	}
	s.history = append(s.history, rowChange{at: now, id: id, before: before, existed: existed, ver: row.Ver - 1})
}

// restore brings back the rows and versions as they were some time ago, and begins the next era. What the operator wrote
// since is written again after operatorDelay; endpoints write their rows with their next heartbeats. The caller holds mu.
func (s *rowStore) restore(age time.Duration) {
	copied := time.Now().Add(-age)
	for n := len(s.history) - 1; n >= 0 && s.history[n].at.After(copied); n-- {
		s.undo(s.history[n])
		s.history = s.history[:n]
	}
	s.era++
	s.oldestVer = min(s.oldestVer, s.ver+1)
	era, ver := s.era, s.ver
	time.AfterFunc(operatorDelay, func() { s.rewriteOperator(era) })
	time.AfterFunc(silentHeartbeats*s.heartbeat, func() { s.removeSilent(era, ver) })
}

func (s *rowStore) undo(c rowChange) {
	s.ver = c.ver
	if c.existed {
		s.rows[c.id] = c.before
		return
	}
	delete(s.rows, c.id)
}

func (s *rowStore) putOperator(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operatorValues[key] = value
	s.putLocked("op", key, value)
	if zone, ok := strings.CutPrefix(key, evacuatePrefix); ok && s.evacuations[zone].IsZero() {
		s.evacuations[zone] = time.Now()
	}
}

func (s *rowStore) removeOperator(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.operatorValues, key)
	delete(s.evacuations, strings.TrimPrefix(key, evacuatePrefix))
	s.removeLocked("op", key)
}

// evacuatedSince returns when the operator evacuated a data centre, zero if it is not evacuated.
func (s *rowStore) evacuatedSince(zone string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations[zone]
}

// rewriteOperator writes again what the operator wrote and removes again what it removed, if a restore has undone that, unless
// a later restore has begun.
func (s *rowStore) rewriteOperator(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era != s.era {
		return
	}
	for key, value := range s.operatorValues {
		if !bytes.Equal(s.rows[[2]string{"op", key}].Value, value) {
			s.putLocked("op", key, value)
		}
	}
	for id, row := range s.rows {
		if _, written := s.operatorValues[id[1]]; id[0] == "op" && !written && !row.Tombstone {
			s.removeLocked("op", id[1])
		}
	}
}

// removeSilent removes the rows of endpoints that have not written them since a restore to a version, unless a later
// restore has begun.
func (s *rowStore) removeSilent(era, ver int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era != s.era {
		return
	}
	for id, row := range s.rows {
		if id[0] == "servers" && !row.Tombstone && row.Ver <= ver {
			s.removeLocked(id[0], id[1])
		}
	}
}
