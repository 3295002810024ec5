package site

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/poison"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/ruling"
	"github.com/dragonflyroute/dragonflyroute/state/blame"
	"github.com/dragonflyroute/dragonflyroute/transport/dial"
)

const (
	// promptPrefix begins the keys of decisions on prompt parts in the hosts' table.
	promptPrefix = "prompt/"
	hexadecimal  = 16
	hashBits     = 64
	// settleHops is the number of heartbeats, or of polls in a large fleet, within which a host hears of an answer at any
	// other host.
	settleHops = 3
)

// buildPrompts builds the guard against prompts that crash endpoints.
func (s *Site) buildPrompts() {
	s.prompts = &poison.Guard{
		Blame:    &blame.Blame{Settle: s.settleTime},
		Alive:    dial.Accepts,
		Known:    func() bool { return s.tables[hostsTable].Version() > 0 },
		MayProbe: s.mayProbe,
		Save:     s.savePrompt,
		Now:      time.Now,
		Count:    s.Meter.Count,
		Log:      s.Log,
	}
	if !s.NewSystem {
		s.prompts.Started = time.Now()
	}
	s.prompts.Prepare()
}

// settleTime returns the time that other hosts have to report an answer to a suspected prompt part.
func (s *Site) settleTime() time.Duration {
	schedule := s.Schedule()
	if schedule.Large() {
		return settleHops * schedule.PollInterval()
	}
	return settleHops * schedule.HeartbeatInterval()
}

// probeRankTime is the time for which a test of a prompt part must be overdue for one more host to be allowed to make it.
const probeRankTime = 2 * time.Second

// mayProbe reports whether this host may test a prompt part whose test is overdue by a time: at first the live host that
// ranks first for it, and one more after each probeRankTime.
func (s *Site) mayProbe(hash uint64, overdue time.Duration) bool {
	leaving, _ := s.Leaving()
	return !leaving && s.fleet.InTopRanks(promptKey(hash), 1+int(overdue/probeRankTime), time.Now())
}

func promptKey(hash uint64) string { return promptPrefix + strconv.FormatUint(hash, hexadecimal) }

// savePrompt writes the row of the decision on a prompt part, or deletes it if none is in force. If another host has written
// the row meanwhile, that decision is applied first and a Conflict error returned.
func (s *Site) savePrompt(ctx context.Context, hash uint64, r ruling.Ruling) error {
	key := promptKey(hash)
	var value []byte
	if r.InForce() {
		var err error
		if value, err = json.Marshal(storedRuling{r}); err != nil {
			return err
		}
	}
	_, err := s.rows.Write(ctx, key, value)
	if row := s.rows.Known(key); fault.KindOf(err) == kind.Conflict && row.Exists() {
		s.applyPrompt(row)
	}
	return err
}

// storedRuling is the value of such a row. It is an array, since hosts of versions before 0.7 take an object for the row of
// an entry host, and ignore what they can't decode.
type storedRuling [1]ruling.Ruling

func isPromptRow(key string) bool { return strings.HasPrefix(key, promptPrefix) }

// applyPrompt applies the row of the decision on a prompt part.
func (s *Site) applyPrompt(r record.Record) {
	hash, err := strconv.ParseUint(strings.TrimPrefix(r.Key, promptPrefix), hexadecimal, hashBits)
	if err != nil {
		s.Log.Error("key of a decision on a prompt part is not a hash; it is ignored", "key", r.Key, "version", r.Version, "error", err)
		return
	}
	if r.Deleted {
		s.prompts.Blame.Lift(hash, time.Now())
		return
	}
	var stored storedRuling
	if err := json.Unmarshal(r.Value, &stored); err != nil {
		s.Log.Error("cannot decode the decision on a prompt part; it is ignored", "key", r.Key, "version", r.Version, "error", err)
		return
	}
	if !s.prompts.Restore(hash, stored[0]) {
		s.Log.Info("decision on a prompt part received that has ended; its row is removed", "part", strings.TrimPrefix(r.Key, promptPrefix), "version", r.Version)
		return
	}
	s.Log.Info("decision on a prompt part received", "part", strings.TrimPrefix(r.Key, promptPrefix), "strikes", stored[0].Strikes, "version", r.Version)
}
