package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/kvevt"
	"github.com/dragonflyroute/dragonflyroute/state/cached"
	"github.com/dragonflyroute/dragonflyroute/state/server"
)

const (
	// maxEventBatchBytes is the maximum size of one batch of cache events.
	maxEventBatchBytes = 1 << 20
	// saltBase is the number base in which a prefix's hash is written as cache salt.
	saltBase = 16

	// storedEvent and clearedEvent are vLLM's types of cache events; any other type is a removed block.
	storedEvent  = "BlockStored"
	clearedEvent = "AllBlocksCleared"
)

// cacheEvents is a batch of an engine's KV cache events, with vLLM's names and fields; the extra keys of a block
// contain the cache salt of its request.
type cacheEvents struct {
	Last   uint64 `json:"last"`
	Events []struct {
		Seq       uint64   `json:"seq"`
		Type      string   `json:"type"`
		ExtraKeys []string `json:"extra_keys"`
	} `json:"events"`
}

// ReadCacheEvents reads the changes of an endpoint's prefix cache since the last read. An engine without cache events
// (status 404) is not asked again.
func (c *Client) ReadCacheEvents(ctx context.Context, s *server.Server) error {
	cache := s.Cached()
	if cache.EventsDisabled() {
		return nil
	}
	target := fmt.Sprintf("http://%s/kv-events?after=%d", s.Row().Address, cache.LastSeq())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fault.Wrap(kind.Internal, err, "read cache events of %s", s.Row().ID)
	}
	resp, err := c.Client.Do(r)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "read cache events of %s", s.Row().ID)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound {
		cache.DisableEvents()
		return nil
	}
	return applyEvents(cache, io.LimitReader(resp.Body, maxEventBatchBytes), s)
}

// applyEvents decodes a batch of cache events and applies it to the model of the endpoint's prefix cache.
func applyEvents(cache *cached.Cached, body io.Reader, s *server.Server) error {
	var batch cacheEvents
	if err := json.NewDecoder(body).Decode(&batch); err != nil {
		return fault.Wrap(kind.Unavailable, err, "decode cache events of %s", s.Row().ID)
	}
	var events []kvevt.Event
	for _, event := range batch.Events {
		events = append(events, kvevt.Event{
			Seq:     event.Seq,
			Prefix:  prefixHash(event.ExtraKeys),
			Stored:  event.Type == storedEvent,
			Cleared: event.Type == clearedEvent,
		})
	}
	cache.Apply(batch.Last, events, time.Now())
	return nil
}

// prefixHash returns the prefix hash in the extra keys of a block, or 0 when its request had no hash as salt.
func prefixHash(keys []string) uint64 {
	for _, key := range keys {
		if hash, err := strconv.ParseUint(key, saltBase, 64); err == nil {
			return hash
		}
	}
	return 0
}

// salt returns the cache salt of a prompt with the given prefix.
func salt(prefix uint64) string { return strconv.FormatUint(prefix, saltBase) }
