package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/change"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/state/cached"
	"github.com/dragonflyroute/dragonflyroute/state/server"
)

const (
	// maxEvents bounds one answer of cache events, in bytes.
	maxEvents = 1 << 20
	// saltBase is the base in which a prefix's hash is an engine's cache salt.
	saltBase = 16

	storedEvent  = "BlockStored"
	clearedEvent = "AllBlocksCleared"
)

// cacheEvents is a batch of an engine's cache events, with the names and fields that vLLM publishes; the extra keys of
// a block name the cache salt of its request.
type cacheEvents struct {
	Last   uint64 `json:"last"`
	Events []struct {
		Seq       uint64   `json:"seq"`
		Type      string   `json:"type"`
		ExtraKeys []string `json:"extra_keys"`
	} `json:"events"`
}

// Events reads what changed in an endpoint's prefix cache since the last read; an engine that has no events is muted.
func (e *Engine) Events(ctx context.Context, s *server.Server) error {
	c := s.Cached()
	if c.EventsDisabled() {
		return nil
	}
	target := fmt.Sprintf("http://%s/kv-events?after=%d", s.Row().Address, c.LastSeq())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fault.Wrap(kind.Internal, err, "cache events of %s", s.Row().ID)
	}
	w, err := e.Client.Do(r)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "cache events of %s", s.Row().ID)
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode == http.StatusNotFound {
		c.DisableEvents()
		return nil
	}
	return hear(c, io.LimitReader(w.Body, maxEvents), s)
}

func hear(c *cached.Cached, body io.Reader, s *server.Server) error {
	var got cacheEvents
	if err := json.NewDecoder(body).Decode(&got); err != nil {
		return fault.Wrap(kind.Unavailable, err, "cache events of %s are not readable", s.Row().ID)
	}
	var changes []change.Change
	for _, event := range got.Events {
		changes = append(changes, change.Change{
			Seq:     event.Seq,
			Prefix:  prefix(event.ExtraKeys),
			Stored:  event.Type == storedEvent,
			Cleared: event.Type == clearedEvent,
		})
	}
	c.Apply(got.Last, changes, time.Now())
	return nil
}

// prefix returns the hash that the keys of a block name, or zero for one that was not sent with a hash as salt.
func prefix(keys []string) uint64 {
	for _, key := range keys {
		if hash, err := strconv.ParseUint(key, saltBase, 64); err == nil {
			return hash
		}
	}
	return 0
}

// salt returns the cache salt of a prompt with the given prefix.
func salt(prefix uint64) string { return strconv.FormatUint(prefix, saltBase) }
