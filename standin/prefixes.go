package main

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// maxEvents is the number of cache events kept for readers; older ones are dropped.
	maxEvents = 1000

	storedEvent  = "BlockStored"
	removedEvent = "BlockRemoved"
	clearedEvent = "AllBlocksCleared"
)

// cacheEvent is one event of the prefix cache, with the names and fields of vLLM's KV cache events.
type cacheEvent struct {
	Seq       uint64   `json:"seq"`
	Type      string   `json:"type"`
	ExtraKeys []string `json:"extra_keys"`

	at time.Time
}

// prefixCache is an LRU cache of prompt prefixes that publishes its changes as events.
type prefixCache struct {
	capacity int

	mu     sync.Mutex
	recent []prefix
	seq    uint64
	events []cacheEvent
}

type prefix struct{ text, salt string }

// use reports whether the prefix was cached, and caches it or marks it as the most recently used.
func (p *prefixCache) use(text, salt string, f *engineFaults) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.recent, func(known prefix) bool { return known.text == text })
	if i >= 0 {
		p.recent = append(slices.Delete(p.recent, i, i+1), prefix{text: text, salt: salt})
		return true
	}
	p.recent = append(p.recent, prefix{text: text, salt: salt})
	p.publish(storedEvent, salt, f)
	if len(p.recent) > p.capacity {
		p.publish(removedEvent, p.recent[0].salt, f)
		p.recent = p.recent[1:]
	}
	return false
}

// clear drops all prefixes.
func (p *prefixCache) clear(f *engineFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recent = nil
	p.publish(clearedEvent, "", f)
}

func (p *prefixCache) publish(kind, salt string, f *engineFaults) {
	p.seq++
	if rand.Float64() < f.EventLoss {
		return
	}
	p.events = append(p.events, cacheEvent{Seq: p.seq, Type: kind, ExtraKeys: []string{salt}, at: time.Now()})
	p.events = p.events[max(0, len(p.events)-maxEvents):]
}

// since returns the events after a sequence number that are at least as old as the lag, and the sequence number from
// which the next read continues.
func (p *prefixCache) since(after uint64, lag time.Duration) (last uint64, out []cacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last = p.seq
	for _, e := range p.events {
		if time.Since(e.at) < lag {
			return max(min(after, p.seq), e.Seq-1), out
		}
		if e.Seq > after {
			out = append(out, e)
		}
	}
	return last, out
}

// getCacheEvents answers with the cache events after the sequence number in the query.
func (e *engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter after is not a sequence number", http.StatusBadRequest)
		return
	}
	last, events := e.cache.since(after, time.Duration(e.faults.Load().EventLagMS)*time.Millisecond)
	reply(w, map[string]any{"last": last, "events": events})
}
